//! Bodies of requests and responses.

use std::sync::Arc;

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty, Full, Limited};
use hyper::body::Incoming;
use serde::Serialize;

use crate::error::Error;

/// Maximum size of a request body.
const BODY_BYTES_MAX: usize = 4 << 20;

/// Body of a response.
pub(crate) type Body = UnsyncBoxBody<Bytes, Error>;

/// Creates an empty body.
pub(crate) fn empty() -> Body {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// Creates a body from bytes.
pub(crate) fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Creates a response with a status and an empty body.
pub(crate) fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(empty());
    *response.status_mut() = status;
    response
}

/// Creates a response with a JSON body.
///
/// # Errors
///
/// [`Error::InvalidJson`] if the value cannot be serialized.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Result<Response<Body>, Error> {
    let mut response = Response::new(full(serde_json::to_vec(value)?));
    *response.status_mut() = status;
    response.headers_mut().insert(
        http::header::CONTENT_TYPE,
        http::HeaderValue::from_static("application/json"),
    );
    Ok(response)
}

/// Reads a whole request body of bounded size.
///
/// # Errors
///
/// [`Error::Body`] if the body is too large or incomplete.
pub(crate) async fn read_body(body: Incoming) -> Result<Bytes, Error> {
    let collected = Limited::new(body, BODY_BYTES_MAX)
        .collect()
        .await
        .map_err(|e| Error::Body(Arc::from(e.to_string())))?;
    Ok(collected.to_bytes())
}
