//! Streams under way at this node, and which nodes it has told of their versions.
//!
//! The node that serves a stream knows its version for as long as it runs, whatever happens
//! to the holders. It tells those that become holders later, as nodes start, stop, fail and
//! come back, and all nodes if the version does not follow from the stream's key.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::flow::dispatch::Dispatcher;
use crate::flow::peers::{Peer, Peers};
use crate::flow::stream_directory::{StreamDirectory, StreamKey, StreamMessage, StreamRecord};
use crate::flow::version::VersionKey;
use crate::ids::ServiceName;

/// Nodes of a large fleet that are told of each stream, besides the one that serves it.
///
/// With half of the nodes killed at once, one of them is left for seven streams in eight. In
/// a small fleet all nodes are told.
const HOLDERS: usize = 3;

/// Nodes that are told of a stream in a fleet without homes of servers.
const HOLDERS_OF_SMALL_FLEET: usize = 8;

/// Messages in a second beyond which no stream begins at another version than that of its key.
const MESSAGES_PER_S: usize = 1_000;

/// Time for which records wait for others that go into the same message.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(240);

/// Records in a message to all nodes, which fits in a packet.
const RECORDS_PER_MESSAGE: usize = 20;

/// Messages to all nodes that wait to be sent; what is beyond is left to the holders.
const WAITING_MAX: usize = 8_192;

/// One process of a node: its address and when it started.
type NodeRun = (SocketAddrV4, u64);

/// A stream that this node begins or goes on with.
#[derive(Clone, Debug)]
pub struct StreamStart {
    /// What others are told of it.
    pub record: StreamRecord,
    /// Its service, `None` if its route has several.
    pub service: Option<ServiceName>,
    /// Largest age that streams of its route may have.
    pub age_max: Duration,
}

/// A stream that this node serves.
#[derive(Debug)]
struct Served {
    service: Option<ServiceName>,
    age_max: Duration,
    /// Holders that were told of it and have not failed since.
    told: Vec<NodeRun>,
    /// Whether all nodes were told.
    is_known_to_all: bool,
}

/// What the key of a stream tells others of its version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum KeyTells {
    /// The version at which it began.
    Version,
    /// Nothing for certain.
    Nothing,
    /// Another version.
    AnotherVersion,
}

/// Streams that this node serves or has cut, until another node serves them.
///
/// # Examples
///
/// ```
/// use std::time::Instant;
///
/// use briarbank_core::flow::{PeerOptions, Peers, ServedStreams, StreamDirectory};
///
/// let address = "10.1.0.19:7200".parse().unwrap();
/// let peers = Peers::new(address, 1, Vec::new(), PeerOptions::default());
/// let mut streams = ServedStreams::default();
/// let messages = streams.untold(Instant::now(), &StreamDirectory::default(), &peers, 8);
/// assert!(messages.is_empty(), "no stream has begun");
/// ```
#[derive(Debug, Default)]
pub struct ServedStreams {
    streams: HashMap<StreamKey, Served>,
    /// Hash of the nodes for which no holder is left to tell.
    settled_for: Option<u64>,
    /// Number of changes of shares, and earliest loss, that the streams' keys were checked for.
    checked_for: Option<(u64, Option<Instant>)>,
    /// Records that all nodes are still to be told, and since when the first one waits.
    untold: Vec<StreamRecord>,
    untold_since: Option<Instant>,
    /// Messages that are still to be sent to all nodes.
    waiting: VecDeque<(SocketAddrV4, Arc<[StreamRecord]>)>,
    /// Messages to all nodes since the begin of the present second.
    sent: (Option<Instant>, usize),
}

impl ServedStreams {
    /// Records a stream that this node begins or goes on with; returns messages to other nodes.
    ///
    /// All are told if the version does not follow from the stream's key.
    pub fn begin(
        &mut self,
        now: Instant,
        start: StreamStart,
        peers: &Peers,
        dispatcher: &Dispatcher,
    ) -> Vec<(SocketAddrV4, StreamMessage)> {
        let StreamStart { record, .. } = start;
        let mut served = Served {
            service: start.service,
            age_max: start.age_max,
            told: Vec::new(),
            is_known_to_all: false,
        };
        let mut messages: Vec<_> = tell(now, record, &mut served.told, peers).collect();
        let tells = served.key_tells(now, record.stream, record.version, peers, dispatcher);
        if tells == KeyTells::AnotherVersion
            || (tells == KeyTells::Nothing && self.may_tell_all(now, peers))
        {
            served.is_known_to_all = true;
            let is_told = |address| served.told.iter().any(|(told, _)| *told == address);
            let others = peers.live_addresses(now).filter(|a| !is_told(*a));
            messages.extend(others.map(|address| (address, StreamMessage::Record(record))));
            self.sent.1 += messages.len();
            if tells == KeyTells::AnotherVersion {
                // A node that missed the message would join the stream wrongly.
                self.announce(now, &[record]);
            }
        } else if tells == KeyTells::Nothing {
            served.is_known_to_all = true;
            self.announce(now, &[record]);
        }
        self.streams.insert(record.stream, served);
        messages
    }

    /// Returns whether a stream may begin at another version than that of its key.
    pub fn may_tell_all(&mut self, now: Instant, peers: &Peers) -> bool {
        let (since, count) = &mut self.sent;
        let is_over = |at: Instant| now.saturating_duration_since(at) >= Duration::from_secs(1);
        if since.is_none_or(is_over) {
            (*since, *count) = (Some(now), 0);
        }
        let nodes = peers.live_count(now);
        // A node that hears of no other one may be cut off.
        let is_alone = nodes == 1 && peers.has_other_seeds();
        !is_alone && *count + nodes <= MESSAGES_PER_S
    }

    /// Looks which streams' keys have become uncertain, so that all nodes are told of them.
    pub fn check_keys(
        &mut self,
        now: Instant,
        directory: &StreamDirectory,
        peers: &Peers,
        dispatcher: &Dispatcher,
    ) {
        let state = (dispatcher.share_changes(), peers.earliest_loss());
        if self.checked_for.replace(state) == Some(state) {
            return;
        }
        let mut uncertain = Vec::new();
        for (stream, served) in &mut self.streams {
            let Some(record) = directory.record_of(now, *stream) else {
                continue;
            };
            let tells = served.key_tells(now, *stream, record.version, peers, dispatcher);
            if !served.is_known_to_all && tells != KeyTells::Version {
                served.is_known_to_all = true;
                uncertain.push(record);
            }
        }
        self.announce(now, &uncertain);
    }

    /// Has all nodes told of streams, several in a message.
    fn announce(&mut self, now: Instant, records: &[StreamRecord]) {
        if !records.is_empty() {
            self.untold.extend(records);
            self.untold_since.get_or_insert(now);
        }
    }

    /// Takes messages to all nodes that are to be sent now.
    pub fn take_announcements(
        &mut self,
        now: Instant,
        peers: &Peers,
        count_max: usize,
    ) -> impl Iterator<Item = (SocketAddrV4, StreamMessage)> {
        let is_due = |at| now.saturating_duration_since(at) >= ANNOUNCE_INTERVAL;
        if self.untold.len() >= RECORDS_PER_MESSAGE || self.untold_since.is_some_and(is_due) {
            self.untold_since = None;
            for records in std::mem::take(&mut self.untold).chunks(RECORDS_PER_MESSAGE) {
                let records: Arc<[StreamRecord]> = records.into();
                let messages = peers.live_addresses(now).map(|a| (a, Arc::clone(&records)));
                let room = WAITING_MAX.saturating_sub(self.waiting.len());
                self.waiting.extend(messages.take(room));
            }
        }
        let count = count_max.min(self.waiting.len());
        let messages = self.waiting.drain(..count);
        messages.map(|(address, records)| (address, StreamMessage::Records(records)))
    }

    /// Forgets a stream that is complete or that another node serves now.
    pub fn end(&mut self, stream: StreamKey) {
        self.streams.remove(&stream);
    }

    /// Forgets the streams whose records have expired.
    pub fn expire(&mut self, now: Instant, directory: &StreamDirectory) {
        self.streams
            .retain(|stream, _| directory.version(now, *stream).is_some());
    }

    /// Returns messages to holders that do not know of their streams yet.
    ///
    /// At most about `count_max` messages are returned; the next call returns further ones.
    pub fn untold(
        &mut self,
        now: Instant,
        directory: &StreamDirectory,
        peers: &Peers,
        count_max: usize,
    ) -> Vec<(SocketAddrV4, StreamMessage)> {
        let live_runs = peers.live_runs(now);
        if self.settled_for == Some(live_runs) {
            return Vec::new();
        }
        let mut messages = Vec::new();
        for (stream, served) in &mut self.streams {
            if messages.len() >= count_max {
                return messages;
            }
            if let Some(record) = directory.record_of(now, *stream) {
                messages.extend(tell(now, record, &mut served.told, peers));
            }
        }
        self.settled_for = Some(live_runs);
        messages
    }

    /// Returns the number of streams.
    #[must_use]
    pub fn stream_count(&self) -> usize {
        self.streams.len()
    }
}

impl Served {
    /// Returns what others conclude from the stream's key.
    fn key_tells(
        &self,
        now: Instant,
        stream: StreamKey,
        version: VersionKey,
        peers: &Peers,
        dispatcher: &Dispatcher,
    ) -> KeyTells {
        let Some(service) = &self.service else {
            return KeyTells::Version;
        };
        let time = peers.share_time(now, self.age_max);
        let span = dispatcher.share_span(now, service, time);
        let of_key = span.version_of(stream);
        if of_key.is_some_and(|of_key| of_key != version) {
            return KeyTells::AnotherVersion;
        }
        let proved = if span.has_several() {
            time
        } else {
            self.age_max
        };
        // Others may have run as shortly, and would prove nothing.
        let has_seen_all = dispatcher.complete_time(now) >= proved;
        let is_unsettled = of_key.is_none() && span.has_several();
        if is_unsettled || !has_seen_all {
            return KeyTells::Nothing;
        }
        // With too many versions the key tells nothing of any stream, and no node relies on it.
        KeyTells::Version
    }
}

/// Returns messages to the holders of a stream that were not told, and adds them to `told`.
fn tell(
    now: Instant,
    record: StreamRecord,
    told: &mut Vec<NodeRun>,
    peers: &Peers,
) -> impl Iterator<Item = (SocketAddrV4, StreamMessage)> {
    let holders = peers.told_holders(now, record.stream);
    // One that has failed may have missed the message, or has lost its memory.
    told.retain(|run| holders.contains(run));
    let untold = holders.into_iter().filter(|run| !told.contains(run));
    let untold: Vec<NodeRun> = untold.collect();
    told.extend(&untold);
    let message = move |(address, _): NodeRun| (address, StreamMessage::Record(record));
    untold.into_iter().map(message)
}

impl Peers {
    /// Iterates over the addresses of the other live nodes.
    fn live_addresses(&self, now: Instant) -> impl Iterator<Item = SocketAddrV4> {
        let live = self.others.values().filter(move |p| self.is_live(now, p));
        live.map(|p| p.entry.address)
    }

    /// Returns the live nodes that are to know the version of a stream, and their starts.
    fn told_holders(&self, now: Instant, stream: StreamKey) -> Vec<NodeRun> {
        let count = if self.has_homes() {
            HOLDERS
        } else {
            HOLDERS_OF_SMALL_FLEET
        };
        let holders = self.in_stream_order(stream, count, |p| self.is_live(now, p));
        let run = |p: &Peer| (p.entry.address, p.entry.incarnation);
        holders.into_iter().map(run).collect()
    }
}
