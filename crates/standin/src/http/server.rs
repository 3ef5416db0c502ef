//! Accept loop that owns and joins the tasks of its connections.

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
use super::connection::{Connection, ConnectionStream, Port};
use crate::error::Error;

/// Maximum number of open connections.
const CONNECTIONS_MAX: usize = 20_000;
/// Delay before retrying a failed accept or bind, and before a crash.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Response of an endpoint; an error closes the connection without a response.
pub(crate) type Reply = Result<Response<Body>, Error>;

/// Request handler of a stand-in.
pub(crate) trait Endpoint: Send + Sync + 'static {
    /// Handles one request.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        connection: Arc<Connection>,
    ) -> impl Future<Output = Reply> + Send;
}

/// Handle of a running stand-in.
#[derive(Debug)]
pub struct StandinHandle {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl StandinHandle {
    /// Returns the address that the stand-in listens on, with the assigned port.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until the stand-in has shut down and joined its tasks.
    pub async fn join(self) {
        if let Err(error) = self.task.await {
            tracing::error!(%error, "standin: task panicked or was cancelled");
        }
    }
}

/// Serves an endpoint until `shutdown` completes, and runs `background` meanwhile.
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
        let mut background_tasks = JoinSet::new();
        background_tasks.spawn(async move { match background.await {} });
        acceptor.run(listener, Box::pin(shutdown)).await;
        background_tasks.shutdown().await;
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
                        next = self.crash_and_restart(down) => listener = next,
                    }
                }
                accepted = listener.accept(), if self.connections.len() < CONNECTIONS_MAX => {
                    match accepted {
                        Ok((stream, _)) => self.spawn_connection(stream),
                        Err(_) => tokio::time::sleep(RETRY_DELAY).await,
                    }
                }
                Some(_) = self.connections.join_next() => {}
            }
        }
        self.connections.shutdown().await;
    }

    async fn crash_and_restart(&mut self, down: Duration) -> TcpListener {
        tracing::info!(?down, "standin: failure switch triggered a crash");
        // Lets the response to the control request that caused the crash be sent first.
        tokio::time::sleep(RETRY_DELAY).await;
        self.connections.shutdown().await;
        tokio::time::sleep(down).await;
        loop {
            match bind(self.address).await {
                Ok(listener) => return listener,
                Err(error) => {
                    tracing::warn!(%error, "standin: listening again failed");
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    fn spawn_connection(&mut self, stream: TcpStream) {
        // Low latency of small answers matters more than fewer packets.
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let connection = Connection::new(Arc::clone(&self.port));
        let endpoint = Arc::clone(&self.endpoint);
        self.connections.spawn(async move {
            let io = TokioIo::new(ConnectionStream::new(stream, Arc::clone(&connection)));
            let service = service_fn(move |request| {
                let endpoint = Arc::clone(&endpoint);
                let connection = Arc::clone(&connection);
                async move { bad_request_response(endpoint.handle(request, connection).await) }
            });
            if let Err(error) = http1::Builder::new().serve_connection(io, service).await {
                tracing::debug!(%error, "standin: connection failed");
            }
        });
    }
}

/// Turns errors of the caller into responses; other errors stay.
fn bad_request_response(reply: Reply) -> Reply {
    match reply {
        Err(error @ (Error::InvalidJson(_) | Error::Body(_))) => {
            let body =
                serde_json::json!({"error": {"type": "bad-request", "message": error.to_string()}});
            json(StatusCode::BAD_REQUEST, &body)
        }
        other => other,
    }
}
