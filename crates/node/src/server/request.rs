//! Building of requests to servers.

use std::net::SocketAddr;

use briarbank_core::call::Failure;
use bytes::Bytes;
use http::header::{CONTENT_TYPE, HOST, HeaderName};
use http::{HeaderValue, Method, Request};
use serde_json::Value;

use crate::call::{Inbound, ResumePoint};
use crate::command::Attempt;

/// Body field with the text that the caller already has.
const RESUME_FIELD: &str = "briarbank_resume";

/// Returns the head of the request.
pub(super) fn head(
    inbound: &Inbound,
    attempt: &Attempt,
    address: SocketAddr,
    resume_tokens: u32,
) -> Request<()> {
    let mut request = Request::new(());
    *request.method_mut() = inbound.method.parse().unwrap_or(Method::POST);
    if let Ok(uri) = inbound.path.parse() {
        *request.uri_mut() = uri;
    }
    let dispatch = &attempt.dispatch;
    let headers = request.headers_mut();
    let mut insert = |name: HeaderName, value: &str| {
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(name, value);
        }
    };
    let named = HeaderName::from_static;
    insert(HOST, &address.to_string());
    insert(named("briarbank-attempt"), &dispatch.attempt.to_string());
    insert(named("briarbank-request-id"), inbound.call.request.as_str());
    insert(named("briarbank-tier"), &dispatch.tier.to_string());
    if resume_tokens > 0 {
        insert(named("briarbank-resume-tokens"), &resume_tokens.to_string());
    }
    if let Some(content_type) = &inbound.content_type {
        insert(CONTENT_TYPE, content_type);
    }
    request
}

/// Returns the body of the request, which resumes an answer that has started.
///
/// # Errors
///
/// [`Failure::NotSent`] when the answer so far is too long to resume, or when
/// the call's body is not a JSON object.
pub(super) fn body(inbound: &Inbound, resume: &ResumePoint) -> Result<Bytes, Failure> {
    if resume.tokens == 0 {
        return Ok(inbound.body.clone());
    }
    let text = resume.text.as_deref().ok_or(Failure::NotSent)?;
    let body = serde_json::from_slice(&inbound.body).ok();
    let Some(Value::Object(mut fields)) = body else {
        return Err(Failure::NotSent);
    };
    fields.insert(RESUME_FIELD.to_owned(), Value::from(text));
    let body = serde_json::to_vec(&fields).map_err(|_error| Failure::NotSent)?;
    Ok(body.into())
}
