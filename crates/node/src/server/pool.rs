//! Pool of connections to servers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use briarbank_net::{DeliveredStream, HEAD_BUFFER_BYTES, HeadLimit, HeadLimitedStream};
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Largest number of idle connections to one server.
const IDLE_MAX: usize = 64;

/// Time after which an idle connection is not reused.
pub(super) const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// A connection to a server.
#[derive(Debug)]
pub(super) struct Connection {
    address: SocketAddr,
    /// Sends one request at a time.
    pub(super) sender: SendRequest<Full<Bytes>>,
    /// Bound on the bytes before the head of an answer.
    pub(super) head_limit: HeadLimit,
    /// Whether it was used for an earlier request.
    pub(super) reused: bool,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
}

/// Idle connections by the server's address.
#[derive(Clone, Debug)]
pub(crate) struct Pool {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Idle>>>>,
    tasks: TaskTracker,
    end: CancellationToken,
}

impl Pool {
    pub(crate) fn new(tasks: TaskTracker, end: CancellationToken) -> Self {
        Self {
            idle: Arc::default(),
            tasks,
            end,
        }
    }

    /// Returns a ready idle connection or a new one.
    ///
    /// Connections that were idle for `idle_max` are not used. Returns `None` when
    /// the server can't be reached.
    pub(super) async fn get(&self, address: SocketAddr, idle_max: Duration) -> Option<Connection> {
        while let Some(mut connection) = self.pop_idle(address, idle_max) {
            if connection.sender.ready().await.is_ok() {
                return Some(connection);
            }
        }
        self.connect(address).await
    }

    /// Opens a new connection; `None` when the server can't be reached.
    pub(super) async fn connect(&self, address: SocketAddr) -> Option<Connection> {
        let stream = crate::connect::connect(address).await.ok()?;
        let head_limit = HeadLimit::default();
        let stream = DeliveredStream::new(stream);
        let stream = HeadLimitedStream::new(stream, head_limit.clone());
        let handshake = http1::Builder::new()
            .max_buf_size(HEAD_BUFFER_BYTES)
            .handshake(TokioIo::new(stream));
        let (sender, connection) = handshake.await.ok()?;
        let end = self.end.child_token();
        self.tasks.spawn(async move {
            tokio::select! {
                () = end.cancelled() => {}
                _ = connection => {}
            }
        });
        Some(Connection {
            address,
            sender,
            head_limit,
            reused: false,
        })
    }

    /// Returns a connection to the pool after its answer was read to the end.
    pub(super) fn put(&self, mut connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        connection.reused = true;
        let now = Instant::now();
        let mut idle = self.lock_idle();
        let idle = idle.entry(connection.address).or_default();
        idle.retain(|i| now.duration_since(i.since) < IDLE_TIMEOUT);
        if idle.len() < IDLE_MAX {
            idle.push(Idle {
                connection,
                since: now,
            });
        }
    }

    /// Closes all idle connections to a server, for example when one went silent.
    pub(super) fn purge(&self, address: SocketAddr) {
        self.lock_idle().remove(&address);
    }

    /// Closes connections whose idle timeout has passed.
    pub(crate) fn close_expired(&self) {
        let now = Instant::now();
        self.lock_idle().retain(|_, idle| {
            idle.retain(|i| now.duration_since(i.since) < IDLE_TIMEOUT);
            !idle.is_empty()
        });
    }

    fn pop_idle(&self, address: SocketAddr, idle_max: Duration) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.lock_idle();
        let idle = idle.get_mut(&address)?;
        while let Some(newest) = idle.pop() {
            let fresh = now.duration_since(newest.since) < idle_max;
            if fresh && !newest.connection.sender.is_closed() {
                return Some(newest.connection);
            }
        }
        None
    }

    fn lock_idle(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
