//! Accept loop that owns and joins its connections.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, JoinSet};

use super::body::{Body, json};
use super::line::{Line, LineStream, Port};
use crate::error::Error;

/// Most connections at once.
const CONNECTION_LIMIT: usize = 20_000;
/// Pause before the next try after a failed accept or bind.
const PAUSE: Duration = Duration::from_millis(20);

/// Answer of an endpoint; an error closes the connection without an answer.
pub(crate) type Reply = Result<Response<Body>, Error>;

/// What a stand-in does with a request.
pub(crate) trait Endpoint: Send + Sync + 'static {
    /// Answers one request.
    fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
        line: Arc<Line>,
    ) -> impl Future<Output = Reply> + Send;
}

/// A stand-in that is serving.
#[derive(Debug)]
pub struct StandinHandle {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl StandinHandle {
    /// Address that it listens on, with the port that it got.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until its shutdown future has completed and its tasks are joined.
    pub async fn join(self) {
        if let Err(error) = self.task.await {
            tracing::error!(%error, "standin: task ended abnormally");
        }
    }
}

/// Listens and serves until `shutdown` completes; `background` runs beside.
pub(crate) async fn start<E: Endpoint>(
    address: SocketAddr,
    endpoint: Arc<E>,
    port: Arc<Port>,
    crashes: mpsc::Receiver<Duration>,
    background: impl Future<Output = Infallible> + Send + 'static,
    shutdown: impl Future<Output = ()> + Send + 'static,
) -> Result<StandinHandle, Error> {
    let listener = bind(address).await?;
    let address = listener.local_addr().map_err(|e| Error::Bind(address, e))?;
    let acceptor = Acceptor {
        address,
        endpoint,
        port,
        crashes,
        connections: JoinSet::new(),
    };
    let task = tokio::spawn(async move {
        let mut beside = JoinSet::new();
        beside.spawn(async move { match background.await {} });
        acceptor.run(listener, Box::pin(shutdown)).await;
        beside.shutdown().await;
    });
    Ok(StandinHandle { address, task })
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address)
        .await
        .map_err(|e| Error::Bind(address, e))
}

struct Acceptor<E> {
    address: SocketAddr,
    endpoint: Arc<E>,
    port: Arc<Port>,
    crashes: mpsc::Receiver<Duration>,
    connections: JoinSet<()>,
}

impl<E: Endpoint> Acceptor<E> {
    async fn run(
        mut self,
        mut listener: TcpListener,
        mut shutdown: Pin<Box<impl Future<Output = ()> + Send>>,
    ) {
        loop {
            tokio::select! {
                () = &mut shutdown => break,
                Some(down) = self.crashes.recv() => {
                    drop(listener);
                    tokio::select! {
                        () = &mut shutdown => break,
                        next = self.restart(down) => listener = next,
                    }
                }
                accepted = listener.accept(), if self.connections.len() < CONNECTION_LIMIT => {
                    match accepted {
                        Ok((stream, _)) => self.connect(stream),
                        Err(_) => tokio::time::sleep(PAUSE).await,
                    }
                }
                Some(_) = self.connections.join_next() => {}
            }
        }
        self.connections.shutdown().await;
    }

    async fn restart(&mut self, down: Duration) -> TcpListener {
        tracing::info!(?down, "standin: crash by a failure switch");
        // The answer to the order that caused it leaves first.
        tokio::time::sleep(PAUSE).await;
        self.connections.shutdown().await;
        tokio::time::sleep(down).await;
        loop {
            match bind(self.address).await {
                Ok(listener) => return listener,
                Err(error) => {
                    tracing::warn!(%error, "standin: can't listen again yet");
                    tokio::time::sleep(PAUSE).await;
                }
            }
        }
    }

    fn connect(&mut self, stream: TcpStream) {
        // Latency of small answers matters more than the number of packets.
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let line = Line::new(Arc::clone(&self.port));
        let endpoint = Arc::clone(&self.endpoint);
        self.connections.spawn(async move {
            let io = TokioIo::new(LineStream::new(stream, Arc::clone(&line)));
            let service = service_fn(move |request| {
                let endpoint = Arc::clone(&endpoint);
                let line = Arc::clone(&line);
                async move { refuse_bad_request(endpoint.answer(request, line).await) }
            });
            if let Err(error) = http1::Builder::new().serve_connection(io, service).await {
                tracing::debug!(%error, "standin: connection ended");
            }
        });
    }
}

/// Turns errors of the caller into answers; a cut stays an error.
fn refuse_bad_request(reply: Reply) -> Reply {
    match reply {
        Err(error @ (Error::InvalidJson(_) | Error::Body(_))) => {
            let body =
                serde_json::json!({"error": {"type": "bad-request", "message": error.to_string()}});
            json(StatusCode::BAD_REQUEST, &body)
        }
        other => other,
    }
}
