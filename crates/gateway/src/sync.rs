//! Transfer of published values to a node that lags behind a peer.

use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::{Duration, Instant};

use briarbank_core::flow::{Delta, RemovalNote};
use h2::RecvStream;
use http::header::{ACCEPT_ENCODING, CONTENT_ENCODING};
use http::{Request, Response, StatusCode};
use lz4_flex::block::{self, DecompressError};
use quick_error::quick_error;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use crate::apply::Source;
use crate::codec;
use crate::shared::SharedState;

/// Timeout of a connect to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for the head of an answer, and between parts of its body.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of a whole exchange that makes progress.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest set of values that is accepted from a peer, encoded and not compressed.
const VALUES_BYTES_MAX: usize = 16 << 20;

/// Encoded size from which an answer counts as large.
const LARGE_BYTES_MIN: usize = 64 << 10;

/// Large answers that a node sends at the same time.
///
/// Peers beyond that ask another node, so that values spread like in a tree instead of
/// all peers sharing the link of the first few nodes.
const LARGE_ANSWERS_MAX: usize = 2;

/// Prefix of the path; the revision after which values are requested follows.
const PATH_PREFIX: &str = "/values/";

/// Name of the compression: an LZ4 block after its uncompressed size.
const ENCODING: &str = "x-lz4-block";

quick_error! {
    /// Error of an exchange of values.
    #[derive(Debug)]
    enum SyncError {
        Connect(error: std::io::Error) { display("connecting to the peer failed: {error}") from() }
        Stream(error: h2::Error) { display("stream broke: {error}") from() }
        Http(error: http::Error) { display("building the request failed: {error}") from() }
        Encode(error: bincode::error::EncodeError) { display("encoding values failed: {error}") from() }
        Decode(error: bincode::error::DecodeError) { display("decoding values failed: {error}") from() }
        Decompress(error: DecompressError) { display("decompressing values failed: {error}") from() }
        Path(path: String) { display("path {path} is unknown") }
        Busy(status: StatusCode) { display("peer refused with status {status}") }
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
        Err(error @ SyncError::Busy(_)) => tracing::debug!(%peer, %error, "peer: busy"),
        Err(error) => tracing::warn!(%peer, revision, %error, "peer: fetching values failed"),
    }
}

async fn request_values(
    peer: SocketAddr,
    revision: u64,
) -> Result<(Delta, Vec<RemovalNote>), SyncError> {
    let stream = briarbank_net::connect(peer, CONNECT_TIMEOUT).await?;
    let (mut sender, connection) = h2::client::handshake(stream).await?;
    let request = Request::get(format!("http://{peer}{PATH_PREFIX}{revision}"))
        .header(ACCEPT_ENCODING, ENCODING)
        .body(())?;
    let exchange = async {
        let (response, _) = sender.send_request(request, true)?;
        let Ok(response) = timeout(SILENCE_TIMEOUT, response).await else {
            return Err(SyncError::Silent);
        };
        let response = response?;
        if !response.status().is_success() {
            return Err(SyncError::Busy(response.status()));
        }
        let is_compressed = response.headers().contains_key(CONTENT_ENCODING);
        let bytes = read_values(response.into_body()).await?;
        if !is_compressed {
            return Ok(codec::decode(&bytes)?);
        }
        let (length, compressed) = block::uncompressed_size(&bytes)?;
        if length > VALUES_BYTES_MAX {
            return Err(SyncError::TooLarge);
        }
        Ok(codec::decode(&block::decompress(compressed, length)?)?)
    };
    tokio::select! {
        delta = exchange => delta,
        ended = connection => Err(ended.map_or_else(SyncError::Stream, |()| SyncError::Silent)),
    }
}

/// Reads a body for as long as it makes progress.
async fn read_values(mut body: RecvStream) -> Result<Vec<u8>, SyncError> {
    let mut bytes = Vec::new();
    loop {
        let Ok(chunk) = timeout(SILENCE_TIMEOUT, body.data()).await else {
            return Err(SyncError::Silent);
        };
        let Some(chunk) = chunk.transpose()? else {
            return Ok(bytes);
        };
        bytes.extend_from_slice(&chunk);
        if bytes.len() > VALUES_BYTES_MAX {
            return Err(SyncError::TooLarge);
        }
        body.flow_control().release_capacity(chunk.len())?;
    }
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
    briarbank_net::set_path_timeouts(&stream)?;
    let mut connection = h2::server::handshake(stream).await?;
    // Held until the peer has the whole answer and closes the connection.
    let mut transfer = None;
    while let Some(accepted) = connection.accept().await {
        let (request, mut respond) = accepted?;
        let mut bytes = encode_values(shared, request.uri().path())?;
        if bytes.len() >= LARGE_BYTES_MIN && transfer.is_none() {
            transfer = Transfer::start(shared);
            if transfer.is_none() {
                let refusal = Response::builder().status(StatusCode::SERVICE_UNAVAILABLE);
                respond.send_response(refusal.body(())?, true)?;
                continue;
            }
        }
        let mut response = Response::builder();
        if request.headers().contains_key(ACCEPT_ENCODING) {
            response = response.header(CONTENT_ENCODING, ENCODING);
            bytes = block::compress_prepend_size(&bytes);
        }
        let mut stream = respond.send_response(response.body(())?, false)?;
        // Queues all bytes; the connection sends them as flow control allows.
        stream.send_data(bytes.into(), true)?;
    }
    Ok(())
}

/// Encodes the values that a peer requests by the path.
fn encode_values(shared: &SharedState, path: &str) -> Result<Vec<u8>, SyncError> {
    let revision = path
        .strip_prefix(PATH_PREFIX)
        .and_then(|text| text.parse().ok());
    let revision: u64 = revision.ok_or_else(|| SyncError::Path(path.to_owned()))?;
    let delta = shared.mirror.borrow().changes_since(revision);
    let notes = shared.removals.borrow_mut().notes(Instant::now());
    Ok(codec::encode(&delta, &notes)?)
}

/// Counts a large answer as being sent until dropped.
struct Transfer<'a>(&'a SharedState);

impl<'a> Transfer<'a> {
    /// Returns `None` if enough large answers are being sent.
    fn start(shared: &'a SharedState) -> Option<Self> {
        let transfers = shared.transfers.get();
        if transfers >= LARGE_ANSWERS_MAX {
            return None;
        }
        shared.transfers.set(transfers + 1);
        Some(Self(shared))
    }
}

impl Drop for Transfer<'_> {
    fn drop(&mut self) {
        self.0.transfers.set(self.0.transfers.get() - 1);
    }
}
