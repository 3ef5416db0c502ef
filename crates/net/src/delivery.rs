//! Tells an end that follows a whole request from one that comes before it has arrived.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio_util::either::Either;

/// A connection that knows whether its other end has received what was sent.
pub trait Delivery {
    /// Returns whether bytes that were sent may not have arrived.
    fn is_undelivered(&self) -> bool;
}

impl Delivery for TcpStream {
    fn is_undelivered(&self) -> bool {
        // A system that does not know it has no such bytes to tell of.
        briarbank_sock::unacknowledged_bytes(self).is_ok_and(|bytes| bytes > 0)
    }
}

impl<L: Delivery, R: Delivery> Delivery for Either<L, R> {
    fn is_undelivered(&self) -> bool {
        match self {
            Self::Left(stream) => stream.is_undelivered(),
            Self::Right(stream) => stream.is_undelivered(),
        }
    }
}

/// A connection whose end counts as an error while the request is still on its way.
///
/// A process that ends closes its connections in order first, and resets them when more
/// arrives. An answer whose end is that of its connection looks complete then. The end of a
/// connection acknowledges all that was received before it, so that what is unacknowledged
/// when it is read was never received.
#[derive(Debug)]
pub struct DeliveredStream<S> {
    stream: S,
    /// Whether bytes wait until the stream takes them.
    is_write_pending: bool,
}

impl<S> DeliveredStream<S> {
    /// Creates a connection that tells such ends apart.
    #[must_use]
    pub fn new(stream: S) -> Self {
        Self {
            stream,
            is_write_pending: false,
        }
    }

    fn record_write<T>(&mut self, polled: Poll<T>) -> Poll<T> {
        self.is_write_pending = polled.is_pending();
        polled
    }
}

impl<S: AsyncRead + Delivery + Unpin> AsyncRead for DeliveredStream<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let (before, has_room) = (buf.filled().len(), buf.remaining() > 0);
        let polled = Pin::new(&mut this.stream).poll_read(cx, buf);
        let is_end =
            matches!(polled, Poll::Ready(Ok(()))) && has_room && buf.filled().len() == before;
        if is_end && (this.is_write_pending || this.stream.is_undelivered()) {
            return Poll::Ready(Err(io::Error::new(
                io::ErrorKind::ConnectionReset,
                "server closed the connection before it had received the request",
            )));
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for DeliveredStream<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let polled = Pin::new(&mut this.stream).poll_write(cx, buf);
        this.record_write(polled)
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
        let this = self.get_mut();
        let polled = Pin::new(&mut this.stream).poll_write_vectored(cx, bufs);
        this.record_write(polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
