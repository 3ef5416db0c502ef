//! One connection to a server.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use briarbank_net::{DeliveredStream, HEAD_BUFFER_BYTES, HeadLimit, HeadLimitedStream};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::task::AbortHandle;
use tokio_util::either::Either;
use tokio_util::task::TaskTracker;

use crate::server::{RequestBody, ServerStream};

/// A connection for one call at a time, closed when dropped.
///
/// Closing it also cancels the call in flight: servers stop work when the connection closes.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<RequestBody>,
    /// Bound on the bytes before the head of an answer.
    pub(crate) head_limit: HeadLimit,
    pub(crate) opened_at: Instant,
    /// Whether it leads through another node.
    pub(crate) is_relayed: bool,
    task: AbortHandle,
    /// Counts of open connections: to the same server, and to all.
    open: [Rc<Cell<u32>>; 2],
    /// Start of the current idle time.
    pub(crate) idle_since: Instant,
    /// Idle time after which it is not reused.
    pub(crate) idle_max: Duration,
}

impl Connection {
    /// Performs the handshake; `open` counts the connections to the same server and to all.
    pub(crate) async fn start(
        stream: ServerStream,
        tasks: &TaskTracker,
        open: [Rc<Cell<u32>>; 2],
    ) -> hyper::Result<Self> {
        let is_relayed = matches!(stream, Either::Right(_));
        let head_limit = HeadLimit::default();
        let stream = DeliveredStream::new(stream);
        let stream = HeadLimitedStream::new(stream, head_limit.clone());
        let handshake = Builder::new()
            .max_buf_size(HEAD_BUFFER_BYTES)
            .handshake(TokioIo::new(stream));
        let (sender, connection) = handshake.await?;
        let task = tasks.spawn_local(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%error, "server: connection ended");
            }
        });
        for open in &open {
            open.set(open.get() + 1);
        }
        Ok(Self {
            sender,
            head_limit,
            opened_at: Instant::now(),
            is_relayed,
            task: task.abort_handle(),
            open,
            idle_since: Instant::now(),
            idle_max: Duration::ZERO,
        })
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        for open in &self.open {
            open.set(open.get().saturating_sub(1));
        }
        self.task.abort();
    }
}
