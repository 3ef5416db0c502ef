//! Which nodes watch the store, and which peer a node fetches values from.
//!
//! Values spread best from nodes with wide links: the store's answers arrive there first,
//! and they can pass values on to many peers at once.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use rand::seq::IteratorRandom;

use crate::flow::message::HeartbeatEntry;
use crate::flow::peers::{Peer, Peers};
use crate::flow::values::{ValueKind, ValuesStatement};
use crate::rendezvous;

/// Rendezvous key of the order in which nodes become watchers.
///
/// It is the same on all nodes.
const WATCHER_KEY: u64 = 0x7761_7463_6800;

/// Rendezvous key by which nodes differ in the time after which they read the store.
const DELAY_KEY: u64 = 0x6465_6c61_7900;

/// Age of the last heartbeat up to which a peer is preferred as a source.
///
/// One that stands still counts as live for longer.
const FRESH_AGE: Duration = Duration::from_millis(400);

/// Time for which a peer that refused is not asked again if others can be.
const BUSY_PAUSE: Duration = Duration::from_millis(150);

/// Time for which a peer that did not deliver is not asked again if others can be.
const FAILURE_PAUSE: Duration = Duration::from_secs(3);

/// Rate of a link, in Mbit/s, for each large answer that a node sends at the same time.
const MBPS_PER_TRANSFER: u32 = 10;

/// Bounds of the large answers that a node sends at the same time.
///
/// Peers beyond that ask another node, so that values spread like in a tree instead of
/// all peers sharing the link of the first few nodes.
const TRANSFERS: (u32, u32) = (2, 16);

/// What a node knows of the values of a peer.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PeerValues {
    /// `None` for nodes of earlier versions.
    statement: Option<ValuesStatement>,
    /// Whether it states the age of its values.
    states_age: bool,
    /// When its last heartbeat arrived.
    pub(crate) heard_at: Option<Instant>,
    paused_until: Option<Instant>,
}

/// A peer to fetch values from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ValueSource {
    /// Its address.
    pub address: SocketAddrV4,
    /// Revision of its newest change.
    pub revision: u64,
    /// Whether it can send one kind of values by itself.
    pub sends_kinds: bool,
}

impl Peer {
    /// Returns the revision of the peer's newest change of a kind.
    ///
    /// Those of earlier versions send all kinds together, as documents.
    fn changed_revision(&self, kind: ValueKind) -> u64 {
        match (self.values.statement, kind) {
            (Some(statement), kind) => statement.revision_of(kind),
            (None, ValueKind::Document) => self.revision,
            (None, ValueKind::Entry) => 0,
        }
    }

    pub(crate) fn is_fresh(&self, now: Instant) -> bool {
        let age = |at| now.saturating_duration_since(at);
        self.values.heard_at.is_some_and(|at| age(at) < FRESH_AGE)
    }

    fn link_mbps(&self) -> Option<u32> {
        let known = self.values.statement.map(|s| s.link_mbps);
        known.filter(|mbps| *mbps > 0)
    }
}

impl Peers {
    /// Sets the rate of this node's link in Mbit/s, 0 if unknown.
    pub fn set_link(&mut self, link_mbps: u32) {
        self.link_mbps = link_mbps;
    }

    /// Returns how many large answers this node sends at the same time.
    #[must_use]
    pub fn transfers_max(&self) -> usize {
        let transfers = self.link_mbps / MBPS_PER_TRANSFER;
        transfers.clamp(TRANSFERS.0, TRANSFERS.1) as usize
    }

    /// Handles what the sender of a heartbeat says of its values.
    pub fn receive_values(&mut self, sender: HeartbeatEntry, statement: ValuesStatement) {
        let Some(peer) = self.others.get_mut(&sender.address) else {
            return;
        };
        if peer.entry == sender {
            peer.values.statement = Some(statement);
        }
    }

    /// Records that the sender of a heartbeat states the age of its values.
    pub fn record_stated_age(&mut self, sender: HeartbeatEntry) {
        if let Some(peer) = self.others.get_mut(&sender.address) {
            peer.values.states_age = true;
        }
    }

    /// Returns whether this node should watch the store itself.
    ///
    /// All nodes compute the same few watchers, those with the widest links, by rendezvous
    /// hashing. A node that knows of too few live watchers becomes one as well.
    #[must_use]
    pub fn should_watch(&self, now: Instant) -> bool {
        let watching = self.others.values().filter(|p| p.is_watching);
        let watching = watching.filter(|p| self.is_live(now, p)).count();
        watching < self.options.watchers_min
            || self.preceding(now, |_| true) < self.options.watchers
    }

    /// Returns whether this node has the store confirm its values, for itself and others.
    ///
    /// Of the nodes that watch the store, the first ones do; those of earlier versions can't.
    #[must_use]
    pub fn should_confirm(&self, now: Instant) -> bool {
        self.preceding(now, |p| p.values.states_age) < self.options.confirming
    }

    /// Counts the live nodes of a kind that watch the store sooner than this one.
    fn preceding(&self, now: Instant, is_counted: impl Fn(&Peer) -> bool) -> usize {
        // A node whose link is unknown ranks as if it were like this one's.
        let rank = |link_mbps: u32, address: &SocketAddrV4| {
            let name_key = rendezvous::key(address.to_string().as_bytes());
            let weight = rendezvous::weight_of(WATCHER_KEY, name_key);
            (link_mbps.checked_ilog2(), weight)
        };
        let own_rank = rank(self.link_mbps, &self.local.address);
        let peer_rank = |p: &Peer| {
            let known = p.link_mbps().filter(|_| self.link_mbps > 0);
            rank(known.unwrap_or(self.link_mbps), &p.entry.address)
        };
        let counted = self.others.values().filter(|p| is_counted(p));
        let live = counted.filter(|p| self.is_live(now, p));
        live.filter(|p| peer_rank(p) > own_rank).count()
    }

    /// Returns a number from 0 to 1 that differs between nodes and stays the same.
    pub(crate) fn delay_ratio(&self) -> f64 {
        let name_key = rendezvous::key(self.local.address.to_string().as_bytes());
        rendezvous::weight_of(DELAY_KEY, name_key) as f64 / u64::MAX as f64
    }

    /// Returns whether changes that the store publishes now reach this node by peers.
    ///
    /// It has just heard of one, and one that is live watches the store.
    #[must_use]
    pub fn hears_watcher(&self, now: Instant) -> bool {
        let live = || self.others.values().filter(|p| self.is_live(now, p));
        live().any(|p| p.is_watching) && live().any(|p| p.is_fresh(now))
    }

    /// Returns a live peer with a newer change of a kind than `revision`.
    ///
    /// It is one of those with the widest links that were heard of lately and have not
    /// refused or failed. A node without values takes one of those that have the newest,
    /// since another one may have been cut off since servers left or keys were withdrawn.
    /// A leaving one may be gone before it answers.
    pub fn newer_source(
        &mut self,
        now: Instant,
        kind: ValueKind,
        revision: u64,
    ) -> Option<ValueSource> {
        let live = self.others.values().filter(|p| self.is_live(now, p));
        let mut sources: Vec<&Peer> = live
            .filter(|p| p.changed_revision(kind) > revision)
            .collect();
        let newest = sources.iter().map(|p| p.changed_revision(kind)).max()?;
        if revision == 0 {
            sources.retain(|p| p.changed_revision(kind) == newest);
        }
        prefer(&mut sources, |p| p.is_fresh(now));
        prefer(&mut sources, |p| {
            p.values.paused_until.is_none_or(|until| until <= now)
        });
        let width = |p: &Peer| p.link_mbps().unwrap_or(0).checked_ilog2();
        let widest = sources.iter().map(|p| width(p)).max()?;
        sources.retain(|p| width(p) == widest);
        let source = sources.into_iter().map(|p| ValueSource {
            address: p.entry.address,
            revision: p.changed_revision(kind),
            sends_kinds: p.values.statement.is_some(),
        });
        source.choose(&mut self.rng)
    }

    /// Records that a peer did not deliver values, as it was busy or for another reason.
    pub fn record_fetch_failure(&mut self, now: Instant, address: SocketAddrV4, is_busy: bool) {
        let pause = if is_busy { BUSY_PAUSE } else { FAILURE_PAUSE };
        if let Some(peer) = self.others.get_mut(&address) {
            peer.values.paused_until = Some(now + pause);
        }
    }
}

/// Retains the preferred peers if there are any.
fn prefer(peers: &mut Vec<&Peer>, is_preferred: impl Fn(&Peer) -> bool) {
    if peers.iter().any(|p| is_preferred(p)) {
        peers.retain(|p| is_preferred(p));
    }
}
