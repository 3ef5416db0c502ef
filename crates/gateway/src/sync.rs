//! Transfer of published values to a node that lags behind a peer.

use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::{Duration, Instant};

use briarbank_core::flow::{Delta, RemovalNote};
use bytes::Bytes;
use http::{Request, Response};
use quick_error::quick_error;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use crate::apply::Source;
use crate::shared::SharedState;

/// Timeout of a connect to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of a whole exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(3);

/// Largest encoded set of values that is accepted from a peer.
const VALUES_BYTES_MAX: usize = 16 << 20;

/// Prefix of the path; the revision after which values are requested follows.
const PATH_PREFIX: &str = "/values/";

quick_error! {
    /// Error of an exchange of values.
    #[derive(Debug)]
    enum SyncError {
        Connect(error: std::io::Error) { display("connecting to the peer failed: {error}") from() }
        Stream(error: h2::Error) { display("stream broke: {error}") from() }
        Http(error: http::Error) { display("building the request failed: {error}") from() }
        Encode(error: bincode::error::EncodeError) { display("encoding values failed: {error}") from() }
        Decode(error: bincode::error::DecodeError) { display("decoding values failed: {error}") from() }
        Path(path: String) { display("path {path} is unknown") }
        TooLarge { display("values are larger than {VALUES_BYTES_MAX} bytes") }
        Silent { display("peer did not answer in time") }
    }
}

/// Fetches newer values from a peer and applies them.
pub(crate) async fn fetch(shared: &SharedState, peer: SocketAddrV4) {
    let revision = shared.mirror.borrow().revision();
    let fetched = timeout(
        EXCHANGE_TIMEOUT,
        request_values(SocketAddr::V4(peer), revision),
    )
    .await;
    match fetched.unwrap_or(Err(SyncError::Silent)) {
        Ok((delta, notes)) => shared.apply(&delta, Source::Peer(&notes)),
        Err(error) => tracing::warn!(%peer, revision, %error, "peer: fetching values failed"),
    }
}

async fn request_values(
    peer: SocketAddr,
    revision: u64,
) -> Result<(Delta, Vec<RemovalNote>), SyncError> {
    let stream = briarbank_net::connect(peer, CONNECT_TIMEOUT).await?;
    let (mut sender, connection) = h2::client::handshake(stream).await?;
    let request = Request::get(format!("http://{peer}{PATH_PREFIX}{revision}")).body(())?;
    let exchange = async {
        let (response, _) = sender.send_request(request, true)?;
        let mut body = response.await?.into_body();
        let mut bytes = Vec::new();
        while let Some(chunk) = body.data().await {
            let chunk = chunk?;
            bytes.extend_from_slice(&chunk);
            if bytes.len() > VALUES_BYTES_MAX {
                return Err(SyncError::TooLarge);
            }
            body.flow_control().release_capacity(chunk.len())?;
        }
        decode_values(&bytes)
    };
    tokio::select! {
        delta = exchange => delta,
        ended = connection => Err(ended.map_or_else(SyncError::Stream, |()| SyncError::Silent)),
    }
}

/// Decodes a delta, and the notes on removals that nodes of this version append.
fn decode_values(bytes: &[u8]) -> Result<(Delta, Vec<RemovalNote>), SyncError> {
    let config = bincode::config::standard();
    let (delta, length) = bincode::serde::decode_from_slice(bytes, config)?;
    let notes = match bytes.get(length..) {
        Some(rest) if !rest.is_empty() => bincode::serde::decode_from_slice(rest, config)?.0,
        _ => Vec::new(),
    };
    Ok((delta, notes))
}

/// Serves values to peers until the task is aborted.
pub(crate) async fn serve(shared: Rc<SharedState>, listener: TcpListener) {
    loop {
        let (stream, peer) = briarbank_net::accept(&listener).await;
        let serving = Rc::clone(&shared);
        shared.tasks.spawn_local(async move {
            let served = timeout(EXCHANGE_TIMEOUT, serve_connection(&serving, stream)).await;
            if let Err(error) = served.unwrap_or(Err(SyncError::Silent)) {
                tracing::debug!(%peer, %error, "peer: serving values failed");
            }
        });
    }
}

async fn serve_connection(shared: &SharedState, stream: TcpStream) -> Result<(), SyncError> {
    let mut connection = h2::server::handshake(stream).await?;
    while let Some(accepted) = connection.accept().await {
        let (request, mut respond) = accepted?;
        let path = request.uri().path();
        let revision = path
            .strip_prefix(PATH_PREFIX)
            .and_then(|text| text.parse().ok());
        let revision: u64 = revision.ok_or_else(|| SyncError::Path(path.to_owned()))?;
        let delta = shared.mirror.borrow().changes_since(revision);
        let notes = shared.removals.borrow_mut().notes(Instant::now());
        let mut bytes = bincode::serde::encode_to_vec(&delta, bincode::config::standard())?;
        // Nodes of an earlier version ignore what follows the delta.
        bincode::serde::encode_into_std_write(&notes, &mut bytes, bincode::config::standard())?;
        let mut stream = respond.send_response(Response::new(()), false)?;
        // Queues all bytes; the connection sends them as flow control allows.
        stream.send_data(Bytes::from(bytes), true)?;
    }
    Ok(())
}
