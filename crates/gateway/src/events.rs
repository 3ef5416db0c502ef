//! Boundaries of server-sent events in a byte stream.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};

/// Largest event that is held back until it is whole.
const EVENT_BYTES_MAX: usize = 256 << 10;

/// Gives back whole events only, so that a stream can be taken up after one.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    buffer: BytesMut,
    last_id: Option<Arc<str>>,
}

impl EventSplitter {
    /// Takes the next bytes and gives back all events that are whole.
    ///
    /// Bytes that can't be events pass as they are.
    pub(crate) fn push(&mut self, bytes: Bytes) -> Option<Bytes> {
        if self.buffer.is_empty() && bytes.ends_with(b"\n\n") {
            self.note_id(&bytes);
            return Some(bytes);
        }
        self.buffer.extend_from_slice(&bytes);
        let Some(end) = find_last_end(&self.buffer) else {
            let is_too_long = self.buffer.len() > EVENT_BYTES_MAX;
            return is_too_long.then(|| self.buffer.split().freeze());
        };
        let whole = self.buffer.split_to(end).freeze();
        self.note_id(&whole);
        Some(whole)
    }

    /// Whether a part of an event waits for its rest.
    pub(crate) fn has_rest(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Drops the part of an event that was cut off.
    pub(crate) fn drop_rest(&mut self) {
        self.buffer.clear();
    }

    /// Id of the last event that was given back.
    pub(crate) fn last_id(&self) -> Option<&Arc<str>> {
        self.last_id.as_ref()
    }

    fn note_id(&mut self, events: &[u8]) {
        let lines = events.rsplit(|byte| *byte == b'\n');
        let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
        let Some(id) = ids.next().and_then(|id| std::str::from_utf8(id).ok()) else {
            return;
        };
        self.last_id = Some(Arc::from(id.trim()));
    }
}

/// Position after the last empty line.
fn find_last_end(bytes: &[u8]) -> Option<usize> {
    let start = bytes.windows(2).rposition(|pair| pair == b"\n\n")?;
    Some(start + 2)
}
