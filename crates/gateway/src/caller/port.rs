//! Accepts and serves callers' connections.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use briarbank_core::flow::RequestLimits;
use briarbank_net::{CallerConnection, CallerStream};
use http::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, sleep_until};

use crate::caller::activity::Activity;
use crate::caller::request;
use crate::log_lines::LineKind;
use crate::shared::SharedState;

/// Largest number of headers in a request.
const HEADERS_MAX: usize = 100;

/// Largest read buffer of a connection, and thereby the largest request head.
const BUFFER_BYTES: usize = 64 << 10;

/// Time for a caller that has to give way to read why.
const GIVE_WAY_TIMEOUT: Duration = Duration::from_secs(1);

/// The port for callers.
#[derive(Clone)]
pub(crate) struct CallerPort {
    pub(crate) shared: Rc<SharedState>,
}

impl CallerPort {
    /// Accepts connections until the task is aborted.
    pub(crate) async fn run(self, listener: TcpListener) {
        if let Err(error) = briarbank_net::limit_buffers(&listener) {
            tracing::warn!(%error, "caller: limiting the buffers of sockets failed");
        }
        loop {
            let open = &self.shared.caller_connections;
            let (stream, _) = briarbank_net::accept(&listener).await;
            let Ok(place) = self.shared.admission.enter() else {
                metrics::counter!("briarbank_connections_refused_total").increment(1);
                continue;
            };
            open.set(open.get() + 1);
            let port = self.clone();
            self.shared.tasks.spawn_local(async move {
                let shared = Rc::clone(&port.shared);
                let framing_bytes_max = shared.settings().framing_bytes_max;
                let caller = CallerConnection::new(place, framing_bytes_max);
                port.serve_connection(stream, caller).await;
                let open = &shared.caller_connections;
                open.set(open.get() - 1);
            });
        }
    }

    async fn serve_connection(self, stream: TcpStream, caller: CallerConnection) {
        if let Err(error) = stream.set_nodelay(true) {
            tracing::debug!(%error, "caller: setting TCP_NODELAY failed");
        }
        let activity = Activity::new(caller.clone());
        let head_timeout = || Duration::from_millis(u64::from(self.limits().header_timeout_ms));
        let stream = CallerStream::new(stream, caller.clone(), head_timeout);
        let service = service_fn(|incoming| {
            let active = activity.start_call();
            let (port, caller) = (&self, &caller);
            async move {
                let shared = &port.shared;
                let mut response = request::serve(shared, incoming, caller).await;
                if shared.stop.is_stopping() {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(CONNECTION, close);
                }
                caller.expect_head();
                Ok::<_, Infallible>(response.map(|body| active.track(body)))
            }
        });
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(None)
            .max_buf_size(BUFFER_BYTES)
            .max_headers(HEADERS_MAX);
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        // A request that waits when the connection is due to be closed is read first.
        let served = tokio::select! {
            biased;
            served = connection.as_mut() => served,
            () = self.wait_for_end(&activity, &caller) => {
                connection.as_mut().graceful_shutdown();
                tokio::select! {
                    served = connection => served,
                    () = self.wait_until_lost(&caller) => return self.record_end(&caller),
                }
            }
            () = self.wait_until_lost(&caller) => return self.record_end(&caller),
        };
        self.record_end(&caller);
        if let Err(error) = served {
            tracing::debug!(%error, "caller: connection ended");
        }
    }

    /// Completes when the connection is idle too long or the node refuses calls.
    async fn wait_for_end(&self, activity: &Activity, caller: &CallerConnection) {
        tokio::select! {
            () = self.shared.stop.closed() => {}
            () = self.wait_until_idle(activity, caller) => {}
        }
    }

    /// Completes when the connection must be dropped: it has to give way to others, or its
    /// caller has read nothing for as long as a connection may be idle.
    async fn wait_until_lost(&self, caller: &CallerConnection) {
        tokio::select! {
            () = caller.place().gave_way() => {
                if caller.is_in_body() {
                    // The call is refused.
                    sleep(GIVE_WAY_TIMEOUT).await;
                }
            }
            () = caller.wait_until_stuck(|| self.idle_max()) => {}
        }
    }

    fn idle_max(&self) -> Duration {
        Duration::from_millis(u64::from(self.limits().idle_timeout_ms))
    }

    /// Records why the node closed a connection, if it did.
    fn record_end(&self, caller: &CallerConnection) {
        let Some(reason) = caller.end_reason() else {
            return;
        };
        metrics::counter!("briarbank_caller_connections_closed_total", "reason" => reason)
            .increment(1);
        if self.shared.log_lines.take(LineKind::Closed) {
            let counts = self.shared.admission.counts();
            tracing::info!(
                reason,
                connections = counts.connections,
                request_bytes = counts.held.requests,
                answer_bytes = counts.held.answers,
                "caller: connection closed"
            );
        }
    }

    fn limits(&self) -> RequestLimits {
        let table = self.shared.table();
        table.map(|t| t.limits()).unwrap_or_default()
    }

    /// Completes when the connection has been idle for the configured time.
    async fn wait_until_idle(&self, activity: &Activity, caller: &CallerConnection) {
        loop {
            if caller.is_partial() {
                activity.touch();
            }
            let until = activity.idle_since() + self.idle_max();
            if Instant::now() >= until {
                return;
            }
            sleep_until(until).await;
        }
    }
}
