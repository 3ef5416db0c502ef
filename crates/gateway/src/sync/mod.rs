//! Transfer of published values to a node that lags behind a peer.
//!
//! Entries of servers and documents are transferred apart, so that a server's change does
//! not wait for a large document. Of documents, only what the receiver lacks is sent. A
//! node of an earlier version is sent all kinds together. Records of streams are sent the
//! same way to nodes that have just started.

mod fetch;
mod serve;

use std::time::Duration;

use briarbank_core::flow::{ENTRIES_BYTES_MAX, ValueKind};
use http::StatusCode;
use lz4_flex::block::DecompressError;
use quick_error::quick_error;

pub(crate) use fetch::{fetch, fetch_streams};
pub(crate) use serve::{AnswerCache, serve};

/// Timeout of a connect to a peer; its kernel accepts, however busy the process is.
///
/// Shorter than the time after which a lost packet is sent again, as another peer is faster.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for the head of an answer, and between parts of a body, in both directions.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of a whole exchange that makes progress.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest set of values that is accepted from a peer, encoded and not compressed.
const VALUES_BYTES_MAX: usize = 16 << 20;

/// Largest set of entries that is accepted from a peer, encoded and not compressed.
///
/// What a node keeps takes less than that: the larger part of its memory is not sent.
const ENTRIES_ANSWER_BYTES_MAX: usize = ENTRIES_BYTES_MAX / 2;

/// Start of the path of a request for records of streams; the requesting node follows.
const STREAMS_PREFIX: &str = "/streams/";

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
        Damaged { display("document is not what the peer has") }
        TooLarge(bytes_max: usize) { display("values are larger than {bytes_max} bytes") }
        Silent { display("peer was silent for too long") }
        GaveWay { display("connection gave way to others before its request") }
    }
}

/// Values that a node requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Requested {
    /// All kinds together, as nodes of earlier versions do.
    All,
    Kind(ValueKind),
}

impl Requested {
    const ALL: [Self; 3] = [
        Self::All,
        Self::Kind(ValueKind::Entry),
        Self::Kind(ValueKind::Document),
    ];

    /// Returns the start of the path; the revision after which values are requested follows.
    fn path_prefix(self) -> &'static str {
        match self {
            Self::All => "/values/",
            Self::Kind(ValueKind::Entry) => "/entries/",
            Self::Kind(ValueKind::Document) => "/documents/",
        }
    }

    /// Returns what a path requests, and the revision.
    fn parse(path: &str) -> Result<(Self, u64), SyncError> {
        let requested = Self::ALL.into_iter().find_map(|requested| {
            let revision = path.strip_prefix(requested.path_prefix())?;
            Some((requested, revision.parse().ok()?))
        });
        requested.ok_or_else(|| SyncError::Path(path.to_owned()))
    }
}
