//! Health, metrics, state and drain over HTTP.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

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
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::control::Control;
use crate::peer::SharedKey;
use briarbank_net::accept;

/// Connections of operators.
const CONNECTIONS_MAX: usize = 64;

/// Time for a request's head to arrive.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);

const TEXT: &str = "text/plain; version=0.0.4";
const JSON: &str = "application/json";

/// What the port needs for each connection.
#[derive(Clone)]
pub(crate) struct OperatorPort {
    pub(crate) control: Control,
    pub(crate) key: SharedKey,
    pub(crate) metrics: PrometheusHandle,
    /// Asks for a planned stop.
    pub(crate) drain: CancellationToken,
    /// Owner of the port's tasks.
    pub(crate) tasks: TaskTracker,
    /// Ends the port.
    pub(crate) end: CancellationToken,
}

impl OperatorPort {
    /// Accepts connections until the end.
    pub(crate) async fn run(self, listener: TcpListener) {
        let permits = Arc::new(Semaphore::new(CONNECTIONS_MAX));
        loop {
            let (stream, _) = tokio::select! {
                () = self.end.cancelled() => return,
                accepted = accept(&listener) => accepted,
            };
            let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
                tracing::warn!("operator: too many connections");
                continue;
            };
            let port = self.clone();
            self.tasks.spawn(async move {
                tokio::select! {
                    () = port.end.cancelled() => {}
                    () = port.connection(stream) => {}
                }
                drop(permit);
            });
        }
    }

    async fn connection(&self, stream: TcpStream) {
        let service =
            service_fn(|request| async move { Ok::<_, Infallible>(self.serve(&request).await) });
        let served = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEADER_TIMEOUT)
            .serve_connection(TokioIo::new(stream), service)
            .await;
        if let Err(error) = served {
            tracing::debug!(%error, "operator: connection broke");
        }
    }

    async fn serve(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        let path = request.uri().path();
        match path {
            "/live" => return text(StatusCode::OK, "live\n"),
            "/ready" => return self.ready(),
            _ => {}
        }
        if !self.key.shown_by(request.headers()) {
            return text(StatusCode::UNAUTHORIZED, "the shared key is required\n");
        }
        match (request.method(), path) {
            (&Method::GET, "/metrics") => {
                answer(StatusCode::OK, TEXT, self.metrics.render().into())
            }
            (&Method::GET, "/dump") => self.dump().await,
            (&Method::POST, "/drain") => {
                tracing::info!("operator: drain ordered");
                self.drain.cancel();
                text(StatusCode::ACCEPTED, "draining\n")
            }
            _ => text(StatusCode::NOT_FOUND, "unknown path\n"),
        }
    }

    fn ready(&self) -> Response<Full<Bytes>> {
        if self.control.view().ready && !self.drain.is_cancelled() {
            return text(StatusCode::OK, "ready\n");
        }
        text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }

    async fn dump(&self) -> Response<Full<Bytes>> {
        let dump = self.control.dump().await;
        match dump.map(|d| serde_json::to_vec(&d)) {
            Some(Ok(json)) => answer(StatusCode::OK, JSON, json.into()),
            _ => text(StatusCode::INTERNAL_SERVER_ERROR, "no state\n"),
        }
    }
}

fn text(status: StatusCode, body: &'static str) -> Response<Full<Bytes>> {
    answer(status, TEXT, Bytes::from_static(body.as_bytes()))
}

fn answer(status: StatusCode, content_type: &'static str, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
