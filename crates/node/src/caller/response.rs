//! HTTP responses to callers.

use std::time::Duration;

use briarbank_core::call::{Outcome, Refusal};
use briarbank_core::catalog::{Catalog, TargetKind};
use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderName, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use serde::Serialize;

use super::body::CallerBody;
use crate::call::{Reply, ReplyAnswer};
use crate::refusal;

/// Content type of refusals and lists.
const JSON: &str = "application/json";

/// HTTP response to a caller.
pub(super) type CallerResponse = Response<CallerBody>;

/// Content of a response that refuses a call.
#[derive(Debug)]
pub(super) struct RefusalResponse<'a> {
    pub(super) status: StatusCode,
    pub(super) kind: &'a str,
    pub(super) message: &'a str,
    pub(super) outcome: Outcome,
    pub(super) retry_after: Duration,
}

impl RefusalResponse<'_> {
    pub(super) fn build(&self) -> CallerResponse {
        let body = refusal::body(self.kind, self.message, self.outcome, self.retry_after);
        let mut response = json(self.status, body);
        insert_refusal_headers(&mut response, self.outcome, self.retry_after);
        response
    }
}

/// Returns the response for the reply of a call's task.
pub(super) fn from_reply(reply: Reply) -> CallerResponse {
    match reply {
        Reply::Refusal(refusal) => from_refusal(&refusal),
        Reply::Answer(answer) => from_answer(answer),
    }
}

fn from_refusal(refusal: &Refusal) -> CallerResponse {
    let status = StatusCode::from_u16(refusal.reason.status());
    let response = RefusalResponse {
        status: status.unwrap_or(StatusCode::SERVICE_UNAVAILABLE),
        kind: refusal.reason.as_str(),
        message: refusal::message(refusal),
        outcome: refusal.outcome,
        retry_after: refusal.retry_after,
    };
    response.build()
}

fn from_answer(answer: ReplyAnswer) -> CallerResponse {
    let mut response = Response::new(CallerBody::from(answer.body));
    let status = StatusCode::from_u16(answer.status);
    *response.status_mut() = status.unwrap_or(StatusCode::OK);
    insert(&mut response, CONTENT_TYPE, &answer.content_type);
    if let Some(outcome) = answer.outcome {
        insert(&mut response, OUTCOME, outcome.as_str());
    }
    response
}

const OUTCOME: HeaderName = HeaderName::from_static("briarbank-outcome");
const REQUEST_ID: HeaderName = HeaderName::from_static("briarbank-request-id");
const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("retry-after-ms");

/// Sets the request id header of a response.
pub(super) fn set_request_id(response: &mut CallerResponse, request: &str) {
    insert(response, REQUEST_ID, request);
}

fn insert_refusal_headers(response: &mut CallerResponse, outcome: Outcome, retry_after: Duration) {
    let millis = retry_after.as_millis() as u64;
    insert(response, OUTCOME, outcome.as_str());
    insert(response, RETRY_AFTER, &millis.div_ceil(1_000).to_string());
    insert(response, RETRY_AFTER_MS, &millis.to_string());
}

fn insert(response: &mut CallerResponse, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}

fn json(status: StatusCode, body: Bytes) -> CallerResponse {
    let mut response = Response::new(CallerBody::from(body));
    *response.status_mut() = status;
    insert(&mut response, CONTENT_TYPE, JSON);
    response
}

#[derive(Debug, Serialize)]
struct ModelList<'a> {
    object: &'a str,
    data: Vec<Model<'a>>,
}

#[derive(Debug, Serialize)]
struct Model<'a> {
    id: &'a str,
    object: &'a str,
}

/// Returns the list of models in the current configuration.
pub(super) fn models(catalog: Option<&Catalog>) -> CallerResponse {
    let targets = catalog.map_or(&[][..], |c| &c.targets);
    let data = targets
        .iter()
        .filter(|t| t.kind == TargetKind::Model)
        .map(|t| Model {
            id: t.name.as_str(),
            object: "model",
        })
        .collect();
    let list = ModelList {
        object: "list",
        data,
    };
    // Serializing a fixed structure to memory cannot fail.
    json(
        StatusCode::OK,
        serde_json::to_vec(&list).unwrap_or_default().into(),
    )
}
