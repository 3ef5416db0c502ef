//! Detects request heads that give the length of the body in two ways.
//!
//! The HTTP library follows the chunked coding in this case and ignores the
//! content length. A sender that frames the body by the other length could
//! smuggle a second request in it, so such requests are refused.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

/// Longest head that is inspected; the HTTP library refuses longer ones.
const HEAD_BYTES_MAX: usize = 64 << 10;

/// State of the request head that is being received.
#[derive(Debug, Default)]
pub(crate) struct HeadGuard {
    is_reading: Cell<bool>,
    head: RefCell<Vec<u8>>,
    is_ambiguous: Cell<bool>,
}

impl HeadGuard {
    /// Creates a guard that expects the first head of a connection.
    pub(crate) fn new() -> Rc<Self> {
        let guard = Self::default();
        guard.is_reading.set(true);
        Rc::new(guard)
    }

    /// Treats the next bytes as the start of a new head.
    pub(crate) fn expect_head(&self) {
        self.is_reading.set(true);
        self.is_ambiguous.set(false);
        self.head.borrow_mut().clear();
    }

    /// Returns whether the last head gave the length in two ways.
    pub(crate) fn is_ambiguous(&self) -> bool {
        self.is_ambiguous.get()
    }

    /// Returns whether a head is incomplete.
    pub(crate) fn is_partial(&self) -> bool {
        self.is_reading.get() && !self.head.borrow().is_empty()
    }

    /// Inspects received bytes until the head is complete.
    fn take(&self, bytes: &[u8]) {
        let mut head = self.head.borrow_mut();
        let searched = head.len().saturating_sub(3);
        head.extend_from_slice(bytes);
        let unsearched = head.get(searched..).unwrap_or_default();
        let end = unsearched
            .windows(4)
            .position(|window| window == b"\r\n\r\n");
        let Some(end) = end else {
            if head.len() > HEAD_BYTES_MAX {
                self.is_reading.set(false);
            }
            return;
        };
        let complete = head.get(..searched + end).unwrap_or_default();
        self.is_ambiguous.set(is_ambiguous(complete));
        self.is_reading.set(false);
        // Frees the buffer, so that idle connections hold no memory for it.
        *head = Vec::new();
    }
}

/// Returns whether a head has more than one `Content-Length` or `Transfer-Encoding` header.
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

/// A caller's socket whose request heads are inspected.
///
/// Reads fail once a head has been incomplete for longer than `head_timeout` returns.
pub(crate) struct GuardedStream<F> {
    stream: TcpStream,
    guard: Rc<HeadGuard>,
    head_timeout: F,
    /// Set while a head is incomplete.
    head_timer: Option<Pin<Box<Sleep>>>,
}

impl<F: Fn() -> Duration> GuardedStream<F> {
    pub(crate) fn new(stream: TcpStream, guard: Rc<HeadGuard>, head_timeout: F) -> Self {
        Self {
            stream,
            guard,
            head_timeout,
            head_timer: None,
        }
    }

    /// Returns whether the incomplete head has timed out; wakes the reader when it does.
    fn is_overdue(&mut self, cx: &mut Context<'_>) -> bool {
        if !self.guard.is_partial() {
            self.head_timer = None;
            return false;
        }
        let start_timer = || Box::pin(sleep((self.head_timeout)()));
        let head_timer = self.head_timer.get_or_insert_with(start_timer);
        head_timer.as_mut().poll(cx).is_ready()
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
