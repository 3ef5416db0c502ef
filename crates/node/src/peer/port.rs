//! Peer port: listener and connections of other nodes.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::pin;
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
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::links::Reports;
use super::{CALLS_PATH, MESSAGES_PATH, SharedKey, reply};
use crate::call::Calls;
use crate::log_gate::LogGate;
use briarbank_net::{Admission, Place, accept};

/// Largest number of connections from other nodes.
const CONNECTIONS_MAX: usize = 1_024;

/// Largest number of streams of one connection.
const STREAMS_MAX: u32 = 1_024;

/// Largest header list, in bytes.
const HEADER_BYTES_MAX: u32 = 8 << 10;

/// Longest time for the HTTP/2 handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time between pings.
const PING_INTERVAL: Duration = Duration::from_secs(10);

/// Longest time until a ping is answered.
const PING_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest time to send remaining data at shutdown.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Peer port and the state that each connection needs.
#[derive(Clone, Debug)]
pub(crate) struct PeerPort {
    /// Name of this host.
    pub(crate) host: HostName,
    /// Key that requests must carry.
    pub(crate) key: SharedKey,
    /// Runs forwarded calls.
    pub(crate) calls: Calls,
    /// Receives core messages.
    pub(crate) reports: Reports,
    /// Tracks the port's tasks.
    pub(crate) tasks: TaskTracker,
    /// Tracks the tasks that answer calls; a graceful shutdown waits for them.
    pub(crate) serving: TaskTracker,
    /// Closes the port.
    pub(crate) end: CancellationToken,
}

impl PeerPort {
    /// Accepts connections until `end` is cancelled.
    pub(crate) async fn run(self, listener: TcpListener) {
        let (admission, log_gate) = (
            Admission::of_connections(CONNECTIONS_MAX),
            LogGate::default(),
        );
        loop {
            let (stream, address) = tokio::select! {
                () = self.end.cancelled() => return,
                accepted = accept(&listener) => accepted,
            };
            let Ok(place) = admission.enter() else {
                metrics::counter!("briarbank_peer_connections_refused_total").increment(1);
                if log_gate.take() {
                    tracing::warn!(%address, "peer: connection limit reached");
                }
                continue;
            };
            let port = self.clone();
            self.tasks.spawn(async move {
                tokio::select! {
                    () = port.handle_connection(stream, address, &place) => {}
                    () = place.gave_way() => {}
                }
            });
        }
    }

    /// Serves a connection, which yields to others until a request on it shows the key.
    async fn handle_connection(&self, stream: TcpStream, address: SocketAddr, place: &Place) {
        let _ = stream.set_nodelay(true);
        let mut builder = server::Builder::new();
        builder
            .max_concurrent_streams(STREAMS_MAX)
            .max_header_list_size(HEADER_BYTES_MAX);
        let handshake = timeout(HANDSHAKE_TIMEOUT, builder.handshake(stream));
        let Ok(Ok(mut connection)) = handshake.await else {
            tracing::debug!(%address, "peer: HTTP/2 handshake failed");
            return;
        };
        tokio::select! {
            () = self.accept_streams(&mut connection, place) => return,
            () = self.end.cancelled() => {}
        }
        // Sends the last answers before closing.
        connection.graceful_shutdown();
        let closed = poll_fn(|cx| connection.poll_closed(cx));
        let _ = timeout(CLOSE_TIMEOUT, closed).await;
    }

    /// Accepts streams until the connection ends or goes silent.
    async fn accept_streams(&self, connection: &mut Connection<TcpStream, Bytes>, place: &Place) {
        let Some(mut pings) = connection.ping_pong() else {
            return;
        };
        let mut silence = pin!(ping_until_silent(&mut pings));
        loop {
            let accepted = tokio::select! {
                accepted = connection.accept() => accepted,
                () = &mut silence => return,
            };
            let Some(Ok((request, respond))) = accepted else {
                return;
            };
            if self.key.authorizes(request.headers()) {
                place.work();
            }
            let tracker = match request.uri().path() {
                CALLS_PATH => &self.serving,
                _ => &self.tasks,
            };
            let port = self.clone();
            tracker.spawn(async move {
                tokio::select! {
                    () = port.end.cancelled() => {}
                    () = port.serve_stream(request, respond) => {}
                }
            });
        }
    }

    async fn serve_stream(&self, request: Request<RecvStream>, mut respond: SendResponse<Bytes>) {
        let status = match (self.key.authorizes(request.headers()), request.uri().path()) {
            (false, _) => StatusCode::UNAUTHORIZED,
            (true, MESSAGES_PATH) => return self.read_messages(request.into_body()).await,
            (true, CALLS_PATH) => {
                return reply::serve_call(&self.calls, request.into_body(), respond).await;
            }
            (true, _) => StatusCode::NOT_FOUND,
        };
        let mut response = Response::new(());
        *response.status_mut() = status;
        let _ = respond.send_response(response, true);
    }

    async fn read_messages(&self, mut stream: RecvStream) {
        let mut reader = FrameReader::default();
        while let Some(Ok(chunk)) = stream.data().await {
            reader.push(&chunk);
            let _ = stream.flow_control().release_capacity(chunk.len());
            loop {
                let message = match reader.next() {
                    Ok(Some(message)) => message,
                    Ok(None) => break,
                    Err(error) => {
                        tracing::warn!(%error, "peer: reading a message frame failed");
                        return;
                    }
                };
                match briarbank_wire::decode::<Envelope>(&message) {
                    Ok(envelope) if envelope.from != self.host => {
                        let _ = self.reports.send(Event::Peer(envelope)).await;
                    }
                    Ok(_) => {}
                    Err(error) => tracing::warn!(%error, "peer: decoding a message failed"),
                }
            }
        }
    }
}

/// Sends pings and returns when one is not answered.
async fn ping_until_silent(pings: &mut PingPong) {
    loop {
        sleep(PING_INTERVAL).await;
        let pong = timeout(PING_TIMEOUT, pings.ping(Ping::opaque()));
        if !matches!(pong.await, Ok(Ok(_))) {
            return;
        }
    }
}
