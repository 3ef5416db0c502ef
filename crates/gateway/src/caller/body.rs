//! Bodies of answers to callers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_util::Stream;
use http_body::{Body, Frame, SizeHint};
use quick_error::quick_error;

quick_error! {
    /// The answer ends early and must look so.
    #[derive(Debug)]
    pub enum Cut {
        /// The server's stream can't be finished.
        Stream { display("the stream was cut") }
    }
}

/// Bytes of a stream as they come.
pub(crate) type Parts = Pin<Box<dyn Stream<Item = Result<Bytes, Cut>>>>;

/// Body of an answer.
pub(crate) enum AnswerBody {
    /// A whole body.
    Whole(Option<Bytes>),
    /// A body that comes in parts.
    Stream(Parts),
}

impl From<Bytes> for AnswerBody {
    fn from(bytes: Bytes) -> Self {
        Self::Whole((!bytes.is_empty()).then_some(bytes))
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
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Stream(parts) => {
                let next = parts.as_mut().poll_next(cx);
                next.map(|part| part.map(|part| part.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
