//! Bodies of answers to callers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_util::Stream;
use http_body::{Body, Frame, SizeHint};
use quick_error::quick_error;

quick_error! {
    /// Aborts an answer so that the caller sees it as incomplete.
    #[derive(Debug)]
    pub enum Cut {
        /// No server can finish the stream.
        Stream { display("event stream cannot be finished") }
    }
}

/// Chunks of a stream in order of arrival.
pub(crate) type ChunkStream = Pin<Box<dyn Stream<Item = Result<Bytes, Cut>>>>;

/// Body of an answer.
pub(crate) enum AnswerBody {
    /// The pieces of a complete body that are not written, the last one first.
    Whole(Vec<Bytes>),
    /// A body that arrives in chunks.
    Stream(ChunkStream),
}

impl From<Bytes> for AnswerBody {
    fn from(bytes: Bytes) -> Self {
        Self::from(vec![bytes])
    }
}

impl From<Vec<Bytes>> for AnswerBody {
    fn from(mut pieces: Vec<Bytes>) -> Self {
        pieces.retain(|piece| !piece.is_empty());
        pieces.reverse();
        Self::Whole(pieces)
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match self.get_mut() {
            Self::Whole(pieces) => Poll::Ready(pieces.pop().map(|b| Ok(Frame::data(b)))),
            Self::Stream(chunks) => {
                let next = chunks.as_mut().poll_next(cx);
                next.map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(pieces) if pieces.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(pieces) => {
                let bytes: usize = pieces.iter().map(Bytes::len).sum();
                SizeHint::with_exact(bytes as u64)
            }
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
