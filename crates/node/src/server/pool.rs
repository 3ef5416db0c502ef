//! Connections to servers, kept for later calls.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Idle connections kept for one server.
const IDLE_MAX: usize = 64;

/// Time after which an idle connection isn't used again.
pub(super) const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Largest head of a server's answer.
const HEAD_BYTES_MAX: usize = 32 << 10;

/// A connection to a server.
#[derive(Debug)]
pub(super) struct Connection {
    address: SocketAddr,
    /// Sends one request at a time.
    pub(super) sender: SendRequest<Full<Bytes>>,
    /// Whether it has carried a request before.
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

    /// An idle connection that is ready, or a fresh one; `None` when the server can't be reached.
    ///
    /// A connection that was idle for `idle_max` isn't taken.
    pub(super) async fn get(&self, address: SocketAddr, idle_max: Duration) -> Option<Connection> {
        while let Some(mut connection) = self.pop(address, idle_max) {
            if connection.sender.ready().await.is_ok() {
                return Some(connection);
            }
        }
        self.connect(address).await
    }

    /// A fresh connection; `None` when the server can't be reached.
    pub(super) async fn connect(&self, address: SocketAddr) -> Option<Connection> {
        let stream = crate::connect::connect(address).await.ok()?;
        let handshake = http1::Builder::new()
            .max_buf_size(HEAD_BYTES_MAX)
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
            reused: false,
        })
    }

    /// Keeps a connection whose answer was read to its end.
    pub(super) fn put(&self, mut connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        connection.reused = true;
        let now = Instant::now();
        let mut idle = self.lock();
        let idle = idle.entry(connection.address).or_default();
        idle.retain(|i| now.duration_since(i.since) < IDLE_TIMEOUT);
        if idle.len() < IDLE_MAX {
            idle.push(Idle {
                connection,
                since: now,
            });
        }
    }

    /// Closes the idle connections to a server, as after one of them went silent.
    pub(super) fn purge(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    /// Closes what has been idle for too long.
    pub(crate) fn sweep(&self) {
        let now = Instant::now();
        self.lock().retain(|_, idle| {
            idle.retain(|i| now.duration_since(i.since) < IDLE_TIMEOUT);
            !idle.is_empty()
        });
    }

    fn pop(&self, address: SocketAddr, idle_max: Duration) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.lock();
        let idle = idle.get_mut(&address)?;
        while let Some(newest) = idle.pop() {
            let fresh = now.duration_since(newest.since) < idle_max;
            if fresh && !newest.connection.sender.is_closed() {
                return Some(newest.connection);
            }
        }
        None
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
