//! Boundaries of server-sent events in a byte stream.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};

/// Largest event that is buffered until it is complete.
const EVENT_BYTES_MAX: usize = 256 << 10;

/// Splits a stream after complete events, so that it can be resumed.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    buffer: BytesMut,
    last_id: Option<Arc<str>>,
    /// Whether the present answer has brought an event.
    has_event: bool,
}

impl EventSplitter {
    /// Adds bytes and returns all events that are complete.
    pub(crate) fn push(&mut self, bytes: Bytes) -> Option<Bytes> {
        if self.buffer.is_empty() && bytes.ends_with(b"\n\n") {
            self.record(&bytes);
            return Some(bytes);
        }
        self.buffer.extend_from_slice(&bytes);
        let end = find_last_end(&self.buffer)?;
        let complete = self.buffer.split_to(end).freeze();
        self.record(&complete);
        Some(complete)
    }

    /// Returns whether the incomplete event is longer than any event may be.
    pub(crate) fn is_too_long(&self) -> bool {
        self.buffer.len() > EVENT_BYTES_MAX
    }

    /// Returns whether an incomplete event is buffered.
    pub(crate) fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns whether the present answer has brought a complete event.
    pub(crate) fn has_event(&self) -> bool {
        self.has_event
    }

    /// Begins another answer with the rest of the stream; discards an incomplete event.
    pub(crate) fn begin_answer(&mut self) {
        self.buffer.clear();
        self.has_event = false;
    }

    /// Returns the id of the last event that was returned.
    pub(crate) fn last_id(&self) -> Option<&Arc<str>> {
        self.last_id.as_ref()
    }

    fn record(&mut self, events: &[u8]) {
        self.has_event |= has_event(events);
        let lines = events.rsplit(|byte| *byte == b'\n');
        let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
        let Some(id) = ids.next().and_then(|id| std::str::from_utf8(id).ok()) else {
            return;
        };
        self.last_id = Some(Arc::from(id.trim()));
    }
}

/// Returns whether events are among complete lines, which may all be comments.
fn has_event(lines: &[u8]) -> bool {
    let mut lines = lines.split(|byte| *byte == b'\n');
    lines.any(|line| !matches!(line, [] | [b':', ..]))
}

/// Returns the position after the last empty line.
fn find_last_end(bytes: &[u8]) -> Option<usize> {
    let start = bytes.windows(2).rposition(|pair| pair == b"\n\n")?;
    Some(start + 2)
}
