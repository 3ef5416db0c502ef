//! Length-prefixed framing of messages in a byte stream.

use crate::{Error, MESSAGE_BYTES_MAX};

const LENGTH_BYTES: usize = size_of::<u32>();

/// Extracts encoded messages from a byte stream that arrives in chunks.
///
/// # Examples
///
/// ```
/// use briarbank_wire::FrameReader;
///
/// let framed = FrameReader::frame(b"one")?;
/// let mut reader = FrameReader::default();
/// reader.push(&framed[..5]);
/// assert_eq!(reader.next()?, None);
/// reader.push(&framed[5..]);
/// assert_eq!(reader.next()?.as_deref(), Some(&b"one"[..]));
/// # Ok::<(), briarbank_wire::Error>(())
/// ```
#[derive(Debug, Default)]
pub struct FrameReader {
    buffer: Vec<u8>,
}

impl FrameReader {
    /// Prefixes an encoded message with its length.
    ///
    /// # Errors
    ///
    /// Returns [`Error::TooLarge`].
    pub fn frame(message: &[u8]) -> Result<Vec<u8>, Error> {
        let too_large = |_| Error::TooLarge(message.len());
        let length = u32::try_from(message.len()).map_err(too_large)?;
        if message.len() > MESSAGE_BYTES_MAX {
            return Err(Error::TooLarge(message.len()));
        }
        let mut framed = Vec::with_capacity(LENGTH_BYTES + message.len());
        framed.extend_from_slice(&length.to_be_bytes());
        framed.extend_from_slice(message);
        Ok(framed)
    }

    /// Appends the next chunk of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete message, or `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// Returns [`Error::TooLarge`]; the rest of the stream cannot be read then.
    #[expect(
        clippy::should_implement_trait,
        reason = "it can fail, and messages may follow after None"
    )]
    pub fn next(&mut self) -> Result<Option<Vec<u8>>, Error> {
        let Some(prefix) = self.buffer.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*prefix) as usize;
        if length > MESSAGE_BYTES_MAX {
            return Err(Error::TooLarge(length));
        }
        let end = LENGTH_BYTES + length;
        if self.buffer.len() < end {
            return Ok(None);
        }
        let message = self.buffer[LENGTH_BYTES..end].to_vec();
        self.buffer.drain(..end);
        Ok(Some(message))
    }

    /// Returns the bytes after the last message that was read.
    #[must_use]
    pub fn into_rest(self) -> Vec<u8> {
        self.buffer
    }
}
