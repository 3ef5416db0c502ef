//! Encoding of refusals for callers.

use std::time::Duration;

use briarbank_core::call::{Outcome, Refusal};
use bytes::Bytes;
use serde::Serialize;

/// JSON body of a refusal.
#[derive(Debug, Serialize)]
pub(crate) struct ErrorBody<'a> {
    error: ErrorFields<'a>,
}

#[derive(Debug, Serialize)]
struct ErrorFields<'a> {
    #[serde(rename = "type")]
    kind: &'a str,
    message: &'a str,
    outcome: Outcome,
    retry_after_ms: u64,
}

/// Returns the JSON body of a refusal.
pub(crate) fn body(kind: &str, message: &str, outcome: Outcome, retry_after: Duration) -> Bytes {
    let body = ErrorBody {
        error: ErrorFields {
            kind,
            message,
            outcome,
            retry_after_ms: retry_after.as_millis() as u64,
        },
    };
    // Serializing a fixed structure to memory cannot fail.
    serde_json::to_vec(&body).unwrap_or_default().into()
}

/// Returns the message to the caller for a refusal of the core.
pub(crate) fn message(refusal: &Refusal) -> &'static str {
    match refusal.outcome {
        Outcome::Completed => "The request ran, but its answer is not kept.",
        Outcome::NotRun => "The request was not run; come back after the stated time.",
        Outcome::Unknown => "The request may have run; ask with the same id after the stated time.",
    }
}

/// Returns the error event that ends a refused stream.
pub(crate) fn event(refusal: &Refusal) -> Bytes {
    let body = body(
        refusal.reason.as_str(),
        message(refusal),
        refusal.outcome,
        refusal.retry_after,
    );
    let mut event = Vec::with_capacity(body.len() + 24);
    event.extend_from_slice(b"event: error\ndata: ");
    event.extend_from_slice(&body);
    event.extend_from_slice(b"\n\n");
    event.into()
}
