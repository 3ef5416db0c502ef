//! Connections that a switch can make silent.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// Failure controls of a listening port.
#[derive(Debug)]
pub(crate) struct Port {
    silence_epoch: AtomicU64,
    crash: mpsc::Sender<Duration>,
}

impl Port {
    /// A port, and the receiver of its crashes.
    pub(crate) fn new() -> (Arc<Self>, mpsc::Receiver<Duration>) {
        let (crash, crashes) = mpsc::channel(1);
        let port = Self {
            silence_epoch: AtomicU64::new(0),
            crash,
        };
        (Arc::new(port), crashes)
    }

    /// Makes every open connection silent for good; new ones work.
    pub(crate) fn silence(&self) {
        self.silence_epoch.fetch_add(1, Ordering::Relaxed);
    }

    /// Drops all connections and refuses new ones for a time.
    pub(crate) fn crash(&self, down: Duration) {
        // A crash that is already under way covers this one.
        let _ = self.crash.try_send(down);
    }
}

/// One accepted connection.
#[derive(Debug)]
pub(crate) struct Line {
    port: Arc<Port>,
    epoch: u64,
    exempt: AtomicBool,
}

impl Line {
    /// A connection accepted now.
    pub(crate) fn new(port: Arc<Port>) -> Arc<Self> {
        let epoch = port.silence_epoch.load(Ordering::Relaxed);
        Arc::new(Self {
            port,
            epoch,
            exempt: AtomicBool::new(false),
        })
    }

    /// Keeps the connection out of silences, since it carries control calls.
    pub(crate) fn exempt(&self) {
        self.exempt.store(true, Ordering::Relaxed);
    }

    fn is_silent(&self) -> bool {
        self.epoch < self.port.silence_epoch.load(Ordering::Relaxed)
            && !self.exempt.load(Ordering::Relaxed)
    }
}

/// Stream whose bytes stop in both directions once its line is silent.
#[derive(Debug)]
pub(crate) struct LineStream {
    stream: TcpStream,
    line: Arc<Line>,
}

impl LineStream {
    pub(crate) fn new(stream: TcpStream, line: Arc<Line>) -> Self {
        Self { stream, line }
    }
}

// A silent line returns `Pending` without a waker: it never makes progress again.
impl AsyncRead for LineStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.line.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for LineStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.line.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if self.line.is_silent() {
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
        if self.line.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
