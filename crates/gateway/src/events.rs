//! Boundaries of server-sent events in a byte stream.

use std::sync::Arc;

use briarbank_core::occupancy::Purpose;
use briarbank_net::{Place, Reservation};
use bytes::{Bytes, BytesMut};

/// Largest event that is buffered until it is complete.
const EVENT_BYTES_MAX: usize = 256 << 10;

/// Reason why events cannot be passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EventError {
    /// They do not go on after the last one of the stream.
    OutOfOrder,
    /// One that is not complete is longer than any may be.
    TooLong,
    /// There is no room for one that is not complete.
    NoRoom,
}

/// Splits a stream after complete events, so that it can be resumed.
///
/// What it buffers of an incomplete event counts as held by the caller's connection.
#[derive(Debug)]
pub(crate) struct EventSplitter {
    buffer: BytesMut,
    /// Bytes of the buffer that hold no end of an event.
    searched: usize,
    reserved: usize,
    reservation: Reservation,
    last_id: Option<Arc<str>>,
    /// Whether the present answer has brought an event.
    has_event: bool,
    /// Whether any answer has brought an event.
    has_begun: bool,
}

impl EventSplitter {
    /// Creates a splitter for the rest of a stream after an event, `None` for a whole stream.
    pub(crate) fn after(last_id: Option<Arc<str>>, place: &Arc<Place>) -> Self {
        Self {
            buffer: BytesMut::new(),
            searched: 0,
            reserved: 0,
            reservation: Reservation::new(place, Purpose::Answer),
            last_id,
            has_event: false,
            has_begun: false,
        }
    }

    /// Adds bytes and returns all events that are complete.
    ///
    /// # Errors
    ///
    /// The first event of an answer does not go on after the last one of the stream, or an
    /// incomplete one cannot be buffered.
    pub(crate) fn push(&mut self, bytes: Bytes) -> Result<Option<Bytes>, EventError> {
        if self.buffer.is_empty() && bytes.ends_with(b"\n\n") {
            self.record(&bytes)?;
            return Ok(Some(bytes));
        }
        self.reserve(bytes.len())?;
        self.buffer.extend_from_slice(&bytes);
        let Some(end) = find_last_end(&self.buffer, self.searched) else {
            self.searched = self.buffer.len();
            if self.searched > EVENT_BYTES_MAX {
                return Err(EventError::TooLong);
            }
            return Ok(None);
        };
        let complete = self.buffer.split_to(end).freeze();
        self.searched = self.buffer.len();
        if self.buffer.is_empty() {
            self.clear();
        }
        self.record(&complete)?;
        Ok(Some(complete))
    }

    /// Makes room for more bytes, in steps of powers of two.
    fn reserve(&mut self, bytes: usize) -> Result<(), EventError> {
        let needed = self.buffer.len() + bytes;
        if needed <= self.reserved {
            return Ok(());
        }
        let capacity = needed.next_power_of_two();
        let grown = self.reservation.grow(capacity - self.reserved);
        grown.map_err(|_full| EventError::NoRoom)?;
        self.reserved = capacity;
        self.buffer.reserve(capacity - self.buffer.len());
        Ok(())
    }

    /// Discards what is buffered, with its memory.
    fn clear(&mut self) {
        self.buffer = BytesMut::new();
        (self.searched, self.reserved) = (0, 0);
        self.reservation.shrink_to(0);
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
        self.clear();
        self.has_event = false;
    }

    /// Returns the id of the last event that was returned.
    pub(crate) fn last_id(&self) -> Option<&Arc<str>> {
        self.last_id.as_ref()
    }

    /// Returns whether another server can go on after the events so far.
    ///
    /// It would begin anew after events without an id.
    pub(crate) fn can_go_on(&self) -> bool {
        !self.has_begun || self.last_id.is_some()
    }

    fn record(&mut self, events: &[u8]) -> Result<(), EventError> {
        if !has_event(events) {
            return Ok(());
        }
        if let Some(last_id) = self.last_id.as_deref().filter(|_| !self.has_event)
            && !go_on_after(events, last_id)
        {
            return Err(EventError::OutOfOrder);
        }
        self.has_event = true;
        self.has_begun = true;
        let mut lines = events.rsplit(|byte| *byte == b'\n');
        if let Some(id) = lines.find_map(event_id) {
            self.last_id = Some(Arc::from(id));
        }
        Ok(())
    }
}

/// Returns the id that a line of an event gives.
fn event_id(line: &[u8]) -> Option<&str> {
    let id = std::str::from_utf8(line.strip_prefix(b"id:")?).ok()?;
    Some(id.trim())
}

/// Returns whether the first of some events follows the one with that id.
fn go_on_after(events: &[u8], last_id: &str) -> bool {
    let lines = events.split(|byte| *byte == b'\n');
    let first = lines.skip_while(|line| is_blank(line));
    let mut ids = first
        .take_while(|line| !line.is_empty())
        .filter_map(event_id);
    let Some(id) = ids.next() else {
        return false;
    };
    match (id.parse::<u64>(), last_id.parse::<u64>()) {
        (Ok(id), Ok(last_id)) => id > last_id,
        _ => id != last_id,
    }
}

/// Returns whether a line is empty or a comment.
fn is_blank(line: &[u8]) -> bool {
    matches!(line, [] | [b':', ..])
}

/// Returns whether events are among complete lines, which may all be comments.
fn has_event(lines: &[u8]) -> bool {
    let mut lines = lines.split(|byte| *byte == b'\n');
    lines.any(|line| !is_blank(line))
}

/// Returns the position after the last empty line, of which none is among the `searched`
/// first bytes.
fn find_last_end(bytes: &[u8], searched: usize) -> Option<usize> {
    let from = searched.saturating_sub(1);
    let rest = bytes.get(from..)?;
    let start = rest.windows(2).rposition(|pair| pair == b"\n\n")?;
    Some(from + start + 2)
}
