//! Heads and bodies of HTTP/1.1 messages.

use std::io::{self, Read};
use std::net::TcpStream;

/// A message that was read, and what follows it in the buffer of its connection.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns a header by its name in lower case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status of an answer, 0 if there is none.
    #[must_use]
    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Returns the path of a request with its query.
    #[must_use]
    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

fn find(bytes: &[u8], text: &[u8]) -> Option<usize> {
    bytes.windows(text.len()).position(|part| part == text)
}

/// Reads more bytes; false at the end of the connection.
fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<bool> {
    let mut bytes = [0; 16 << 10];
    let count = stream.read(&mut bytes)?;
    buffer.extend_from_slice(&bytes[..count]);
    Ok(count > 0)
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let end = loop {
        if let Some(end) = find(buffer, b"\r\n\r\n") {
            break end;
        }
        if !fill(stream, buffer)? {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or("").to_owned();
    let headers = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    Ok(Some(Message {
        first,
        headers,
        body: Vec::new(),
    }))
}

/// Reads exactly as many bytes of a body.
pub fn read_exact(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    length: usize,
) -> io::Result<Vec<u8>> {
    while buffer.len() < length {
        if !fill(stream, buffer)? {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(buffer.drain(..length).collect())
}

/// Reads the body of a message by length or by chunks; `take` gets each piece.
pub fn read_body(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    head: &Message,
    mut take: impl FnMut(&[u8]),
) -> io::Result<()> {
    let is_chunked = head
        .header("transfer-encoding")
        .is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"));
    if !is_chunked {
        let length = head.header("content-length");
        let length = length.and_then(|l| l.parse().ok()).unwrap_or(0);
        let body = read_exact(stream, buffer, length)?;
        take(&body);
        return Ok(());
    }
    loop {
        let end = loop {
            if let Some(end) = find(buffer, b"\r\n") {
                break end;
            }
            if !fill(stream, buffer)? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let line = String::from_utf8_lossy(&buffer[..end]).into_owned();
        buffer.drain(..end + 2);
        let size = usize::from_str_radix(line.trim(), 16)
            .map_err(|_error| io::Error::from(io::ErrorKind::InvalidData))?;
        let piece = read_exact(stream, buffer, size + 2)?;
        if size == 0 {
            return Ok(());
        }
        take(&piece[..size]);
    }
}

/// Reads a whole message; `None` at the end of the connection.
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(stream, buffer)? else {
        return Ok(None);
    };
    let mut body = Vec::new();
    read_body(stream, buffer, &message, |piece| {
        body.extend_from_slice(piece);
    })?;
    message.body = body;
    Ok(Some(message))
}
