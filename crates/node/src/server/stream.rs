//! Validation of a model engine's streamed answer, token by token.

use briarbank_core::call::Failure;
use briarbank_core::ids::AttemptId;
use bytes::{Bytes, BytesMut};

use super::sse::{EventReader, ServerEvent};
use super::token::{DONE, TokenEvent};

/// Closing event of a stream.
const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

/// Validated events and the end of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamPart {
    /// Events to relay before the end, as the engine sent them.
    pub chunk: Bytes,
    /// How the stream ended; `None` while it continues.
    pub end: Option<StreamEnd>,
}

/// How a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// The answer is complete.
    Complete,
    /// The answer is incomplete.
    Failed(Failure),
}

/// Result of checking one event.
enum Step {
    /// The event was checked; more may follow.
    Token,
    /// More bytes are needed.
    Wait,
    /// The answer is complete.
    Complete,
}

/// Validator of one attempt's stream, free of I/O.
///
/// Only events of this attempt with the next index pass; events without data
/// are skipped. An `error` event ends the stream as [`Failure::ServerError`], any
/// other invalid event as [`Failure::Malformed`], and later events are dropped.
/// Memory is bounded by one event and the bytes pushed last.
///
/// # Examples
///
/// ```
/// use briarbank_core::ids::{AttemptId, Incarnation};
/// use briarbank_node::{AnswerStream, StreamEnd};
///
/// let attempt = AttemptId { incarnation: Incarnation(1), number: 2 };
/// let mut stream = AnswerStream::new(attempt, 0, 1_000);
/// let event = r#"{"attempt":"0000000000000001-2","index":0,"choices":[{"text":"35mm.","finish_reason":"stop"}]}"#;
/// stream.push(format!("data: {event}\n\ndata: [DONE]\n\n").as_bytes());
/// let mut text = String::new();
/// let part = stream.next_part(|token| text.push_str(token));
/// assert_eq!(part.end, Some(StreamEnd::Complete));
/// assert_eq!(text, "35mm.");
/// ```
#[derive(Debug)]
pub struct AnswerStream {
    events: EventReader,
    attempt: String,
    next_index: u32,
    finished: bool,
}

impl AnswerStream {
    /// Creates a stream whose first token has the index `next_index`.
    #[must_use]
    pub fn new(attempt: AttemptId, next_index: u32, limit_bytes: usize) -> Self {
        Self {
            events: EventReader::new(limit_bytes),
            attempt: attempt.to_string(),
            next_index,
            finished: false,
        }
    }

    /// Appends the next bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.events.push(bytes);
    }

    /// Checks all complete events and passes each token's text to `on_token`.
    pub fn next_part(&mut self, mut on_token: impl FnMut(&str)) -> StreamPart {
        let mut chunk = BytesMut::new();
        let end = loop {
            match self.check_event(&mut chunk, &mut on_token) {
                Ok(Step::Token) => {}
                Ok(Step::Wait) => break None,
                Ok(Step::Complete) => break Some(StreamEnd::Complete),
                Err(failure) => break Some(StreamEnd::Failed(failure)),
            }
        };
        StreamPart {
            chunk: chunk.freeze(),
            end,
        }
    }

    /// Returns the number of bytes of the incomplete event.
    #[must_use]
    pub fn incomplete_bytes(&self) -> usize {
        self.events.incomplete().len()
    }

    /// Returns the last part when the connection ends before the stream.
    #[must_use]
    pub fn end_of_input(&self) -> StreamPart {
        if self.finished && DONE_EVENT.starts_with(self.events.incomplete()) {
            // All tokens have arrived; only the closing event, or its end, is missing.
            return StreamPart {
                chunk: Bytes::from_static(DONE_EVENT),
                end: Some(StreamEnd::Complete),
            };
        }
        StreamPart {
            chunk: Bytes::new(),
            end: Some(StreamEnd::Failed(Failure::Broken)),
        }
    }

    fn check_event(
        &mut self,
        chunk: &mut BytesMut,
        on_token: &mut impl FnMut(&str),
    ) -> Result<Step, Failure> {
        let event = self.events.next().map_err(|_error| Failure::Malformed)?;
        let Some(event) = event else {
            return Ok(Step::Wait);
        };
        if event.data == DONE {
            if !self.finished {
                return Err(Failure::Malformed);
            }
            chunk.extend_from_slice(DONE_EVENT);
            return Ok(Step::Complete);
        }
        if !event.data.is_empty() {
            self.check_token(&event, on_token)?;
            chunk.extend_from_slice(&event.raw);
        }
        Ok(Step::Token)
    }

    fn check_token(
        &mut self,
        event: &ServerEvent,
        on_token: &mut impl FnMut(&str),
    ) -> Result<(), Failure> {
        if event.name == "error" {
            return Err(Failure::ServerError);
        }
        let token: TokenEvent<'_> =
            serde_json::from_str(&event.data).map_err(|_error| Failure::Malformed)?;
        if token.attempt != self.attempt {
            metrics::counter!("briarbank_crossed_answers_total").increment(1);
            return Err(Failure::Malformed);
        }
        if self.finished || token.index != self.next_index {
            return Err(Failure::Malformed);
        }
        on_token(token.text());
        self.next_index = self.next_index.saturating_add(1);
        self.finished = token.is_last();
        Ok(())
    }
}
