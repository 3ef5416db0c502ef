//! Bodies of servers' answers.

use std::time::Duration;

use briarbank_core::call::Failure;
use briarbank_core::ids::AttemptId;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;

use super::stream::{AnswerStream, StreamPart};
use crate::call::Answer;

/// Time for the body to end after the event that ends the stream.
const END_TIMEOUT: Duration = Duration::from_millis(50);

/// Reads the stream of one attempt.
pub(super) struct StreamBody {
    body: Incoming,
    stream: AnswerStream,
}

impl StreamBody {
    pub(super) fn new(body: Incoming, attempt: AttemptId, answer: &Answer) -> Self {
        Self {
            body,
            stream: AnswerStream::new(attempt, answer.tokens(), answer.limit_bytes()),
        }
    }

    /// Reads until at least one event is whole or the stream ends.
    ///
    /// Dropping the future loses nothing: it waits only for bytes.
    pub(super) async fn read(&mut self, answer: &mut Answer) -> StreamPart {
        loop {
            let Some(Ok(frame)) = self.body.frame().await else {
                return self.stream.end_of_input();
            };
            let Some(data) = frame.data_ref() else {
                continue;
            };
            self.stream.push(data);
            let part = self.stream.next_part(|text| answer.token(text));
            if part.end.is_some() || !part.chunk.is_empty() {
                return part;
            }
        }
    }

    /// Whether the body ends where the stream does, so that its connection can be kept.
    pub(super) async fn ends(mut self) -> bool {
        matches!(timeout(END_TIMEOUT, self.body.frame()).await, Ok(None))
    }
}

/// Reads a whole body.
///
/// # Errors
///
/// [`Failure::Silent`], [`Failure::Broken`], or [`Failure::Malformed`] for one
/// that is too large.
pub(super) async fn collect(
    mut body: Incoming,
    limit_bytes: usize,
    patience: Duration,
) -> Result<Bytes, Failure> {
    let mut collected = Vec::new();
    loop {
        let frame = timeout(patience, body.frame()).await;
        let Some(frame) = frame.map_err(|_elapsed| Failure::Silent)? else {
            return Ok(collected.into());
        };
        let frame = frame.map_err(|_error| Failure::Broken)?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        if collected.len() + data.len() > limit_bytes {
            return Err(Failure::Malformed);
        }
        collected.extend_from_slice(data);
    }
}
