//! Detection of request heads that give the length of the body in two ways.
//!
//! The HTTP library follows the chunked coding then and drops the other
//! length, but a sender that meant the other one could hide a second request
//! in the body. Such requests are refused.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

/// Longest head that is looked at; the library refuses longer ones.
const HEAD_BYTES_MAX: usize = 64 << 10;

/// What was seen of the current request head.
#[derive(Debug, Default)]
pub(crate) struct HeadGuard {
    is_reading: Cell<bool>,
    head: RefCell<Vec<u8>>,
    is_ambiguous: Cell<bool>,
}

impl HeadGuard {
    /// A guard that waits for the first head of a connection.
    pub(crate) fn new() -> Rc<Self> {
        let guard = Self::default();
        guard.is_reading.set(true);
        Rc::new(guard)
    }

    /// Looks at the bytes that come next as a new head.
    pub(crate) fn expect_head(&self) {
        self.is_reading.set(true);
        self.is_ambiguous.set(false);
        self.head.borrow_mut().clear();
    }

    /// Whether the last head gave the length in two ways.
    pub(crate) fn is_ambiguous(&self) -> bool {
        self.is_ambiguous.get()
    }

    /// Whether a head has begun that has no end yet.
    fn is_partial(&self) -> bool {
        self.is_reading.get() && !self.head.borrow().is_empty()
    }

    fn take(&self, bytes: &[u8]) {
        let mut head = self.head.borrow_mut();
        let searched = head.len().saturating_sub(3);
        head.extend_from_slice(bytes);
        let unseen = head.get(searched..).unwrap_or_default();
        let end = unseen.windows(4).position(|four| four == b"\r\n\r\n");
        let Some(end) = end else {
            if head.len() > HEAD_BYTES_MAX {
                self.is_reading.set(false);
            }
            return;
        };
        let whole = head.get(..searched + end).unwrap_or_default();
        self.is_ambiguous.set(is_ambiguous(whole));
        self.is_reading.set(false);
        // The buffer is given back: idle connections hold no memory for it.
        *head = Vec::new();
    }
}

/// Whether a head names both a length and a coding, or one of them twice.
fn is_ambiguous(head: &[u8]) -> bool {
    let name = |line: &[u8]| -> Option<Vec<u8>> {
        let colon = line.iter().position(|byte| *byte == b':')?;
        let name = line.get(..colon)?;
        Some(name.trim_ascii().to_ascii_lowercase())
    };
    let names = head.split(|byte| *byte == b'\n').filter_map(name);
    let framing = names.filter(|n| n == b"content-length" || n == b"transfer-encoding");
    framing.count() > 1
}

/// A caller's socket whose incoming heads are looked at.
///
/// Reading fails once a head has been coming for longer than `head_timeout` tells.
pub(crate) struct GuardedStream<F> {
    stream: TcpStream,
    guard: Rc<HeadGuard>,
    head_timeout: F,
    /// Set while a head is incomplete.
    overdue: Option<Pin<Box<Sleep>>>,
}

impl<F: Fn() -> Duration> GuardedStream<F> {
    pub(crate) fn new(stream: TcpStream, guard: Rc<HeadGuard>, head_timeout: F) -> Self {
        Self {
            stream,
            guard,
            head_timeout,
            overdue: None,
        }
    }

    /// Whether the head that is coming has taken too long; wakes the reader when it has.
    fn is_overdue(&mut self, cx: &mut Context<'_>) -> bool {
        if !self.guard.is_partial() {
            self.overdue = None;
            return false;
        }
        let begin = || Box::pin(sleep((self.head_timeout)()));
        let overdue = self.overdue.get_or_insert_with(begin);
        overdue.as_mut().poll(cx).is_ready()
    }
}

impl<F: Fn() -> Duration + Unpin> AsyncRead for GuardedStream<F> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buf.filled().len();
        let polled = Pin::new(&mut this.stream).poll_read(cx, buf);
        if this.guard.is_reading.get() && polled.is_ready() {
            this.guard
                .take(buf.filled().get(before..).unwrap_or_default());
        }
        if this.is_overdue(cx) {
            metrics::counter!("briarbank_slow_heads_total").increment(1);
            let peer = this.stream.peer_addr().ok();
            tracing::info!(
                ?peer,
                "caller: connection closed, request head took too long"
            );
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        polled
    }
}

impl<F: Unpin> AsyncWrite for GuardedStream<F> {
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
