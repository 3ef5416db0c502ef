//! Plain answers, buffered until they are complete.

use std::sync::Arc;

use briarbank_core::flow::Fault;
use briarbank_core::occupancy::{Full, Purpose};
use briarbank_net::{Collector, HeldBytes, Place};
use bytes::Bytes;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use quick_error::quick_error;

use crate::caller::framing::Framing;
use crate::server::break_fault;

/// Largest plain answer; answers are buffered so that broken ones can be retried.
const ANSWER_BYTES_MAX: usize = 8 << 20;

quick_error! {
    /// Error of an answer that cannot be buffered.
    #[derive(Debug)]
    pub enum BufferError {
        Broken(error: hyper::Error) { display("answer broke off: {error}") from() }
        TooLarge { display("answer is larger than {ANSWER_BYTES_MAX} bytes") }
        Empty { display("connection ended without a body") }
        NoRoom(full: Full) { display("answer cannot be buffered: {full}") from() }
    }
}

impl BufferError {
    /// Returns the fault of the server whose answer it was.
    pub(crate) fn fault(&self) -> Fault {
        match self {
            Self::Broken(error) => break_fault(error),
            Self::Empty => Fault::Broken,
            Self::TooLarge => Fault::Malformed,
            Self::NoRoom(_) => Fault::Cancelled,
        }
    }
}

/// A piece of an answer, and what is kept until all of them are written.
struct Written<T> {
    piece: Bytes,
    _kept: Arc<(HeldBytes, T)>,
}

impl<T> AsRef<[u8]> for Written<T> {
    fn as_ref(&self) -> &[u8] {
        &self.piece
    }
}

/// Reads an answer to its end; it counts as held by the caller's connection.
///
/// A success that only the end of the connection completes needs a body: a server that
/// crashes after the head ends it in the same way.
pub(crate) async fn collect(
    body: &mut Incoming,
    status: StatusCode,
    framing: Framing,
    place: &Arc<Place>,
) -> Result<HeldBytes, BufferError> {
    let mut collector = Collector::new(place, Purpose::Answer, None);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        if collector.length() + data.len() > ANSWER_BYTES_MAX {
            return Err(BufferError::TooLarge);
        }
        collector.push(&data)?;
    }
    if collector.length() == 0 && status.is_success() && framing == Framing::ConnectionEnd {
        return Err(BufferError::Empty);
    }
    Ok(collector.finish())
}

/// Returns an answer's pieces, which keep it and `until_written` until they are dropped.
///
/// The connection drops them when the socket has taken them all.
pub(crate) fn into_pieces<T>(answer: HeldBytes, until_written: T) -> Vec<Bytes>
where
    T: Send + Sync + 'static,
{
    let pieces = answer.pieces().to_vec();
    let kept = Arc::new((answer, until_written));
    let keep = |piece| {
        Bytes::from_owner(Written {
            piece,
            _kept: Arc::clone(&kept),
        })
    };
    pieces.into_iter().map(keep).collect()
}
