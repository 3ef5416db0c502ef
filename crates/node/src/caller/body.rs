//! HTTP bodies of answers to callers.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use super::port::ConnectionCall;
use crate::call::ReplyBody;

/// HTTP body of an answer.
#[derive(Debug)]
pub(crate) struct CallerBody {
    body: ReplyBody,
    /// Held until the answer is written or dropped.
    _call: Option<ConnectionCall>,
}

impl CallerBody {
    /// Returns the body, which keeps a call in flight until it is dropped.
    pub(super) fn until_written(self, call: ConnectionCall) -> Self {
        Self {
            _call: Some(call),
            ..self
        }
    }
}

impl From<ReplyBody> for CallerBody {
    fn from(body: ReplyBody) -> Self {
        Self { body, _call: None }
    }
}

impl From<Bytes> for CallerBody {
    fn from(bytes: Bytes) -> Self {
        Self::from(ReplyBody::Whole(bytes))
    }
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let next = match &mut self.body {
            ReplyBody::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            ReplyBody::Whole(bytes) => Poll::Ready(Some(std::mem::take(bytes))),
            ReplyBody::Stream(chunks) => chunks.poll_next(context),
        };
        next.map(|chunk| chunk.map(|c| Ok(Frame::data(c))))
    }

    fn is_end_stream(&self) -> bool {
        matches!(&self.body, ReplyBody::Whole(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match &self.body {
            ReplyBody::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            ReplyBody::Stream(_) => SizeHint::default(),
        }
    }
}
