//! Plain answers, buffered until they are complete, in bounded memory.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use briarbank_core::flow::Fault;
use bytes::Bytes;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use quick_error::quick_error;

use crate::caller::framing::Framing;
use crate::server::break_fault;

/// Largest plain answer; answers are buffered so that broken ones can be retried.
const ANSWER_BYTES_MAX: usize = 8 << 20;

/// Part of an answer that needs no reservation, so that usual answers always fit.
const FREE_BYTES: usize = 64 << 10;

/// Bytes beyond the free parts that the buffers of all answers together may take.
///
/// The smallest hosts have 88 MB. A buffer that grows exists twice while it is copied.
const RESERVED_BYTES_MAX: usize = 24 << 20;

quick_error! {
    /// Error of an answer that cannot be buffered.
    #[derive(Debug)]
    pub enum BufferError {
        Broken(error: hyper::Error) { display("answer broke off: {error}") from() }
        TooLarge { display("answer is larger than {ANSWER_BYTES_MAX} bytes") }
        Empty { display("connection ended without a body") }
        NoMemory { display("answers in flight take more than {RESERVED_BYTES_MAX} bytes") }
    }
}

impl BufferError {
    /// Returns the fault of the server whose answer it was.
    pub(crate) fn fault(&self) -> Fault {
        match self {
            Self::Broken(error) => break_fault(error),
            Self::Empty => Fault::Broken,
            Self::TooLarge | Self::NoMemory => Fault::Malformed,
        }
    }
}

/// Memory of all buffered answers of a node.
#[derive(Clone, Debug, Default)]
pub(crate) struct AnswerMemory {
    reserved_bytes: Arc<AtomicUsize>,
}

/// A buffered answer, which counts against the node's memory until dropped.
#[derive(Debug)]
pub(crate) struct BufferedAnswer {
    bytes: Bytes,
    _reservation: Reservation,
}

/// A buffered answer and what is kept until its last byte is written.
struct Held<T> {
    answer: BufferedAnswer,
    _until_written: T,
}

impl<T> AsRef<[u8]> for Held<T> {
    fn as_ref(&self) -> &[u8] {
        &self.answer.bytes
    }
}

impl BufferedAnswer {
    /// Returns the bytes, which keep `until_written` until they are dropped.
    ///
    /// The connection drops them when the socket has taken them all.
    pub(crate) fn into_bytes<T: Send + 'static>(self, until_written: T) -> Bytes {
        Bytes::from_owner(Held {
            answer: self,
            _until_written: until_written,
        })
    }
}

/// Part of the memory for answers.
#[derive(Debug)]
pub(crate) struct Reservation {
    memory: AnswerMemory,
    bytes: usize,
}

impl AnswerMemory {
    /// Reads an answer to its end.
    ///
    /// A success that only the end of the connection completes needs a body: a server that
    /// crashes after the head ends it in the same way.
    pub(crate) async fn collect(
        &self,
        body: &mut Incoming,
        status: StatusCode,
        framing: Framing,
    ) -> Result<BufferedAnswer, BufferError> {
        let mut reservation = Reservation {
            memory: self.clone(),
            bytes: 0,
        };
        let mut buffer = Vec::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            let size = buffer.len() + data.len();
            if size > ANSWER_BYTES_MAX {
                return Err(BufferError::TooLarge);
            }
            if size > buffer.capacity() {
                let capacity = size.next_power_of_two();
                if !reservation.grow(capacity.saturating_sub(FREE_BYTES)) {
                    return Err(BufferError::NoMemory);
                }
                buffer.reserve_exact(capacity - buffer.len());
            }
            buffer.extend_from_slice(&data);
        }
        if buffer.is_empty() && status.is_success() && framing == Framing::ConnectionEnd {
            return Err(BufferError::Empty);
        }
        Ok(BufferedAnswer {
            bytes: buffer.into(),
            _reservation: reservation,
        })
    }
}

impl Reservation {
    /// Grows to that size; returns false if the memory for answers is used up.
    fn grow(&mut self, bytes: usize) -> bool {
        let added = bytes.saturating_sub(self.bytes);
        let reserved = &self.memory.reserved_bytes;
        if reserved.load(Ordering::Relaxed) + added > RESERVED_BYTES_MAX {
            return false;
        }
        reserved.fetch_add(added, Ordering::Relaxed);
        self.bytes += added;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let reserved = &self.memory.reserved_bytes;
        reserved.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
