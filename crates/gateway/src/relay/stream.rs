//! The bytes of a relayed connection.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use briarbank_net::Delivery;
use bytes::{Buf, Bytes};
use h2::{RecvStream, SendStream};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio_util::task::AbortOnDropHandle;

/// A relayed connection to a server, which closes when dropped.
#[derive(Debug)]
pub(crate) struct RelayedStream {
    pub(super) from_server: RecvStream,
    pub(super) to_server: SendStream<Bytes>,
    /// Received bytes that were not read.
    pub(super) received: Bytes,
    /// Task of the connection to the relay.
    pub(super) _task: AbortOnDropHandle<()>,
}

/// Converts an error of the path; it says nothing of the server.
fn path_error(error: h2::Error) -> io::Error {
    io::Error::new(io::ErrorKind::HostUnreachable, error)
}

impl Delivery for RelayedStream {
    /// The relay ends the stream with an error in that case.
    fn is_undelivered(&self) -> bool {
        false
    }
}

impl AsyncRead for RelayedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        while self.received.is_empty() {
            let Some(received) = ready!(self.from_server.poll_data(cx)) else {
                return Poll::Ready(Ok(()));
            };
            self.received = received.map_err(path_error)?;
        }
        let length = self.received.len().min(buffer.remaining());
        buffer.put_slice(&self.received[..length]);
        self.received.advance(length);
        let released = self.from_server.flow_control().release_capacity(length);
        Poll::Ready(released.map_err(path_error))
    }
}

impl AsyncWrite for RelayedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if bytes.is_empty() {
            return Poll::Ready(Ok(0));
        }
        self.to_server.reserve_capacity(bytes.len());
        let Some(capacity) = ready!(self.to_server.poll_capacity(cx)) else {
            return Poll::Ready(Err(io::ErrorKind::HostUnreachable.into()));
        };
        let length = capacity.map_err(path_error)?.min(bytes.len());
        let piece = Bytes::copy_from_slice(&bytes[..length]);
        let sent = self.to_server.send_data(piece, false);
        Poll::Ready(sent.map(|()| length).map_err(path_error))
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let sent = self.to_server.send_data(Bytes::new(), true);
        Poll::Ready(sent.map_err(path_error))
    }
}
