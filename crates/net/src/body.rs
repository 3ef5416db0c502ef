//! Reads bodies for as long as they make progress.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use quick_error::quick_error;
use tokio::time::timeout;

quick_error! {
    /// Error of reading a body.
    #[derive(Debug)]
    pub enum BodyError {
        /// Nothing arrived for the idle timeout.
        Silent {
            display("body stopped arriving")
        }
        /// The body is larger than this many bytes.
        TooLarge(bytes_max: usize) {
            display("body is larger than {bytes_max} bytes")
        }
        /// The connection broke.
        Broken(error: hyper::Error) {
            source(error)
            from()
            display("connection broke within the body: {error}")
        }
    }
}

/// Reads a body of at most `bytes_max` bytes.
///
/// The timeout applies to each part of the body: a large one may take long on a slow
/// link, while a dead connection is detected soon.
///
/// # Errors
///
/// Nothing arrives for `idle_timeout`, the body is too large, or the connection breaks.
pub async fn read_body(
    mut body: Incoming,
    idle_timeout: Duration,
    bytes_max: usize,
) -> Result<Bytes, BodyError> {
    let mut bytes = Vec::new();
    loop {
        let Ok(frame) = timeout(idle_timeout, body.frame()).await else {
            return Err(BodyError::Silent);
        };
        let Some(frame) = frame.transpose()? else {
            return Ok(bytes.into());
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if bytes.len() + data.len() > bytes_max {
            return Err(BodyError::TooLarge(bytes_max));
        }
        bytes.extend_from_slice(&data);
    }
}
