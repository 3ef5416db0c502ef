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
use tokio::sync::Notify;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::http::CallerHttp;
use crate::call::Calls;
use crate::control::Control;
use briarbank_net::{
    Admission, CallerConnection, CallerStream, Place, accept, drain, limit_buffers,
};

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

/// Time for a caller that has to give way to read why.
const GIVE_WAY_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time that a caller may go without reading its answer.
const STUCK_TIMEOUT: Duration = Duration::from_secs(30);

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
        if let Err(error) = limit_buffers(&listener) {
            tracing::warn!(%error, "caller: limiting the buffers of sockets failed");
        }
        let permits = Permits::new(self.calls.admission().clone());
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
        let Some((place, over_limit)) = permits.try_acquire() else {
            return;
        };
        // Child tokens, because all connections would contend for the locks of shared ones.
        let port = Self {
            stopping: self.stopping.child_token(),
            end: self.end.child_token(),
            ..self.clone()
        };
        self.serving.spawn(async move {
            let connection = CallerConnection::new(place, port.limits.framing_bytes);
            tokio::select! {
                () = port.end.cancelled() => {}
                () = port.handle_connection(stream, over_limit, &connection) => {}
                () = wait_until_lost(&connection) => {}
            }
            port.record_end(&connection);
        });
    }

    async fn handle_connection(
        &self,
        stream: TcpStream,
        over_limit: bool,
        connection: &CallerConnection,
    ) {
        let _ = stream.set_nodelay(true);
        let http = CallerHttp {
            calls: self.calls.clone(),
            control: self.control.clone(),
            body_timeout: Duration::from_millis(self.limits.body_timeout_ms),
            over_limit,
            connection: connection.clone(),
        };
        let header_timeout = Duration::from_millis(self.limits.header_timeout_ms);
        let stream = CallerStream::new(stream, connection.clone(), move || header_timeout);
        let first_request = Notify::new();
        let service = service_fn(|request| async {
            first_request.notify_one();
            let call = ConnectionCall::begin(connection);
            let mut response = http.serve(request).await;
            if over_limit || self.stopping.is_cancelled() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            connection.expect_head();
            Ok::<_, Infallible>(response.map(|body| body.until_written(call)))
        });
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(header_timeout)
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

    /// Records why the node closed a connection, if it did.
    fn record_end(&self, connection: &CallerConnection) {
        let Some(reason) = connection.end_reason() else {
            return;
        };
        metrics::counter!("briarbank_caller_connections_closed_total", "reason" => reason)
            .increment(1);
        if self.calls.log_gate().take() {
            tracing::info!(reason, "caller: connection closed");
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

/// A call in flight on a connection until its answer is written or dropped.
#[derive(Debug)]
pub(super) struct ConnectionCall(CallerConnection);

impl ConnectionCall {
    fn begin(connection: &CallerConnection) -> Self {
        connection.begin_call();
        Self(connection.clone())
    }
}

impl Drop for ConnectionCall {
    fn drop(&mut self) {
        self.0.end_call();
    }
}

/// Completes when a connection must be dropped: it has to give way to others, or its caller
/// reads nothing.
async fn wait_until_lost(connection: &CallerConnection) {
    tokio::select! {
        () = connection.place().gave_way() => {
            if connection.is_in_body() {
                // The call is refused.
                sleep(GIVE_WAY_TIMEOUT).await;
            }
        }
        () = connection.wait_until_stuck(|| STUCK_TIMEOUT) => {}
    }
}

/// Limits on the number of connections.
struct Permits {
    served: Admission,
    refused: Admission,
}

impl Permits {
    fn new(served: Admission) -> Self {
        Self {
            served,
            refused: Admission::of_connections(REFUSED_MAX),
        }
    }

    /// Returns a place and whether the connection is over the limit.
    fn try_acquire(&self) -> Option<(Arc<Place>, bool)> {
        if let Ok(place) = self.served.enter() {
            return Some((place, false));
        }
        metrics::counter!("briarbank_connections_refused_total").increment(1);
        Some((self.refused.enter().ok()?, true))
    }
}

async fn sleep_after(token: &CancellationToken, pause: Duration) {
    token.cancelled().await;
    sleep(pause).await;
}
