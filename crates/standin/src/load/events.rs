//! Parsing of the router's answers and event streams.

use std::borrow::Cow;
use std::time::Duration;

use briarbank_core::call::Outcome;
use serde::Deserialize;

/// Maximum size of the event buffer of a stream.
const EVENT_LIMIT_BYTES: usize = 1 << 20;
/// Byte sequence that ends an event.
const EVENT_END: &[u8] = b"\n\n";

#[derive(Debug, Deserialize)]
pub(crate) struct Message<'a> {
    #[serde(borrow, default)]
    pub(crate) content: Cow<'a, str>,
}

#[derive(Debug, Deserialize)]
pub(crate) struct Choice<'a> {
    #[serde(borrow, default)]
    pub(crate) text: Cow<'a, str>,
    #[serde(borrow)]
    pub(crate) message: Option<Message<'a>>,
}

/// Complete answer or streamed event of a model.
#[derive(Debug, Deserialize)]
pub(crate) struct ModelAnswer<'a> {
    #[serde(borrow)]
    pub(crate) choices: Vec<Choice<'a>>,
}

impl ModelAnswer<'_> {
    /// Returns the text of the first choice.
    pub(crate) fn text(&self) -> &str {
        let Some(choice) = self.choices.first() else {
            return "";
        };
        choice.message.as_ref().map_or(&choice.text, |m| &m.content)
    }
}

/// Answer of the service stand-in.
#[derive(Debug, Deserialize)]
pub(crate) struct ServiceAnswer<'a> {
    pub(crate) request_id: Option<&'a str>,
    pub(crate) body_hash: &'a str,
}

/// Error object of a refusal or of an error event in a stream.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct ErrorObject {
    #[serde(rename = "type")]
    pub(crate) kind: String,
    pub(crate) outcome: Outcome,
    #[serde(default)]
    pub(crate) retry_after_ms: u64,
}

/// Body of a refusal, or data of an error event.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct ErrorBody {
    pub(crate) error: ErrorObject,
}

impl ErrorObject {
    pub(crate) fn retry_after(&self) -> Duration {
        Duration::from_millis(self.retry_after_ms)
    }
}

/// Buffer that splits a byte stream into server-sent events.
#[derive(Debug, Default)]
pub(crate) struct EventBuffer {
    bytes: Vec<u8>,
    start: usize,
}

impl EventBuffer {
    /// Appends bytes; returns whether the buffer is within its size limit.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> bool {
        self.bytes.drain(..self.start);
        self.start = 0;
        self.bytes.extend_from_slice(bytes);
        self.bytes.len() <= EVENT_LIMIT_BYTES
    }

    /// Returns name and data of the next complete event.
    pub(crate) fn next_event(&mut self) -> Option<(&str, &str)> {
        let rest = &self.bytes[self.start..];
        let end = rest.windows(EVENT_END.len()).position(|w| w == EVENT_END)?;
        self.start += end + EVENT_END.len();
        let event = std::str::from_utf8(&rest[..end]).unwrap_or("");
        let mut name = "";
        let mut data = "";
        for line in event.lines() {
            if let Some(value) = line.strip_prefix("data:") {
                data = value.trim_start();
            } else if let Some(value) = line.strip_prefix("event:") {
                name = value.trim_start();
            }
        }
        Some((name, data))
    }
}
