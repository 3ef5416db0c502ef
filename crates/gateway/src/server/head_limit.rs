//! Bounds what a server may send before the head of its answer is complete.
//!
//! The HTTP library skips interim heads, of which a faulty server may send any number.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Largest read buffer of a connection, and thereby the largest head of an answer.
pub(crate) const BUFFER_BYTES: usize = 32 << 10;

/// Bytes that may arrive before the head is complete: interim heads, the head itself, and
/// what of the body is read with it.
const HEAD_BYTES_MAX: usize = 2 * BUFFER_BYTES;

/// Bytes that may still arrive before the head of the next answer is complete.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeadLimit {
    /// `None` while no head is expected.
    left_bytes: Rc<Cell<Option<usize>>>,
}

impl HeadLimit {
    /// Expects the head of an answer.
    pub(crate) fn expect_head(&self) {
        self.left_bytes.set(Some(HEAD_BYTES_MAX));
    }

    /// Records that the head has arrived.
    pub(crate) fn end_head(&self) {
        self.left_bytes.set(None);
    }

    /// Counts received bytes; returns false if there were too many.
    fn take(&self, bytes: usize) -> bool {
        let Some(left_bytes) = self.left_bytes.get() else {
            return true;
        };
        let left = left_bytes.checked_sub(bytes);
        self.left_bytes.set(Some(left.unwrap_or(0)));
        left.is_some()
    }
}

/// A socket to a server that fails when a head does not end.
pub(crate) struct LimitedStream {
    pub(crate) stream: TcpStream,
    pub(crate) limit: HeadLimit,
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buf.filled().len();
        let polled = Pin::new(&mut this.stream).poll_read(cx, buf);
        if !this.limit.take(buf.filled().len() - before) {
            metrics::counter!("briarbank_endless_heads_total").increment(1);
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        polled
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
