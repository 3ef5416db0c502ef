//! Parser of server-sent events with a bounded buffer.

use bytes::{Bytes, BytesMut};
use quick_error::quick_error;

quick_error! {
    /// Error that ends the parsing of a stream.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum Error {
        /// An event exceeds the size limit.
        TooLarge(limit_bytes: usize) {
            display("event is larger than {limit_bytes} bytes")
        }
        /// An event is not UTF-8.
        NotText {
            display("event is not UTF-8")
        }
    }
}

/// One server-sent event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerEvent {
    /// The event as sent, with the empty line at its end.
    pub raw: Bytes,
    /// Value of its `event` field, empty without one.
    pub name: String,
    /// Values of its `data` fields, joined by line feeds.
    pub data: String,
}

/// Incremental parser of server-sent events.
#[derive(Debug)]
pub struct EventReader {
    buffer: BytesMut,
    searched: usize,
    limit_bytes: usize,
}

impl EventReader {
    /// Creates a reader of events of at most `limit_bytes`.
    #[must_use]
    pub fn new(limit_bytes: usize) -> Self {
        Self {
            buffer: BytesMut::new(),
            searched: 0,
            limit_bytes,
        }
    }

    /// Appends the next bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the bytes of the incomplete event.
    #[must_use]
    pub fn incomplete(&self) -> &[u8] {
        &self.buffer
    }

    /// Returns the next complete event, or `None` when more bytes are needed.
    ///
    /// # Errors
    ///
    /// The next event is too large or not UTF-8.
    #[expect(
        clippy::should_implement_trait,
        reason = "it fails, and more may follow after None"
    )]
    pub fn next(&mut self) -> Result<Option<ServerEvent>, Error> {
        let Some(end) = self.find_end() else {
            if self.buffer.len() > self.limit_bytes {
                return Err(Error::TooLarge(self.limit_bytes));
            }
            return Ok(None);
        };
        if end > self.limit_bytes {
            return Err(Error::TooLarge(self.limit_bytes));
        }
        self.searched = 0;
        let raw = self.buffer.split_to(end).freeze();
        if self.buffer.is_empty() {
            // Else the next event may reclaim the memory of a large one.
            self.buffer = BytesMut::new();
        }
        parse_event(raw).map(Some)
    }

    /// Returns the position after the next empty line.
    fn find_end(&mut self) -> Option<usize> {
        let bytes = &self.buffer[..];
        for at in self.searched..bytes.len() {
            if bytes[at] != b'\n' {
                continue;
            }
            let line = &bytes[..at];
            let empty = line.is_empty()
                || line.ends_with(b"\n")
                || line.ends_with(b"\n\r")
                || line == b"\r";
            if empty {
                return Some(at + 1);
            }
        }
        self.searched = bytes.len();
        None
    }
}

fn parse_event(raw: Bytes) -> Result<ServerEvent, Error> {
    let text = std::str::from_utf8(&raw).map_err(|_error| Error::NotText)?;
    let mut name = String::new();
    let mut data: Option<String> = None;
    for line in text.lines() {
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "event" => value.clone_into(&mut name),
            "data" => match &mut data {
                None => data = Some(value.to_owned()),
                Some(data) => {
                    data.push('\n');
                    data.push_str(value);
                }
            },
            _ => {}
        }
    }
    Ok(ServerEvent {
        name,
        data: data.unwrap_or_default(),
        raw,
    })
}
