//! Listener and connections of the caller port.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use briarbank_config::Limits;
use http::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::http::CallerHttp;
use crate::call::Calls;
use crate::control::Control;
use briarbank_net::{accept, drain};

/// Time after the start of a shutdown during which connections are accepted.
///
/// It lets callers that were already connecting get an answer.
const ACCEPT_GRACE: Duration = Duration::from_millis(500);

/// Time after the start of a shutdown before idle connections are closed.
const IDLE_GRACE: Duration = Duration::from_secs(1);

/// Connections over the limit that get a refusal; further ones are closed.
const REFUSED_MAX: usize = 256;

/// Largest number of headers of a request.
const HEADERS_MAX: usize = 64;

/// Smallest buffer that `hyper` accepts.
const BUFFER_BYTES_MIN: usize = 8 << 10;

/// Caller port and the state that each connection needs.
#[derive(Clone, Debug)]
pub(crate) struct CallerPort {
    pub(crate) calls: Calls,
    pub(crate) control: Control,
    pub(crate) limits: Limits,
    /// Tracks the port's tasks; a graceful shutdown waits for them.
    pub(crate) serving: TaskTracker,
    /// Signals the start of a graceful shutdown.
    pub(crate) stopping: CancellationToken,
    /// Closes the port.
    pub(crate) end: CancellationToken,
}

impl CallerPort {
    /// Accepts connections until shortly after the start of a shutdown.
    pub(crate) async fn run(self, listener: TcpListener) {
        let permits = Permits::new(self.limits.connections);
        tokio::select! {
            () = self.end.cancelled() => {}
            () = sleep_after(&self.stopping, ACCEPT_GRACE) => {}
            () = self.accept_all(&listener, &permits) => {}
        }
        drain(&listener, |stream| self.spawn_connection(stream, &permits)).await;
    }

    async fn accept_all(&self, listener: &TcpListener, permits: &Permits) {
        loop {
            let (stream, _) = accept(listener).await;
            self.spawn_connection(stream, permits);
        }
    }

    fn spawn_connection(&self, stream: TcpStream, permits: &Permits) {
        let Some((permit, over_limit)) = permits.try_acquire() else {
            return;
        };
        // Child tokens, because all connections would contend for the locks of shared ones.
        let port = Self {
            stopping: self.stopping.child_token(),
            end: self.end.child_token(),
            ..self.clone()
        };
        self.serving.spawn(async move {
            tokio::select! {
                () = port.end.cancelled() => {}
                () = port.handle_connection(stream, over_limit) => {}
            }
            drop(permit);
        });
    }

    async fn handle_connection(&self, stream: TcpStream, over_limit: bool) {
        let _ = stream.set_nodelay(true);
        let http = CallerHttp {
            calls: self.calls.clone(),
            control: self.control.clone(),
            body_timeout: Duration::from_millis(self.limits.body_timeout_ms),
            over_limit,
        };
        let first_request = Notify::new();
        let service = service_fn(|request| async {
            first_request.notify_one();
            let mut response = http.serve(request).await;
            if over_limit || self.stopping.is_cancelled() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        });
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(Duration::from_millis(self.limits.header_timeout_ms))
            .max_buf_size(self.limits.header_bytes.max(BUFFER_BYTES_MIN))
            .max_headers(HEADERS_MAX);
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        let served = tokio::select! {
            served = &mut connection => served,
            () = self.wait_for_close(&first_request) => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(error) = served {
            tracing::debug!(%error, "caller: serving a connection failed");
        }
    }

    /// Completes when a shutdown may close the connection if it is idle.
    ///
    /// A caller that has just connected is about to send a request, so the connection
    /// stays open until that arrives or the header timeout ends it.
    async fn wait_for_close(&self, first_request: &Notify) {
        sleep_after(&self.stopping, IDLE_GRACE).await;
        first_request.notified().await;
    }
}

/// Limits on the number of connections.
struct Permits {
    served: Arc<Semaphore>,
    refused: Arc<Semaphore>,
}

impl Permits {
    fn new(connections: usize) -> Self {
        Self {
            served: Arc::new(Semaphore::new(connections)),
            refused: Arc::new(Semaphore::new(REFUSED_MAX)),
        }
    }

    /// Returns a permit and whether the connection is over the limit.
    fn try_acquire(&self) -> Option<(OwnedSemaphorePermit, bool)> {
        if let Ok(permit) = Arc::clone(&self.served).try_acquire_owned() {
            return Some((permit, false));
        }
        metrics::counter!("briarbank_connections_refused_total").increment(1);
        let permit = Arc::clone(&self.refused).try_acquire_owned().ok()?;
        Some((permit, true))
    }
}

async fn sleep_after(token: &CancellationToken, pause: Duration) {
    token.cancelled().await;
    sleep(pause).await;
}
