//! The node that lags: requests values and applies them.

use std::net::{SocketAddr, SocketAddrV4};
use std::time::Instant;

use briarbank_core::flow::{
    Delta, KnownChunks, PackedDelta, RemovalNote, StreamRecord, ValueKind, ValueSource,
};
use bytes::Bytes;
use h2::RecvStream;
use h2::client::SendRequest;
use http::header::{ACCEPT_ENCODING, CONTENT_ENCODING};
use http::{Method, Request};
use lz4_flex::block;
use tokio::time::timeout;

use super::{
    CONNECT_TIMEOUT, ENCODING, ENTRIES_ANSWER_BYTES_MAX, EXCHANGE_TIMEOUT, Requested,
    SILENCE_TIMEOUT, STREAMS_PREFIX, SyncError, VALUES_BYTES_MAX,
};
use crate::apply::Source;
use crate::codec;
use crate::shared::SharedState;

/// Changes that a peer has sent, with what it knows of recent removals.
struct Fetched {
    delta: Delta,
    notes: Vec<RemovalNote>,
}

/// Fetches newer values of a kind from a peer and applies them.
pub(crate) async fn fetch(shared: &SharedState, kind: ValueKind, source: ValueSource) {
    let requested = if source.sends_kinds {
        Requested::Kind(kind)
    } else {
        Requested::All
    };
    let peer = source.address;
    let fetched = timeout(
        EXCHANGE_TIMEOUT,
        request_values(shared, requested, peer.into()),
    );
    let error = match fetched.await.unwrap_or(Err(SyncError::Silent)) {
        Ok(Fetched { mut delta, notes }) => {
            shared.retain_usable(&mut delta.changes);
            let kind = source.sends_kinds.then_some(kind);
            return shared.apply(&delta, kind, Source::Peer(&notes));
        }
        Err(error) => error,
    };
    let is_busy = matches!(error, SyncError::Busy(_));
    let mut peers = shared.peers.borrow_mut();
    peers.record_fetch_failure(Instant::now(), peer, is_busy);
    drop(peers);
    if is_busy {
        metrics::counter!("briarbank_value_fetches_refused_total").increment(1);
        tracing::debug!(%peer, ?kind, %error, "peer: busy");
    } else {
        tracing::warn!(%peer, ?kind, %error, "peer: fetching values failed");
    }
}

/// Fetches the versions of streams that this node should hold from a peer, `None` if it fails.
pub(crate) async fn fetch_streams(
    shared: &SharedState,
    peer: SocketAddrV4,
) -> Option<Vec<StreamRecord>> {
    let local = shared.peers.borrow().local().address;
    let path = format!("http://{peer}{STREAMS_PREFIX}{local}");
    let requesting = on_connection(peer.into(), async |sender| {
        let bytes = send_request(sender, Method::GET, path, Bytes::new(), VALUES_BYTES_MAX);
        Ok(codec::decode_message(&bytes.await?)?)
    });
    match timeout(EXCHANGE_TIMEOUT, requesting).await {
        Ok(Ok(records)) => Some(records),
        failed => {
            let error = failed.unwrap_or(Err(SyncError::Silent)).err();
            let error = error.map(|error: SyncError| error.to_string());
            tracing::debug!(%peer, error, "peer: fetching versions of streams failed");
            None
        }
    }
}

async fn request_values(
    shared: &SharedState,
    requested: Requested,
    peer: SocketAddr,
) -> Result<Fetched, SyncError> {
    on_connection(peer, async |sender| {
        exchange(shared, requested, peer, sender).await
    })
    .await
}

/// Makes a request on a connection of its own.
async fn on_connection<T>(
    peer: SocketAddr,
    request: impl AsyncFnOnce(SendRequest<Bytes>) -> Result<T, SyncError>,
) -> Result<T, SyncError> {
    let stream = briarbank_net::connect(peer, CONNECT_TIMEOUT).await?;
    let (sender, connection) = h2::client::handshake(stream).await?;
    tokio::select! {
        requested = request(sender) => requested,
        ended = connection => Err(ended.map_or_else(SyncError::Stream, |()| SyncError::Silent)),
    }
}

async fn exchange(
    shared: &SharedState,
    requested: Requested,
    peer: SocketAddr,
    sender: SendRequest<Bytes>,
) -> Result<Fetched, SyncError> {
    let path = requested.path_prefix();
    if requested != Requested::Kind(ValueKind::Document) {
        let revision = match requested {
            Requested::All => shared.values.borrow().revision(),
            Requested::Kind(_) if shared.should_request_entries() => {
                shared.record_entries_requested();
                0
            }
            Requested::Kind(kind) => shared.values.borrow().mirror(kind).revision(),
        };
        let path = format!("http://{peer}{path}{revision}");
        let bytes_max = match requested {
            Requested::All => VALUES_BYTES_MAX,
            Requested::Kind(_) => ENTRIES_ANSWER_BYTES_MAX,
        };
        let bytes = send_request(sender, Method::GET, path, Bytes::new(), bytes_max).await?;
        let (delta, notes) = codec::decode(&bytes)?;
        return Ok(Fetched { delta, notes });
    }
    let (revision, known) = {
        let values = shared.values.borrow();
        let mirror = values.mirror(ValueKind::Document);
        // The same at all nodes that have these documents, so that one answer fits them all.
        (mirror.changed_revision(), KnownChunks::of(mirror))
    };
    let path = format!("http://{peer}{path}{revision}");
    let hashes = codec::encode_message(&known.hashes())?;
    let bytes = send_request(sender, Method::POST, path, hashes.into(), VALUES_BYTES_MAX);
    let packed: PackedDelta = codec::decode_message(&bytes.await?)?;
    let delta = packed.unpack(&known).ok_or(SyncError::Damaged)?;
    let notes = Vec::new();
    Ok(Fetched { delta, notes })
}

/// Sends a request and returns the decompressed body of its answer.
async fn send_request(
    sender: SendRequest<Bytes>,
    method: Method,
    uri: String,
    body: Bytes,
    bytes_max: usize,
) -> Result<Vec<u8>, SyncError> {
    let request = Request::builder().method(method).uri(uri);
    let request = request.header(ACCEPT_ENCODING, ENCODING).body(())?;
    let mut sender = sender.ready().await?;
    let has_body = !body.is_empty();
    let (response, mut stream) = sender.send_request(request, !has_body)?;
    if has_body {
        stream.send_data(body, true)?;
    }
    let Ok(response) = timeout(SILENCE_TIMEOUT, response).await else {
        return Err(SyncError::Silent);
    };
    let response = response?;
    if !response.status().is_success() {
        return Err(SyncError::Busy(response.status()));
    }
    let is_compressed = response.headers().contains_key(CONTENT_ENCODING);
    let bytes = read_body(response.into_body(), bytes_max).await?;
    metrics::counter!("briarbank_value_bytes_received_total").increment(bytes.len() as u64);
    if !is_compressed {
        return Ok(bytes);
    }
    let (length, compressed) = block::uncompressed_size(&bytes)?;
    if length > bytes_max {
        return Err(SyncError::TooLarge(bytes_max));
    }
    Ok(block::decompress(compressed, length)?)
}

/// Reads a body of at most `bytes_max` for as long as it makes progress.
pub(super) async fn read_body(
    mut body: RecvStream,
    bytes_max: usize,
) -> Result<Vec<u8>, SyncError> {
    let mut bytes = Vec::new();
    loop {
        let Ok(chunk) = timeout(SILENCE_TIMEOUT, body.data()).await else {
            return Err(SyncError::Silent);
        };
        let Some(chunk) = chunk.transpose()? else {
            return Ok(bytes);
        };
        bytes.extend_from_slice(&chunk);
        if bytes.len() > bytes_max {
            return Err(SyncError::TooLarge(bytes_max));
        }
        body.flow_control().release_capacity(chunk.len())?;
    }
}
