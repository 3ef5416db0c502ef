//! Streams under way at this node, and which of their holders know their versions.
//!
//! The node that serves a stream knows its version for as long as it runs, whatever happens
//! to the holders. It tells those that become holders later, as nodes start, stop, fail and
//! come back.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Instant;

use crate::flow::peers::{Peer, Peers};
use crate::flow::stream_directory::{StreamDirectory, StreamKey, StreamMessage, StreamRecord};

/// Nodes of a large fleet that are told of a stream, besides the one that serves it.
///
/// With half of the nodes killed at once, one of them is left for seven streams in eight. In
/// a small fleet all nodes are told.
const HOLDERS: usize = 3;

/// Nodes that are told of a stream in a fleet without homes of servers.
const HOLDERS_OF_SMALL_FLEET: usize = 8;

/// One process of a node: its address and when it started.
type NodeRun = (SocketAddrV4, u64);

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
    /// Holders that were told of each stream and have not failed since.
    told: HashMap<StreamKey, Vec<NodeRun>>,
    /// Hash of the nodes for which no holder is left to tell.
    settled_for: Option<u64>,
}

impl ServedStreams {
    /// Records a stream that this node begins or goes on with; returns messages to its holders.
    pub fn begin(
        &mut self,
        now: Instant,
        record: StreamRecord,
        peers: &Peers,
    ) -> Vec<(SocketAddrV4, StreamMessage)> {
        let told = self.told.entry(record.stream).or_default();
        told.clear();
        tell(now, record, told, peers).collect()
    }

    /// Forgets a stream that is complete or that another node serves now.
    pub fn end(&mut self, stream: StreamKey) {
        self.told.remove(&stream);
    }

    /// Forgets the streams whose records have expired.
    pub fn expire(&mut self, now: Instant, directory: &StreamDirectory) {
        self.told
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
        for (stream, told) in &mut self.told {
            if messages.len() >= count_max {
                return messages;
            }
            if let Some(record) = directory.record_of(now, *stream) {
                messages.extend(tell(now, record, told, peers));
            }
        }
        self.settled_for = Some(live_runs);
        messages
    }

    /// Returns the number of streams.
    #[must_use]
    pub fn stream_count(&self) -> usize {
        self.told.len()
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
    /// Returns whether a node that has just started may be a holder of a stream.
    ///
    /// This node leaves itself out of the order, so that one more is among the first.
    #[must_use]
    pub fn may_hold(&self, now: Instant, stream: StreamKey, node: SocketAddrV4) -> bool {
        if !self.has_homes() {
            return true;
        }
        let holders = self.stream_holders(now, stream, HOLDERS + 1);
        holders.contains(&node)
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
