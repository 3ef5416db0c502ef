//! HTTP endpoints for health, metrics, state and drain.

use std::convert::Infallible;
use std::time::{Duration, Instant};

use briarbank_meter::PrometheusHandle;
use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::control::Control;
use crate::log_gate::LogGate;
use crate::peer::SharedKey;
use briarbank_net::{Admission, Place, accept, limit_buffers};

/// Largest number of operator connections.
const CONNECTIONS_MAX: usize = 64;

/// Longest time for a request's head to arrive.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// Read buffer of a connection, and thereby the largest head: the least that `hyper` accepts.
const BUFFER_BYTES: usize = 8 << 10;

const TEXT: &str = "text/plain; version=0.0.4";
const JSON: &str = "application/json";

/// Operator port and the state that each connection needs.
#[derive(Clone)]
pub(crate) struct OperatorPort {
    pub(crate) control: Control,
    pub(crate) key: SharedKey,
    pub(crate) metrics: PrometheusHandle,
    /// Requests a graceful shutdown.
    pub(crate) drain: CancellationToken,
    /// Tracks the port's tasks.
    pub(crate) tasks: TaskTracker,
    /// Closes the port.
    pub(crate) end: CancellationToken,
}

impl OperatorPort {
    /// Accepts connections until `end` is cancelled.
    pub(crate) async fn run(self, listener: TcpListener) {
        if let Err(error) = limit_buffers(&listener) {
            tracing::warn!(%error, "operator: limiting the buffers of sockets failed");
        }
        let (admission, log_gate) = (
            Admission::of_connections(CONNECTIONS_MAX),
            LogGate::default(),
        );
        loop {
            let (stream, _) = tokio::select! {
                () = self.end.cancelled() => return,
                accepted = accept(&listener) => accepted,
            };
            // A connection yields to others from its last request on.
            let gave_way = admission.counts().gave_way;
            let Ok(place) = admission.enter() else {
                continue;
            };
            if admission.counts().gave_way > gave_way {
                metrics::counter!("briarbank_operator_connections_closed_total").increment(1);
                if log_gate.take() {
                    tracing::info!("operator: connection closed, others came");
                }
            }
            let port = self.clone();
            self.tasks.spawn(async move {
                tokio::select! {
                    () = port.end.cancelled() => {}
                    () = place.gave_way() => {}
                    () = port.handle_connection(stream, &place) => {}
                }
            });
        }
    }

    async fn handle_connection(&self, stream: TcpStream, place: &Place) {
        let service = service_fn(|request| async move {
            place.yield_from(Instant::now());
            Ok::<_, Infallible>(self.serve(&request).await)
        });
        let served = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEADER_TIMEOUT)
            .max_buf_size(BUFFER_BYTES)
            .serve_connection(TokioIo::new(stream), service)
            .await;
        if let Err(error) = served {
            tracing::debug!(%error, "operator: serving a connection failed");
        }
    }

    async fn serve(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        let path = request.uri().path();
        match path {
            "/live" => return text_response(StatusCode::OK, "live\n"),
            "/ready" => return self.ready(),
            _ => {}
        }
        if !self.key.authorizes(request.headers()) {
            return text_response(StatusCode::UNAUTHORIZED, "the shared key is required\n");
        }
        match (request.method(), path) {
            (&Method::GET, "/metrics") => {
                build_response(StatusCode::OK, TEXT, self.metrics.render().into())
            }
            (&Method::GET, "/dump") => self.dump().await,
            (&Method::POST, "/drain") => {
                tracing::info!("operator: drain requested");
                self.drain.cancel();
                text_response(StatusCode::ACCEPTED, "draining\n")
            }
            _ => text_response(StatusCode::NOT_FOUND, "unknown path\n"),
        }
    }

    fn ready(&self) -> Response<Full<Bytes>> {
        if self.control.view().ready && !self.drain.is_cancelled() {
            return text_response(StatusCode::OK, "ready\n");
        }
        text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }

    async fn dump(&self) -> Response<Full<Bytes>> {
        let dump = self.control.dump().await;
        match dump.map(|d| serde_json::to_vec(&d)) {
            Some(Ok(json)) => build_response(StatusCode::OK, JSON, json.into()),
            _ => text_response(StatusCode::INTERNAL_SERVER_ERROR, "no state\n"),
        }
    }
}

fn text_response(status: StatusCode, body: &'static str) -> Response<Full<Bytes>> {
    build_response(status, TEXT, Bytes::from_static(body.as_bytes()))
}

fn build_response(
    status: StatusCode,
    content_type: &'static str,
    body: Bytes,
) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
