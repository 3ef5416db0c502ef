//! Follows the head of a request as it is received, in constant memory.

use std::mem;

/// Names of the headers that give the length of a body, in lower case.
const FRAMING_NAMES: [&[u8]; 2] = [b"content-length", b"transfer-encoding"];

/// Longest of these names.
const NAME_BYTES_MAX: usize = 17;

/// Finds the end of a request's head, and whether it gives the length of the body twice.
///
/// HTTP libraries follow the chunked coding in this case and ignore the length. A sender
/// that frames the body by the other length could smuggle a second request in it.
#[derive(Debug, Default)]
pub(crate) struct HeadScanner {
    /// Bytes of the head so far, with the empty lines before it.
    bytes: usize,
    /// Whether a line with content was seen; empty lines before it are skipped.
    has_begun: bool,
    /// Whether the last byte was a carriage return.
    after_return: bool,
    /// Length of the current line.
    line_bytes: usize,
    /// Start of the current line, in lower case.
    name: [u8; NAME_BYTES_MAX],
    /// Whether the name of the current line has ended.
    is_named: bool,
    framing_headers: usize,
}

impl HeadScanner {
    /// Returns the number of bytes of the head so far.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns whether the head gives the length of the body in two ways.
    pub(crate) fn is_ambiguous(&self) -> bool {
        self.framing_headers > 1
    }

    /// Takes received bytes; returns whether the head has ended.
    pub(crate) fn take(&mut self, bytes: &[u8]) -> bool {
        for byte in bytes {
            self.bytes += 1;
            if self.take_byte(*byte) {
                return true;
            }
        }
        false
    }

    fn take_byte(&mut self, byte: u8) -> bool {
        let after_return = mem::replace(&mut self.after_return, byte == b'\r');
        match byte {
            b'\r' => {}
            b'\n' => {
                // Only an empty line that ends as HTTP says ends the head.
                let is_end = self.has_begun && self.line_bytes == 0 && after_return;
                self.line_bytes = 0;
                self.is_named = false;
                return is_end;
            }
            _ => {
                self.has_begun = true;
                self.take_in_line(byte);
            }
        }
        false
    }

    fn take_in_line(&mut self, byte: u8) {
        if byte == b':' && !mem::replace(&mut self.is_named, true) {
            let name = self.name.get(..self.line_bytes).unwrap_or_default();
            let name = name.trim_ascii();
            if FRAMING_NAMES.contains(&name) {
                self.framing_headers += 1;
            }
        }
        if let Some(place) = self.name.get_mut(self.line_bytes) {
            *place = byte.to_ascii_lowercase();
        }
        self.line_bytes += 1;
    }
}
