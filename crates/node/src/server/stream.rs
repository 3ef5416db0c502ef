//! A model engine's streamed answer, checked token by token.

use briarbank_core::call::Failure;
use briarbank_core::ids::AttemptId;
use bytes::{Bytes, BytesMut};

use super::sse::{EventReader, ServerEvent};
use super::token::{DONE, TokenEvent};

/// Event that ends a stream.
const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

/// Events that are whole and in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamPart {
    /// Events to hand on, as the engine sent them; they come before the end.
    pub chunk: Bytes,
    /// How the stream ended, if it did.
    pub end: Option<StreamEnd>,
}

/// How a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// The answer is whole.
    Complete,
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
    Complete,
}

/// Stream of one attempt, without input or output.
///
/// Only events of this attempt whose index is the next one pass; anything
/// else ends the stream as [`Failure::Malformed`], and what follows it is
/// dropped. Memory is bounded by one event and what was pushed last.
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
    next: u32,
    finished: bool,
}

impl AnswerStream {
    /// A stream whose first token has the index `next`.
    #[must_use]
    pub fn new(attempt: AttemptId, next: u32, limit_bytes: usize) -> Self {
        Self {
            events: EventReader::new(limit_bytes),
            attempt: attempt.to_string(),
            next,
            finished: false,
        }
    }

    /// Takes the next bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.events.push(bytes);
    }

    /// Takes all whole events, and hands the text of each token to `on_token`.
    pub fn next_part(&mut self, mut on_token: impl FnMut(&str)) -> StreamPart {
        let mut chunk = BytesMut::new();
        let end = loop {
            match self.event(&mut chunk, &mut on_token) {
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

    /// What follows when the connection ends before the stream does.
    #[must_use]
    pub fn end_of_input(&self) -> StreamPart {
        if self.finished && self.events.is_empty() {
            // All tokens are there: only the closing event is missing.
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

    fn event(
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
            self.token(&event, on_token)?;
            chunk.extend_from_slice(&event.raw);
        }
        Ok(Step::Token)
    }

    fn token(
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
        if self.finished || token.index != self.next {
            return Err(Failure::Malformed);
        }
        on_token(token.text());
        self.next = self.next.saturating_add(1);
        self.finished = token.is_last();
        Ok(())
    }
}
