//! The port for other nodes.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use briarbank_core::ids::HostName;
use briarbank_core::node::Event;
use briarbank_core::peer::Envelope;
use briarbank_wire::FrameReader;
use bytes::Bytes;
use h2::server::{self, Connection, SendResponse};
use h2::{Ping, PingPong, RecvStream};
use http::{Request, Response, StatusCode};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::links::Reports;
use super::{CALLS_PATH, MESSAGES_PATH, SharedKey, reply};
use crate::call::Calls;
use briarbank_net::accept;

/// Connections from other nodes.
const CONNECTIONS_MAX: usize = 1_024;

/// Streams of one connection.
const STREAMS_MAX: u32 = 1_024;

/// Largest list of headers.
const HEADER_BYTES_MAX: u32 = 8 << 10;

/// Time for a connection's first bytes.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time between pings.
const PING_INTERVAL: Duration = Duration::from_secs(10);

/// Longest time for a ping's answer.
const PING_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for the last bytes to leave.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// What the port needs for each connection.
#[derive(Clone, Debug)]
pub(crate) struct PeerPort {
    /// Name of this host.
    pub(crate) host: HostName,
    /// Key that others must show.
    pub(crate) key: SharedKey,
    /// Takes forwarded calls.
    pub(crate) calls: Calls,
    /// Takes core messages.
    pub(crate) reports: Reports,
    /// Owner of the port's tasks.
    pub(crate) tasks: TaskTracker,
    /// Owner of the tasks that answer calls; a planned stop waits for them.
    pub(crate) serving: TaskTracker,
    /// Ends the port.
    pub(crate) end: CancellationToken,
}

impl PeerPort {
    /// Accepts connections until the end.
    pub(crate) async fn run(self, listener: TcpListener) {
        let permits = Arc::new(Semaphore::new(CONNECTIONS_MAX));
        loop {
            let (stream, address) = tokio::select! {
                () = self.end.cancelled() => return,
                accepted = accept(&listener) => accepted,
            };
            let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
                tracing::warn!(%address, "peer: too many connections");
                continue;
            };
            let port = self.clone();
            self.tasks.spawn(async move {
                port.connection(stream, address).await;
                drop(permit);
            });
        }
    }

    async fn connection(&self, stream: TcpStream, address: SocketAddr) {
        let _ = stream.set_nodelay(true);
        let mut builder = server::Builder::new();
        builder
            .max_concurrent_streams(STREAMS_MAX)
            .max_header_list_size(HEADER_BYTES_MAX);
        let handshake = timeout(HANDSHAKE_TIMEOUT, builder.handshake(stream));
        let Ok(Ok(mut connection)) = handshake.await else {
            tracing::debug!(%address, "peer: handshake failed");
            return;
        };
        tokio::select! {
            () = self.streams(&mut connection) => return,
            () = self.end.cancelled() => {}
        }
        // What was answered last still leaves.
        connection.graceful_shutdown();
        let closed = poll_fn(|cx| connection.poll_closed(cx));
        let _ = timeout(CLOSE_TIMEOUT, closed).await;
    }

    /// Takes streams until the connection ends or goes silent.
    async fn streams(&self, connection: &mut Connection<TcpStream, Bytes>) {
        let Some(mut pings) = connection.ping_pong() else {
            return;
        };
        let mut silence = pin!(silence(&mut pings));
        loop {
            let accepted = tokio::select! {
                accepted = connection.accept() => accepted,
                () = &mut silence => return,
            };
            let Some(Ok((request, respond))) = accepted else {
                return;
            };
            let owner = match request.uri().path() {
                CALLS_PATH => &self.serving,
                _ => &self.tasks,
            };
            let port = self.clone();
            owner.spawn(async move {
                tokio::select! {
                    () = port.end.cancelled() => {}
                    () = port.stream(request, respond) => {}
                }
            });
        }
    }

    async fn stream(&self, request: Request<RecvStream>, mut respond: SendResponse<Bytes>) {
        let status = match (self.key.shown_by(request.headers()), request.uri().path()) {
            (false, _) => StatusCode::UNAUTHORIZED,
            (true, MESSAGES_PATH) => return self.messages(request.into_body()).await,
            (true, CALLS_PATH) => {
                return reply::call(&self.calls, request.into_body(), respond).await;
            }
            (true, _) => StatusCode::NOT_FOUND,
        };
        let mut response = Response::new(());
        *response.status_mut() = status;
        let _ = respond.send_response(response, true);
    }

    async fn messages(&self, mut stream: RecvStream) {
        let mut reader = FrameReader::default();
        while let Some(Ok(part)) = stream.data().await {
            reader.push(&part);
            let _ = stream.flow_control().release_capacity(part.len());
            loop {
                let message = match reader.next() {
                    Ok(Some(message)) => message,
                    Ok(None) => break,
                    Err(error) => {
                        tracing::warn!(%error, "peer: message refused");
                        return;
                    }
                };
                match briarbank_wire::decode::<Envelope>(&message) {
                    Ok(envelope) if envelope.from != self.host => {
                        let _ = self.reports.send(Event::Peer(envelope)).await;
                    }
                    Ok(_) => {}
                    Err(error) => tracing::warn!(%error, "peer: message refused"),
                }
            }
        }
    }
}

/// Returns when a ping gets no answer.
async fn silence(pings: &mut PingPong) {
    loop {
        sleep(PING_INTERVAL).await;
        let pong = timeout(PING_TIMEOUT, pings.ping(Ping::opaque()));
        if !matches!(pong.await, Ok(Ok(_))) {
            return;
        }
    }
}
