//! Bodies of requests to servers.

use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use briarbank_net::HeldBytes;
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

/// Body of a request, which its call holds while it may have to be sent again.
#[derive(Clone, Debug)]
pub(crate) struct RequestBody {
    held: Rc<HeldBytes>,
    /// Number of pieces that were sent.
    sent: usize,
    left_bytes: u64,
}

impl From<Rc<HeldBytes>> for RequestBody {
    fn from(held: Rc<HeldBytes>) -> Self {
        let left_bytes = held.len() as u64;
        Self {
            held,
            sent: 0,
            left_bytes,
        }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let this = self.get_mut();
        let Some(piece) = this.held.pieces().get(this.sent) else {
            return Poll::Ready(None);
        };
        this.sent += 1;
        this.left_bytes -= piece.len() as u64;
        Poll::Ready(Some(Ok(Frame::data(piece.clone()))))
    }

    fn is_end_stream(&self) -> bool {
        self.left_bytes == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left_bytes)
    }
}
