//! Gossip about live nodes, found by seeds, and their load in flight.
//!
//! Each node increments a heartbeat counter and sends it to a bounded number
//! of random peers, with the counters of some others. A node whose counter does
//! not increase for a while counts as failed. The traffic of a node does not
//! grow with the fleet; where a node gets heartbeats of some peers only, it
//! scales their loads up to the whole fleet.
//!
//! The result is approximate: fit for load balancing and for dividing limits,
//! not for agreement.
//!
//! Source: van Renesse, Minsky and Hayden, "A gossip-style failure detection
//! service", 1998.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};

use crate::flow::decaying_sum::decay_factor;
use crate::flow::homes::address_key;
use crate::flow::load::Load;
use crate::flow::message::{Heartbeat, HeartbeatEntry, ServerLoad};
use crate::flow::peer_values::PeerValues;
use crate::flow::relays::PeerRelay;
use crate::flow::view_log::ViewLog;

/// Time after which most pending prompts have been prefilled.
const PENDING_LIFETIME: Duration = Duration::from_millis(300);

/// Options of [`Peers`].
#[derive(Clone, Copy, Debug)]
pub struct PeerOptions {
    /// Number of peers up to which each heartbeat is sent to all of them.
    ///
    /// In larger fleets, nodes learn loads from the homes of the servers.
    pub mesh_peers_max: usize,
    /// Number of peers that each heartbeat is sent to in larger fleets.
    pub fan_out: usize,
    /// Largest number of other nodes' entries in each heartbeat.
    pub entries_max: usize,
    /// Number of nodes that watch the store; the others fetch changes from them.
    pub watchers: usize,
    /// Live watchers that a node must know of to rely on them.
    pub watchers_min: usize,
    /// Number of watchers that have the store confirm the values of the fleet.
    ///
    /// Two, so that the others need not look themselves when one of them ends.
    pub confirming: usize,
    /// Time without a new heartbeat count after which a node counts as failed.
    pub failure_timeout: Duration,
    /// Age beyond which a reported load is ignored.
    pub load_ttl: Duration,
    /// Time for which limits stay divided among the largest recent number of nodes.
    pub peak_ttl: Duration,
}

impl Default for PeerOptions {
    fn default() -> Self {
        Self {
            mesh_peers_max: 8,
            fan_out: 3,
            entries_max: 16,
            watchers: 8,
            watchers_min: 2,
            confirming: 2,
            failure_timeout: Duration::from_millis(2_500),
            load_ttl: Duration::from_millis(1_500),
            peak_ttl: Duration::from_secs(10),
        }
    }
}

/// Summary of what a node knows of its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerView {
    /// Number of live nodes, this one included.
    pub nodes: usize,
    /// Number of peers whose reported load is counted.
    pub reporting_peers: usize,
    /// Mean age of their loads.
    pub mean_age: Duration,
}

#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) entry: HeartbeatEntry,
    /// Hash of its address, by which orders of nodes are computed.
    pub(crate) address_key: u64,
    updated_at: Instant,
    pub(crate) revision: u64,
    pub(crate) is_leaving: bool,
    pub(crate) is_watching: bool,
    loads: Vec<ServerLoad>,
    loads_at: Option<Instant>,
    pub(crate) values: PeerValues,
    pub(crate) relay: PeerRelay,
}

/// The nodes that this one knows of, with their state and load.
#[derive(Debug)]
pub struct Peers {
    pub(crate) local: HeartbeatEntry,
    pub(crate) is_leaving: bool,
    pub(crate) options: PeerOptions,
    seeds: Vec<SocketAddrV4>,
    pub(crate) others: BTreeMap<SocketAddrV4, Peer>,
    peak: (usize, Option<Instant>),
    /// Largest number of live nodes ever seen.
    pub(crate) nodes_max: usize,
    /// Time of the first heartbeat, `None` before it.
    pub(crate) started_at: Option<Instant>,
    /// Homes of servers by the hash of their names, until the next heartbeat.
    pub(crate) homes: HashMap<u32, SocketAddrV4>,
    /// Hash of the live nodes, and when it last changed.
    membership: (u64, Option<Instant>),
    /// Nodes that were lost, and builds that begin streams at any version.
    pub(crate) view_log: ViewLog,
    /// Rate of this node's link in Mbit/s, 0 if unknown.
    pub(crate) link_mbps: u32,
    pub(crate) rng: SmallRng,
}

impl Peers {
    /// Creates a node that knows only the seeds, some of which may be stale.
    #[must_use]
    pub fn new(
        address: SocketAddrV4,
        incarnation: u64,
        seeds: Vec<SocketAddrV4>,
        options: PeerOptions,
    ) -> Self {
        let local = HeartbeatEntry {
            address,
            incarnation,
            count: 0,
        };
        let seed = incarnation ^ u64::from(address.ip().to_bits()).rotate_left(32);
        Self {
            local,
            is_leaving: false,
            options,
            seeds,
            others: BTreeMap::new(),
            peak: (1, None),
            nodes_max: 1,
            started_at: None,
            homes: HashMap::new(),
            membership: (0, None),
            view_log: ViewLog::default(),
            link_mbps: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Replaces the list of seeds.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddrV4>) {
        self.seeds = seeds;
    }

    /// Announces in all further heartbeats that this node is stopping.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Discards all reported loads, which are out of date after a pause of the process.
    pub fn discard_loads(&mut self) {
        for peer in self.others.values_mut() {
            peer.loads_at = None;
        }
    }

    /// Returns the next heartbeat and its receivers.
    pub fn next_heartbeat(
        &mut self,
        now: Instant,
        revision: u64,
        is_watching: bool,
        loads: Vec<ServerLoad>,
    ) -> (Heartbeat, Vec<SocketAddrV4>) {
        self.expire_peers(now);
        self.homes.clear();
        self.started_at.get_or_insert(now);
        self.local.count = self.local.count.wrapping_add(1);
        let entries = self.others.values().map(|p| p.entry);
        let entries = entries.choose_multiple(&mut self.rng, self.options.entries_max);
        let heartbeat = Heartbeat {
            sender: self.local,
            is_leaving: self.is_leaving,
            is_watching,
            revision,
            loads,
            entries,
        };
        (heartbeat, self.choose_receivers())
    }

    fn choose_receivers(&mut self) -> Vec<SocketAddrV4> {
        let fan_out = if self.others.len() <= self.options.mesh_peers_max {
            self.options.mesh_peers_max
        } else {
            self.options.fan_out
        };
        let known = self.others.keys().copied();
        let mut receivers = known.choose_multiple(&mut self.rng, fan_out);
        // One seed in each round lets the two sides of a network partition merge again.
        let seeds = self.seeds.iter().copied();
        let seeds = seeds.filter(|s| *s != self.local.address && !receivers.contains(s));
        receivers.extend(seeds.choose(&mut self.rng));
        receivers
    }

    /// Handles a heartbeat of another node.
    pub fn receive(&mut self, now: Instant, heartbeat: Heartbeat) {
        for entry in &heartbeat.entries {
            self.update_entry(now, *entry);
        }
        self.update_entry(now, heartbeat.sender);
        let Some(peer) = self.others.get_mut(&heartbeat.sender.address) else {
            return;
        };
        if peer.entry != heartbeat.sender {
            return;
        }
        peer.revision = peer.revision.max(heartbeat.revision);
        peer.is_leaving = heartbeat.is_leaving;
        peer.is_watching = heartbeat.is_watching;
        peer.loads = heartbeat.loads;
        peer.loads_at = Some(now);
        peer.values.heard_at = Some(now);
    }

    fn update_entry(&mut self, now: Instant, entry: HeartbeatEntry) {
        if entry.address == self.local.address {
            return;
        }
        let peer = self.others.entry(entry.address).or_insert_with(|| Peer {
            entry,
            address_key: address_key(entry.address),
            updated_at: now,
            revision: 0,
            is_leaving: false,
            is_watching: false,
            loads: Vec::new(),
            loads_at: None,
            values: PeerValues::default(),
            relay: PeerRelay::default(),
        });
        let is_newer =
            (entry.incarnation, entry.count) > (peer.entry.incarnation, peer.entry.count);
        if !is_newer {
            return;
        }
        if entry.incarnation > peer.entry.incarnation {
            peer.is_leaving = false;
            peer.is_watching = false;
            peer.loads.clear();
            peer.revision = 0;
            peer.values = PeerValues::default();
            peer.relay = PeerRelay::default();
        }
        peer.entry = entry;
        peer.updated_at = now;
    }

    fn expire_peers(&mut self, now: Instant) {
        let is_lost = |p: &&Peer| !self.is_running(now, p) && !p.is_leaving;
        let lost = self.others.values().filter(is_lost).map(|p| p.updated_at);
        let first_lost = lost.filter(|at| self.view_log.is_newer(*at)).min();
        self.view_log.record_loss(now, first_lost);
        // Old counts that peers still gossip must not revive a failed node, so its entry
        // is kept for a while after the failure.
        let retention = self.options.failure_timeout * 8;
        self.others
            .retain(|_, p| now.saturating_duration_since(p.updated_at) < retention);
        let live = self.others.values().filter(|p| self.is_live(now, p));
        let hashes = live.map(|p| p.address_key);
        let membership = hashes.fold(0, u64::wrapping_add);
        if self.membership.0 != membership || self.membership.1.is_none() {
            self.membership = (membership, Some(now));
        }
        let live = self.live_count(now);
        self.nodes_max = self.nodes_max.max(live);
        let is_outdated = |at: Instant| now.saturating_duration_since(at) > self.options.peak_ttl;
        if live >= self.peak.0 || self.peak.1.is_none_or(is_outdated) {
            self.peak = (live, Some(now));
        }
    }

    pub(crate) fn is_live(&self, now: Instant, peer: &Peer) -> bool {
        self.is_running(now, peer) && !peer.is_leaving
    }

    /// Returns whether a node has not failed; it may be in a graceful shutdown.
    pub(crate) fn is_running(&self, now: Instant, peer: &Peer) -> bool {
        let age = now.saturating_duration_since(peer.updated_at);
        age < self.options.failure_timeout
    }

    /// Returns the number of live nodes, this one included.
    #[must_use]
    pub fn live_count(&self, now: Instant) -> usize {
        1 + self
            .others
            .values()
            .filter(|p| self.is_live(now, p))
            .count()
    }

    /// Returns the number of nodes that limits are divided among.
    ///
    /// This is the largest recent number of live nodes, so that a partitioned node does
    /// not take over the shares of the others.
    #[must_use]
    pub fn sharing_nodes(&self, now: Instant) -> usize {
        self.peak.0.max(self.live_count(now))
    }

    /// Returns whether other nodes are among the seeds.
    #[must_use]
    pub fn has_other_seeds(&self) -> bool {
        self.seeds.iter().any(|seed| *seed != self.local.address)
    }

    /// Returns since when the live nodes are the same; `now` before the first heartbeat.
    #[must_use]
    pub fn stable_since(&self, now: Instant) -> Instant {
        self.membership.1.unwrap_or(now)
    }

    /// Returns address and incarnation of this node.
    #[must_use]
    pub fn local(&self) -> HeartbeatEntry {
        self.local
    }

    /// Returns the load of all peers on each server, by the hash of its name.
    #[must_use]
    pub fn loads(&self, now: Instant) -> BTreeMap<u32, Load> {
        let mut sums: BTreeMap<u32, Load> = BTreeMap::new();
        let mut reporting_peers = 0_usize;
        for peer in self.others.values() {
            let Some(at) = peer.loads_at else {
                continue;
            };
            let age = now.saturating_duration_since(at);
            if age > self.options.load_ttl {
                continue;
            }
            reporting_peers += 1;
            let fresh_ratio = decay_factor(age, PENDING_LIFETIME);
            for load in &peer.loads {
                sums.entry(load.server_key)
                    .or_default()
                    .add(load, fresh_ratio);
            }
        }
        let others = self.live_count(now).saturating_sub(1);
        if reporting_peers > 0 && others > reporting_peers {
            let factor = others as f64 / reporting_peers as f64;
            for load in sums.values_mut() {
                load.scale(factor);
            }
        }
        sums
    }

    /// Summarizes what is known of other nodes.
    #[must_use]
    pub fn view(&self, now: Instant) -> PeerView {
        let reported = self.others.values().filter_map(|p| p.loads_at);
        let ages = reported.map(|at| now.saturating_duration_since(at));
        let counted = ages.filter(|age| *age <= self.options.load_ttl);
        let (reporting_peers, sum) =
            counted.fold((0, Duration::ZERO), |(n, sum), age| (n + 1, sum + age));
        PeerView {
            nodes: self.live_count(now),
            reporting_peers,
            mean_age: sum / reporting_peers.max(1) as u32,
        }
    }

    /// Iterates over peers for the state dump: entry, revision, age, leaving.
    pub fn entries(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (HeartbeatEntry, u64, Duration, bool)> + '_ {
        self.others.values().map(move |p| {
            let age = now.saturating_duration_since(p.updated_at);
            (p.entry, p.revision, age, p.is_leaving)
        })
    }

    /// Returns a random number for choices that nodes need not agree on.
    pub fn random(&mut self) -> u64 {
        self.rng.random()
    }
}
