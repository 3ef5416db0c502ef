//! The node whose path is broken: opens a connection through another node.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use briarbank_core::ids::ServerName;
use bytes::Bytes;
use http::{Request, StatusCode};
use percent_encoding::utf8_percent_encode;
use tokio::time::timeout;
use tokio_util::task::AbortOnDropHandle;

use super::{NAME_ESCAPED, PATH_PREFIX, RelayError, RelayedStream};
use crate::shared::SharedState;

/// Timeout of a connect to a relay.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Time for the answer of a relay, in which it connects to the server.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// Bytes of a relayed connection that the node holds in each direction.
///
/// Callers that read nothing may have one each.
const WINDOW_BYTES: u32 = 16 << 10;

/// Number of relays that are asked in turn.
const RELAYS_MAX: usize = 2;

/// Opens a connection to a server through another node, `None` if none can.
pub(crate) async fn open(shared: &SharedState, server: &ServerName) -> Option<RelayedStream> {
    let mut tried = Vec::new();
    for _ in 0..RELAYS_MAX {
        let relay = {
            let mut peers = shared.peers.borrow_mut();
            peers.choose_relay(Instant::now(), server, &tried)?
        };
        tried.push(relay);
        match open_through(shared, relay, server).await {
            Ok(stream) => {
                metrics::counter!("briarbank_relayed_connections_total").increment(1);
                return Some(stream);
            }
            Err(error) => {
                tracing::debug!(%relay, %server, %error, "relay: opening a connection failed");
                if !matches!(error, RelayError::Unreachable) {
                    let mut peers = shared.peers.borrow_mut();
                    peers.record_relay_failure(Instant::now(), relay);
                }
            }
        }
    }
    None
}

async fn open_through(
    shared: &SharedState,
    relay: SocketAddrV4,
    server: &ServerName,
) -> Result<RelayedStream, RelayError> {
    let stream = briarbank_net::connect(relay.into(), CONNECT_TIMEOUT).await?;
    let mut builder = h2::client::Builder::new();
    builder
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .max_send_buffer_size(WINDOW_BYTES as usize);
    let (sender, connection) = builder.handshake(stream).await?;
    // Aborted with the stream, or when the relay does not answer.
    let task = AbortOnDropHandle::new(shared.tasks.spawn_local(async move {
        if let Err(error) = connection.await {
            tracing::debug!(%error, "relay: connection ended");
        }
    }));
    let name = utf8_percent_encode(server.as_str(), NAME_ESCAPED);
    let request = Request::post(format!("http://{relay}{PATH_PREFIX}{name}")).body(())?;
    let (response, to_server) = sender.ready().await?.send_request(request, false)?;
    let Ok(response) = timeout(ANSWER_TIMEOUT, response).await else {
        return Err(RelayError::Silent);
    };
    let response = response?;
    match response.status() {
        StatusCode::OK => {}
        StatusCode::BAD_GATEWAY => return Err(RelayError::Unreachable),
        status => return Err(RelayError::Refused(status)),
    }
    Ok(RelayedStream {
        from_server: response.into_body(),
        to_server,
        received: Bytes::new(),
        _task: task,
    })
}
