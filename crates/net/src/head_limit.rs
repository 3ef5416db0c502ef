//! Bounds what a server may send before the head of its answer is complete.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Read buffer of a connection to a server, and thereby the largest head, in bytes.
pub const HEAD_BUFFER_BYTES: usize = 32 << 10;

/// Bytes that may arrive before the head is complete: interim heads, the head itself, and
/// what of the body is read with it.
const HEAD_BYTES_MAX: usize = 2 * HEAD_BUFFER_BYTES;

/// Value of [`HeadLimit`] while no head is expected.
const UNLIMITED: usize = usize::MAX;

/// Bytes that may still arrive before the head of the next answer is complete.
#[derive(Clone, Debug)]
pub struct HeadLimit {
    left_bytes: Arc<AtomicUsize>,
}

impl Default for HeadLimit {
    fn default() -> Self {
        Self {
            left_bytes: Arc::new(AtomicUsize::new(UNLIMITED)),
        }
    }
}

impl HeadLimit {
    /// Expects the head of an answer.
    pub fn expect_head(&self) {
        self.left_bytes.store(HEAD_BYTES_MAX, Ordering::Relaxed);
    }

    /// Records that the head has arrived.
    pub fn end_head(&self) {
        self.left_bytes.store(UNLIMITED, Ordering::Relaxed);
    }

    /// Counts received bytes; returns false if there were too many.
    fn take(&self, bytes: usize) -> bool {
        let left_bytes = self.left_bytes.load(Ordering::Relaxed);
        if left_bytes == UNLIMITED {
            return true;
        }
        let left = left_bytes.checked_sub(bytes);
        self.left_bytes.store(left.unwrap_or(0), Ordering::Relaxed);
        left.is_some()
    }
}

/// A connection to a server that fails when the head of an answer does not end.
///
/// HTTP libraries skip interim heads, of which a faulty server may send any number.
#[derive(Debug)]
pub struct HeadLimitedStream<S> {
    stream: S,
    limit: HeadLimit,
}

impl<S> HeadLimitedStream<S> {
    /// Creates a connection that keeps to a limit.
    #[must_use]
    pub fn new(stream: S, limit: HeadLimit) -> Self {
        Self { stream, limit }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for HeadLimitedStream<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buf.filled().len();
        let polled = Pin::new(&mut this.stream).poll_read(cx, buf);
        if !this.limit.take(buf.filled().len() - before) {
            return Poll::Ready(Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "head of the answer does not end",
            )));
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for HeadLimitedStream<S> {
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
