//! What shows where the body of an answer ends.

use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, Method, StatusCode};

/// How the end of an answer's body is known.
///
/// Source: RFC 9112, section 6.3.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// By a length, by chunks, or since the answer has no body.
    Explicit,
    /// By the end of the connection, which a crash of the server causes as well.
    ConnectionEnd,
}

impl Framing {
    /// Returns the framing of an answer to a call with that method.
    pub(crate) fn of(method: &Method, status: StatusCode, headers: &HeaderMap) -> Self {
        let has_no_body = *method == Method::HEAD
            || status.is_informational()
            || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        let codings = headers.get_all(TRANSFER_ENCODING);
        let is_framed = match codings.iter().next_back() {
            // Other codings have no end of their own.
            Some(coding) => coding.as_bytes().to_ascii_lowercase().ends_with(b"chunked"),
            None => headers.contains_key(CONTENT_LENGTH),
        };
        if has_no_body || is_framed {
            Self::Explicit
        } else {
            Self::ConnectionEnd
        }
    }
}
