//! Plain answers, buffered until they are complete, in bounded memory.

use std::cell::Cell;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use quick_error::quick_error;

/// Largest plain answer; answers are buffered so that broken ones can be retried.
const ANSWER_BYTES_MAX: usize = 8 << 20;

/// Part of an answer that needs no reservation, so that usual answers always fit.
const FREE_BYTES: usize = 64 << 10;

/// Bytes beyond the free parts that all answers together may take.
///
/// The smallest hosts have 110 MB, and a buffer that grows takes up to twice its size.
const RESERVED_BYTES_MAX: usize = 16 << 20;

quick_error! {
    /// Error of an answer that cannot be buffered.
    #[derive(Debug)]
    pub enum BufferError {
        Broken(error: hyper::Error) { display("answer broke off: {error}") from() }
        TooLarge { display("answer is larger than {ANSWER_BYTES_MAX} bytes") }
        NoMemory { display("answers in flight take more than {RESERVED_BYTES_MAX} bytes") }
    }
}

/// Memory of all buffered answers of a node.
#[derive(Clone, Debug, Default)]
pub(crate) struct AnswerMemory {
    reserved_bytes: Rc<Cell<usize>>,
}

/// A buffered answer, which counts against the node's memory until dropped.
#[derive(Debug)]
pub(crate) struct BufferedAnswer {
    pub(crate) bytes: Bytes,
    pub(crate) reservation: Reservation,
}

/// Part of the memory for answers.
#[derive(Debug)]
pub(crate) struct Reservation {
    memory: AnswerMemory,
    bytes: usize,
}

impl AnswerMemory {
    /// Reads an answer to its end.
    pub(crate) async fn collect(&self, mut body: Incoming) -> Result<BufferedAnswer, BufferError> {
        let mut reservation = Reservation {
            memory: self.clone(),
            bytes: 0,
        };
        let mut buffer = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            let size = buffer.len() + data.len();
            if size > ANSWER_BYTES_MAX {
                return Err(BufferError::TooLarge);
            }
            if !reservation.grow(size.saturating_sub(FREE_BYTES)) {
                return Err(BufferError::NoMemory);
            }
            buffer.extend_from_slice(&data);
        }
        Ok(BufferedAnswer {
            bytes: buffer.freeze(),
            reservation,
        })
    }
}

impl Reservation {
    /// Grows to that size; returns false if the memory for answers is used up.
    fn grow(&mut self, bytes: usize) -> bool {
        let reserved = self.memory.reserved_bytes.get();
        let total = reserved + bytes.saturating_sub(self.bytes);
        if total > RESERVED_BYTES_MAX {
            return false;
        }
        self.memory.reserved_bytes.set(total);
        self.bytes = self.bytes.max(bytes);
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let reserved = self.memory.reserved_bytes.get();
        self.memory
            .reserved_bytes
            .set(reserved.saturating_sub(self.bytes));
    }
}
