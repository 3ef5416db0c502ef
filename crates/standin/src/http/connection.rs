//! Connections that a failure switch can silence.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// Failure switches of a listening port.
#[derive(Debug)]
pub(crate) struct Port {
    silence_epoch: AtomicU64,
    crash: mpsc::Sender<Duration>,
}

impl Port {
    /// Creates a port and the receiver of the down times of its crashes.
    pub(crate) fn new() -> (Arc<Self>, mpsc::Receiver<Duration>) {
        let (crash, crashes) = mpsc::channel(1);
        let port = Self {
            silence_epoch: AtomicU64::new(0),
            crash,
        };
        (Arc::new(port), crashes)
    }

    /// Silences every open connection permanently; new ones work.
    pub(crate) fn silence(&self) {
        self.silence_epoch.fetch_add(1, Ordering::Relaxed);
    }

    /// Closes all connections and refuses new ones for the time `down`.
    pub(crate) fn crash(&self, down: Duration) {
        // Fails only while another crash is pending, or after shutdown.
        let _ = self.crash.try_send(down);
    }
}

/// Accepted connection.
#[derive(Debug)]
pub(crate) struct Connection {
    port: Arc<Port>,
    epoch: u64,
    is_exempt: AtomicBool,
}

impl Connection {
    /// Creates a connection that only later silences affect.
    pub(crate) fn new(port: Arc<Port>) -> Arc<Self> {
        let epoch = port.silence_epoch.load(Ordering::Relaxed);
        Arc::new(Self {
            port,
            epoch,
            is_exempt: AtomicBool::new(false),
        })
    }

    /// Exempts the connection from silences, since it carries control requests.
    pub(crate) fn exempt_from_silence(&self) {
        self.is_exempt.store(true, Ordering::Relaxed);
    }

    fn is_silent(&self) -> bool {
        self.epoch < self.port.silence_epoch.load(Ordering::Relaxed)
            && !self.is_exempt.load(Ordering::Relaxed)
    }
}

/// Stream that stalls in both directions once its connection is silent.
#[derive(Debug)]
pub(crate) struct ConnectionStream {
    stream: TcpStream,
    connection: Arc<Connection>,
}

impl ConnectionStream {
    pub(crate) fn new(stream: TcpStream, connection: Arc<Connection>) -> Self {
        Self { stream, connection }
    }
}

// A silent connection returns `Pending` without registering a waker, so it never
// makes progress again.
impl AsyncRead for ConnectionStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.connection.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for ConnectionStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.connection.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if self.connection.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.connection.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
