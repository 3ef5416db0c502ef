//! Sockets of callers, with bounds on what they make a node hold.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

use crate::caller_connection::{CallerConnection, Closed, READ_BYTES};

/// Time for which a caller that is closed while it sends may go on sending.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// A caller's socket.
///
/// Reads fail once a head has been incomplete for longer than `head_timeout` returns, or
/// when there is no room for what was received. A caller that is refused while it sends its
/// body may go on for a moment, as a reset would lose the refusal.
#[derive(Debug)]
pub struct CallerStream<F> {
    stream: TcpStream,
    connection: CallerConnection,
    head_timeout: F,
    /// Set while a head is incomplete.
    head_timer: Option<Pin<Box<Sleep>>>,
    /// Set when the connection is being closed.
    linger_timer: Option<Pin<Box<Sleep>>>,
}

impl<F: Fn() -> Duration> CallerStream<F> {
    /// Creates a stream whose state is shared with `connection`.
    pub fn new(stream: TcpStream, connection: CallerConnection, head_timeout: F) -> Self {
        Self {
            stream,
            connection,
            head_timeout,
            head_timer: None,
            linger_timer: None,
        }
    }

    /// Returns whether the incomplete head has timed out; wakes the reader when it does.
    fn is_overdue(&mut self, cx: &mut Context<'_>) -> bool {
        if !self.connection.is_partial() {
            self.head_timer = None;
            return false;
        }
        let start_timer = || Box::pin(sleep((self.head_timeout)()));
        let head_timer = self.head_timer.get_or_insert_with(start_timer);
        head_timer.as_mut().poll(cx).is_ready()
    }
}

/// Reads into a buffer on the stack, so that nothing is set aside for idle connections.
fn poll_receive<T>(
    stream: &TcpStream,
    cx: &mut Context<'_>,
    bytes_max: usize,
    take: impl FnOnce(&[u8]) -> T,
) -> Poll<io::Result<T>> {
    loop {
        ready!(stream.poll_read_ready(cx))?;
        let mut bytes = [0; READ_BYTES];
        let length = bytes.len().min(bytes_max);
        match stream.try_read(&mut bytes[..length]) {
            Ok(count) => return Poll::Ready(Ok(take(&bytes[..count]))),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Poll::Ready(Err(error)),
        }
    }
}

impl<F: Fn() -> Duration + Unpin> AsyncRead for CallerStream<F> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let connection = &this.connection;
        let polled = poll_receive(&this.stream, cx, buf.remaining(), |bytes| {
            buf.put_slice(bytes);
            connection.receive(bytes)
        });
        if this.is_overdue(cx) {
            return Poll::Ready(Err(this.connection.close(Closed::SlowHead)));
        }
        polled.map(|received| received?.map_err(|closed| this.connection.close(closed)))
    }
}

impl<F: Fn() -> Duration + Unpin> AsyncWrite for CallerStream<F> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let polled = Pin::new(&mut this.stream).poll_write(cx, buf);
        this.connection.record_write(polled.is_pending())?;
        polled
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.linger_timer.is_none() {
            ready!(Pin::new(&mut this.stream).poll_shutdown(cx))?;
            // A connection with unread bytes is reset, and what was written last is lost.
            if !this.connection.is_sending() {
                return Poll::Ready(Ok(()));
            }
            this.connection.place().yield_from(Instant::now());
        }
        let start_timer = || Box::pin(sleep(LINGER_TIMEOUT));
        let timer = this.linger_timer.get_or_insert_with(start_timer);
        loop {
            if timer.as_mut().poll(cx).is_ready() {
                return Poll::Ready(Ok(()));
            }
            let received = poll_receive(&this.stream, cx, READ_BYTES, <[u8]>::len);
            if ready!(received).is_ok_and(|count| count > 0) {
                continue;
            }
            return Poll::Ready(Ok(()));
        }
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let polled = Pin::new(&mut this.stream).poll_write_vectored(cx, bufs);
        this.connection.record_write(polled.is_pending())?;
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
