//! The node that has newer values: sends them to peers.

use std::collections::HashSet;
use std::future::poll_fn;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use briarbank_core::flow::{Delta, KNOWN_CHUNKS_MAX, PackedDelta, ValueKind, Values};
use briarbank_core::occupancy::{Bounds, Bytes as HeldBytes, Purpose};
use briarbank_net::{Admission, Place, Reservation};
use bytes::Bytes;
use h2::server::SendResponse;
use h2::{RecvStream, SendStream};
use http::header::{ACCEPT_ENCODING, CONTENT_ENCODING};
use http::{Request, Response, StatusCode};
use lz4_flex::block;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use super::fetch::read_body;
use super::{ENCODING, EXCHANGE_TIMEOUT, Requested, SILENCE_TIMEOUT, STREAMS_PREFIX, SyncError};
use crate::codec;
use crate::log_lines::LineKind;
use crate::relay;
use crate::shared::SharedState;
use crate::streams;

/// Size, as sent, from which an answer counts as large.
const LARGE_BYTES_MIN: usize = 64 << 10;

/// Copies of an answer while it is made: packed, encoded and compressed.
const COPIES_MAX: usize = 3;

/// Largest header list of a request.
const HEADER_BYTES_MAX: u32 = 8 << 10;

/// Bytes of an answer that wait for a peer, beyond which its sender waits.
const SEND_BUFFER_BYTES: usize = 64 << 10;

/// Largest request: the hashes of the chunks that a peer has.
const REQUEST_BYTES_MAX: usize = KNOWN_CHUNKS_MAX * (size_of::<u64>() + 1) + 16;

/// A large answer while peers are being sent it, as most of them lack the same.
#[derive(Debug)]
pub(crate) struct AnswerCache {
    path: String,
    known: Bytes,
    revision: u64,
    bytes: Bytes,
}

/// Serves values to peers until the task is aborted.
pub(crate) async fn serve(shared: Rc<SharedState>, listener: TcpListener) {
    let bounds = shared.settings().connection_shares;
    let admission = Admission::new(Bounds {
        connections_max: bounds.peers,
        bytes_max: HeldBytes {
            answers: bounds.transfer_bytes,
            ..HeldBytes::default()
        },
    });
    loop {
        let (stream, peer) = briarbank_net::accept(&listener).await;
        let Ok(place) = admission.enter() else {
            metrics::counter!("briarbank_peer_connections_refused_total").increment(1);
            if shared.log_lines.take(LineKind::Closed) {
                tracing::info!(%peer, "peer: connection refused, all are in use");
            }
            continue;
        };
        let serving = Rc::clone(&shared);
        shared.tasks.spawn_local(async move {
            let served = tokio::select! {
                served = serve_connection(&serving, stream, &place) => served,
                () = place.gave_way() => Err(SyncError::GaveWay),
            };
            if let Err(error) = served {
                tracing::debug!(%peer, %error, "peer: serving a request failed");
            }
        });
    }
}

/// Answers the one request of a connection.
async fn serve_connection(
    shared: &SharedState,
    stream: TcpStream,
    place: &Arc<Place>,
) -> Result<(), SyncError> {
    briarbank_net::set_path_timeouts(&stream)?;
    let mut builder = h2::server::Builder::new();
    builder
        .max_header_list_size(HEADER_BYTES_MAX)
        .max_concurrent_streams(1)
        .max_send_buffer_size(SEND_BUFFER_BYTES);
    let handshake = timeout(SILENCE_TIMEOUT, builder.handshake(stream)).await;
    let mut connection = handshake.map_err(|_elapsed| SyncError::Silent)??;
    let accepted = timeout(SILENCE_TIMEOUT, connection.accept()).await;
    let Some(accepted) = accepted.map_err(|_elapsed| SyncError::Silent)? else {
        return Ok(());
    };
    let (request, respond) = accepted?;
    place.work();
    // Held until the peer has the whole answer and closes the connection, or stands still.
    let _transfer = tokio::select! {
        answered = serve_request(shared, request, respond, place) => answered?,
        closed = poll_fn(|cx| connection.poll_closed(cx)) => return Ok(closed?),
    };
    let closed = timeout(SILENCE_TIMEOUT, poll_fn(|cx| connection.poll_closed(cx)));
    Ok(closed.await.map_err(|_elapsed| SyncError::Silent)??)
}

/// Relays a connection to a server, or sends values.
async fn serve_request<'a>(
    shared: &'a SharedState,
    request: Request<RecvStream>,
    respond: SendResponse<Bytes>,
    place: &Arc<Place>,
) -> Result<Option<Transfer<'a>>, SyncError> {
    if request.uri().path().starts_with(relay::PATH_PREFIX) {
        relay::serve(shared, request, respond).await?;
        return Ok(None);
    }
    let answered = timeout(EXCHANGE_TIMEOUT, answer(shared, request, respond, place)).await;
    answered.unwrap_or(Err(SyncError::Silent))
}

/// Sends the answer to a request for as long as the peer reads it.
async fn answer<'a>(
    shared: &'a SharedState,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    place: &Arc<Place>,
) -> Result<Option<Transfer<'a>>, SyncError> {
    let (head, body) = request.into_parts();
    let is_compressed = head.headers.contains_key(ACCEPT_ENCODING);
    let known = read_body(body, REQUEST_BYTES_MAX).await?;
    let path = head.uri.path();
    let mut maker = AnswerMaker {
        shared,
        is_compressed,
        reservation: Reservation::new(place, Purpose::Answer),
    };
    let Some((bytes, is_large)) = maker.make(path, known.into())? else {
        let refusal = Response::builder().status(StatusCode::SERVICE_UNAVAILABLE);
        respond.send_response(refusal.body(())?, true)?;
        return Ok(None);
    };
    let transfer = is_large.then(|| Transfer::start(shared, maker.reservation));
    let mut response = Response::builder();
    if is_compressed {
        response = response.header(CONTENT_ENCODING, ENCODING);
    }
    let stream = respond.send_response(response.body(())?, false)?;
    send_body(stream, bytes).await?;
    Ok(transfer)
}

/// Sends a body piece by piece, as the receiver allows.
async fn send_body(mut stream: SendStream<Bytes>, mut bytes: Bytes) -> Result<(), SyncError> {
    while !bytes.is_empty() {
        stream.reserve_capacity(bytes.len());
        let capacity = timeout(SILENCE_TIMEOUT, poll_fn(|cx| stream.poll_capacity(cx))).await;
        let Some(capacity) = capacity.map_err(|_elapsed| SyncError::Silent)? else {
            return Err(SyncError::Silent);
        };
        let piece = bytes.split_to(capacity?.min(bytes.len()));
        metrics::counter!("briarbank_value_bytes_sent_total").increment(piece.len() as u64);
        stream.send_data(piece, bytes.is_empty())?;
    }
    Ok(())
}

/// Makes an answer, whose memory is reserved before it is taken.
struct AnswerMaker<'a> {
    shared: &'a SharedState,
    is_compressed: bool,
    reservation: Reservation,
}

impl AnswerMaker<'_> {
    /// Returns an answer and whether it is large; `None` if it is and enough of those are
    /// being sent.
    fn make(&mut self, path: &str, known: Bytes) -> Result<Option<(Bytes, bool)>, SyncError> {
        if let Some(node) = path.strip_prefix(STREAMS_PREFIX) {
            let bytes = encode_streams(self.shared, node)?;
            // Encoded and compressed at the same time.
            if self.reservation.grow(2 * bytes.len()).is_err() {
                return Ok(None);
            }
            return Ok(Some((self.compress(bytes), false)));
        }
        let (requested, since) = Requested::parse(path)?;
        let revision = self.shared.values.borrow().revision();
        if let Some(cached) = &*self.shared.answer_cache.borrow()
            && (cached.path.as_str(), &cached.known, cached.revision) == (path, &known, revision)
            && self.is_compressed
        {
            let may_send = may_transfer(self.shared);
            return Ok(may_send.then(|| (cached.bytes.clone(), true)));
        }
        let delta = changes_since(&self.shared.values.borrow(), requested, since);
        let size = encoded_size(&delta);
        if size >= LARGE_BYTES_MIN && self.reservation.grow(COPIES_MAX * size).is_err() {
            return Ok(None);
        }
        let bytes = encode_values(self.shared, requested, &delta, &known)?;
        drop(delta);
        let bytes = self.compress(bytes);
        if bytes.len() < LARGE_BYTES_MIN {
            return Ok(Some((bytes, false)));
        }
        if !may_transfer(self.shared) {
            return Ok(None);
        }
        self.reservation.shrink_to(bytes.len());
        // Other answers hold ages of removals, which are right only when they are encoded.
        if self.is_compressed && requested == Requested::Kind(ValueKind::Document) {
            *self.shared.answer_cache.borrow_mut() = Some(AnswerCache {
                path: path.to_owned(),
                known,
                revision,
                bytes: bytes.clone(),
            });
        }
        Ok(Some((bytes, true)))
    }

    fn compress(&self, bytes: Vec<u8>) -> Bytes {
        if !self.is_compressed {
            return bytes.into();
        }
        let mut compressed = block::compress_prepend_size(&bytes);
        drop(bytes);
        compressed.shrink_to_fit();
        compressed.into()
    }
}

/// Returns the size of a delta when it is encoded, not compressed, and nothing is known.
fn encoded_size(delta: &Delta) -> usize {
    /// Bytes of a revision and of two lengths.
    const FRAMING_BYTES: usize = 9 + 5 + 5;
    let changes = delta.changes.iter();
    let changes = changes.map(|c| c.key.len() + c.value.len() + FRAMING_BYTES);
    let removals = delta.removals.iter().map(|r| r.key.len() + FRAMING_BYTES);
    changes.chain(removals).sum()
}

fn changes_since(values: &Values, requested: Requested, since: u64) -> Delta {
    match requested {
        Requested::All => values.all_changes_since(since),
        Requested::Kind(kind) => values.changes_since(kind, since),
    }
}

/// Encodes the records of streams for the node of that address.
fn encode_streams(shared: &SharedState, node: &str) -> Result<Vec<u8>, SyncError> {
    let parsed: Result<SocketAddrV4, _> = node.parse();
    parsed.map_err(|_error| SyncError::Path(format!("{STREAMS_PREFIX}{node}")))?;
    Ok(codec::encode_message(&streams::all_records(shared))?)
}

fn encode_values(
    shared: &SharedState,
    requested: Requested,
    delta: &Delta,
    known: &[u8],
) -> Result<Vec<u8>, SyncError> {
    if requested == Requested::Kind(ValueKind::Document) {
        let known: Vec<u64> = codec::decode_message(known)?;
        let known: HashSet<u64> = known.into_iter().collect();
        return Ok(codec::encode_message(&PackedDelta::pack(delta, &known))?);
    }
    let notes = shared.removals.borrow_mut().notes(Instant::now());
    Ok(codec::encode(delta, &notes)?)
}

/// Returns whether another large answer may be sent.
fn may_transfer(shared: &SharedState) -> bool {
    let may_transfer = shared.transfers.get() < shared.peers.borrow().transfers_max();
    if !may_transfer {
        metrics::counter!("briarbank_value_transfers_refused_total").increment(1);
    }
    may_transfer
}

/// Counts a large answer as being sent until dropped.
struct Transfer<'a> {
    shared: &'a SharedState,
    #[expect(dead_code, reason = "released when dropped")]
    reservation: Reservation,
}

impl<'a> Transfer<'a> {
    fn start(shared: &'a SharedState, reservation: Reservation) -> Self {
        shared.transfers.set(shared.transfers.get() + 1);
        Self {
            shared,
            reservation,
        }
    }
}

impl Drop for Transfer<'_> {
    fn drop(&mut self) {
        let transfers = self.shared.transfers.get() - 1;
        self.shared.transfers.set(transfers);
        if transfers == 0 {
            *self.shared.answer_cache.borrow_mut() = None;
        }
    }
}
