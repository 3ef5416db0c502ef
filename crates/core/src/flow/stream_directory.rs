//! Versions at which streams began, for callers that take them up at another node.
//!
//! The node that passes on the first event of a stream tells a few others, its holders,
//! which it chooses by rendezvous hashing of the stream's key, and those that take their
//! place while the stream lasts ([`crate::flow::ServedStreams`]). A node that starts asks
//! others for the records that they hold. Any node can ask the holders later. Nothing is
//! agreed upon or stored: a record expires with the time that the caller has. When all nodes
//! that knew a stream are gone, its version follows from its key
//! ([`crate::flow::StreamProof`]), unless all nodes were told that it does not.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::flow::version::VersionKey;
use crate::ids::{ServiceName, WorkspaceName};
use crate::rendezvous;

/// Streams that a node keeps records of; the first to expire gives way to a further one.
const STREAMS_MAX: usize = 16_384;

/// Longest time for which a record is kept.
const LIFETIME_MAX: Duration = Duration::from_mins(2);

/// Hash of a workspace and of the id of the call that brought a stream's first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamKey(u64);

impl StreamKey {
    /// Creates the key of a stream.
    #[must_use]
    pub fn new(workspace: Option<&WorkspaceName>, first_call: &str) -> Self {
        let workspace = workspace.map_or("", WorkspaceName::as_str);
        Self(rendezvous::key(
            format!("{workspace}\0{first_call}").as_bytes(),
        ))
    }

    /// Returns the key in the rendezvous order of nodes.
    pub(crate) fn order_key(self) -> u64 {
        self.0
    }
}

/// What a node knows of a stream, as it tells others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRecord {
    /// The stream.
    pub stream: StreamKey,
    /// Version of the server that brought its first event.
    pub version: VersionKey,
    /// Time that the caller has left, in milliseconds.
    pub lifetime_ms: u32,
}

/// Message about streams between nodes, sent after [`Self::PREFIX`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StreamMessage {
    /// A stream began at a version; sent to its holders.
    Record(StreamRecord),
    /// Question for the version at which a stream began.
    Query {
        /// Address of the sender's peer port.
        sender: SocketAddrV4,
        /// Number of the query at the sender.
        id: u32,
        /// The stream.
        stream: StreamKey,
        /// Its service, `None` if its route has several.
        service: Option<ServiceName>,
        /// Largest age that it may have, in milliseconds.
        age_max_ms: u32,
    },
    /// Answer to a query.
    Answer {
        /// Number of the query.
        id: u32,
        /// What the node knows.
        origin: StreamOrigin,
    },
    /// Streams that the sender serves, sent to all nodes.
    Records(Arc<[StreamRecord]>),
}

/// What a node knows of the version at which a stream began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StreamOrigin {
    /// Nothing.
    Unknown,
    /// The node has a record of the stream.
    Recorded(VersionKey),
    /// The service had no other version since the stream can have begun.
    SoleVersion(VersionKey),
}

impl StreamMessage {
    /// Start of a datagram with a message about streams.
    ///
    /// Nodes that do not know these messages fail to decode it, as with
    /// [`crate::flow::LoadMessage::PREFIX`].
    pub const PREFIX: [u8; 5] = [0, 0, 0, 0, 0xfe];
}

/// Versions of the streams that this node began or holds records of.
#[derive(Debug, Default)]
pub struct StreamDirectory {
    streams: HashMap<StreamKey, Entry>,
    expiries: BTreeSet<(Instant, StreamKey)>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    version: VersionKey,
    expires_at: Instant,
}

impl Entry {
    /// Returns the record of a stream with the time that is left of it.
    fn to_record(self, now: Instant, stream: StreamKey) -> Option<StreamRecord> {
        let lifetime = self.expires_at.checked_duration_since(now)?;
        let lifetime_ms = u32::try_from(lifetime.as_millis()).unwrap_or(u32::MAX);
        (lifetime_ms > 0).then_some(StreamRecord {
            stream,
            version: self.version,
            lifetime_ms,
        })
    }
}

impl StreamDirectory {
    /// Records the version of a stream for at least `lifetime`.
    ///
    /// The version of a stream that is known stays, since it cannot change.
    pub fn record(
        &mut self,
        now: Instant,
        stream: StreamKey,
        version: VersionKey,
        lifetime: Duration,
    ) {
        self.expire(now);
        let mut entry = Entry {
            version,
            expires_at: now + lifetime.min(LIFETIME_MAX),
        };
        if let Some(known) = self.streams.get(&stream) {
            self.expiries.remove(&(known.expires_at, stream));
            entry.version = known.version;
            entry.expires_at = entry.expires_at.max(known.expires_at);
        } else if self.streams.len() >= STREAMS_MAX
            && let Some((_, first)) = self.expiries.pop_first()
        {
            self.streams.remove(&first);
        }
        self.expiries.insert((entry.expires_at, stream));
        self.streams.insert(stream, entry);
    }

    /// Returns the version at which a stream began.
    #[must_use]
    pub fn version(&self, now: Instant, stream: StreamKey) -> Option<VersionKey> {
        let entry = self.streams.get(&stream)?;
        (now < entry.expires_at).then_some(entry.version)
    }

    /// Returns what to tell others of a stream, `None` if it is unknown.
    #[must_use]
    pub fn record_of(&self, now: Instant, stream: StreamKey) -> Option<StreamRecord> {
        self.streams.get(&stream)?.to_record(now, stream)
    }

    /// Iterates over what to tell others of all streams.
    pub fn records(&self, now: Instant) -> impl Iterator<Item = StreamRecord> {
        let streams = self.streams.iter();
        streams.filter_map(move |(stream, entry)| entry.to_record(now, *stream))
    }

    /// Drops the records whose time is over.
    pub fn expire(&mut self, now: Instant) {
        while let Some((expires_at, stream)) = self.expiries.first().copied()
            && expires_at <= now
        {
            self.expiries.pop_first();
            self.streams.remove(&stream);
        }
    }

    /// Returns the number of streams with a record.
    #[must_use]
    pub fn stream_count(&self) -> usize {
        self.streams.len()
    }
}
