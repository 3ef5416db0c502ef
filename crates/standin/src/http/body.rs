//! Bodies of requests and answers.

use std::sync::Arc;

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty, Full, Limited};
use hyper::body::Incoming;
use serde::Serialize;

use crate::error::Error;

/// Largest request body.
const BODY_LIMIT_BYTES: usize = 4 << 20;

/// Body of an answer.
pub(crate) type Body = UnsyncBoxBody<Bytes, Error>;

/// A body without bytes.
pub(crate) fn empty() -> Body {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// A body of the given bytes.
pub(crate) fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// An answer of only a status.
pub(crate) fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(empty());
    *response.status_mut() = status;
    response
}

/// An answer with a JSON body.
///
/// # Errors
///
/// [`Error::InvalidJson`] if the value has no JSON form.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Result<Response<Body>, Error> {
    let mut response = Response::new(full(serde_json::to_vec(value)?));
    *response.status_mut() = status;
    response.headers_mut().insert(
        http::header::CONTENT_TYPE,
        http::HeaderValue::from_static("application/json"),
    );
    Ok(response)
}

/// Reads a whole request body within the bound.
///
/// # Errors
///
/// [`Error::Body`] if it is too large or breaks off.
pub(crate) async fn read(body: Incoming) -> Result<Bytes, Error> {
    let collected = Limited::new(body, BODY_LIMIT_BYTES)
        .collect()
        .await
        .map_err(|e| Error::Body(Arc::from(e.to_string())))?;
    Ok(collected.to_bytes())
}
