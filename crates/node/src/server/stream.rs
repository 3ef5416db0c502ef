//! A model engine's streamed answer, checked token by token.

use briarbank_core::call::Failure;
use briarbank_core::ids::AttemptId;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::sse::{EventReader, ServerEvent};
use super::token::{DONE, TokenEvent};
use crate::call::Answer;

/// Event that ends a stream.
const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

/// What one read of the stream gave.
#[derive(Debug)]
pub(super) struct Read {
    /// Events to hand on, as the engine sent them; they come before the end.
    pub(super) chunk: Bytes,
    /// How the stream ended, if it did.
    pub(super) end: Option<StreamEnd>,
}

/// How a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StreamEnd {
    /// The answer is whole.
    Whole,
    /// The rest of the answer is missing.
    Failed(Failure),
}

/// What taking one event gave.
enum Step {
    /// More may follow.
    Token,
    /// More bytes are needed.
    Wait,
    /// The answer is whole.
    Whole,
}

/// Reads the events of one attempt.
pub(super) struct StreamReader {
    body: Incoming,
    events: EventReader,
    attempt: String,
    finished: bool,
}

impl StreamReader {
    pub(super) fn new(body: Incoming, attempt: AttemptId, limit_bytes: usize) -> Self {
        Self {
            body,
            events: EventReader::new(limit_bytes),
            attempt: attempt.to_string(),
            finished: false,
        }
    }

    /// Reads until at least one event is whole or the stream ends.
    ///
    /// Dropping the future loses nothing: it waits only for bytes.
    pub(super) async fn read(&mut self, answer: &mut Answer) -> Read {
        loop {
            let frame = match self.body.frame().await {
                Some(Ok(frame)) => frame,
                // All tokens are there: only the closing event is missing.
                _ if self.finished && self.events.is_empty() => {
                    return Read {
                        chunk: Bytes::from_static(DONE_EVENT),
                        end: Some(StreamEnd::Whole),
                    };
                }
                _ => {
                    return Read {
                        chunk: Bytes::new(),
                        end: Some(StreamEnd::Failed(Failure::Broken)),
                    };
                }
            };
            let Some(data) = frame.data_ref() else {
                continue;
            };
            self.events.push(data);
            let read = self.take(answer);
            if read.end.is_some() || !read.chunk.is_empty() {
                return read;
            }
        }
    }

    /// Takes all whole events; what follows a bad one is dropped.
    fn take(&mut self, answer: &mut Answer) -> Read {
        let mut chunk = BytesMut::new();
        let end = loop {
            match self.event(&mut chunk, answer) {
                Ok(Step::Token) => {}
                Ok(Step::Wait) => break None,
                Ok(Step::Whole) => break Some(StreamEnd::Whole),
                Err(failure) => break Some(StreamEnd::Failed(failure)),
            }
        };
        Read {
            chunk: chunk.freeze(),
            end,
        }
    }

    fn event(&mut self, chunk: &mut BytesMut, answer: &mut Answer) -> Result<Step, Failure> {
        let event = self.events.next().map_err(|_error| Failure::Malformed)?;
        let Some(event) = event else {
            return Ok(Step::Wait);
        };
        if event.data == DONE {
            if !self.finished {
                return Err(Failure::Malformed);
            }
            chunk.extend_from_slice(DONE_EVENT);
            return Ok(Step::Whole);
        }
        if !event.data.is_empty() {
            self.token(&event, answer)?;
            chunk.extend_from_slice(&event.raw);
        }
        Ok(Step::Token)
    }

    fn token(&mut self, event: &ServerEvent, answer: &mut Answer) -> Result<(), Failure> {
        if event.name == "error" {
            return Err(Failure::ServerError);
        }
        let token: TokenEvent<'_> =
            serde_json::from_str(&event.data).map_err(|_error| Failure::Malformed)?;
        if token.attempt != self.attempt {
            metrics::counter!("briarbank_crossed_answers_total").increment(1);
            return Err(Failure::Malformed);
        }
        if self.finished || token.index != answer.tokens() {
            return Err(Failure::Malformed);
        }
        answer.token(token.text());
        self.finished = token.is_last();
        Ok(())
    }
}
