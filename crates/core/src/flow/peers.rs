//! Which nodes take part, found by seeds, and what they have in flight.
//!
//! Each node counts up and sends its count to a bounded number of random
//! peers, with the counts of some others. A node whose count stands still is
//! taken for gone. Traffic a node does not grow with the fleet; with more
//! nodes than are heard directly, the loads heard are scaled up.
//!
//! It is a belief, fit for balancing and for dividing limits.
//!
//! Source: van Renesse, Minsky and Hayden, "A gossip-style failure detection
//! service", 1998.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};

use crate::flow::backlog::Load;
use crate::flow::message::{Heartbeat, HeartbeatEntry, ServerLoad};
use crate::flow::recent::part_left;
use crate::rendezvous;

/// Time after which most prompts that were pending have been read.
const PENDING_LIFE: Duration = Duration::from_millis(300);

/// Key of the order in which nodes become watchers, alike on all nodes.
const WATCHER_KEY: u64 = 0x7761_7463_6800;

/// Fixed choices of [`Peers`].
#[derive(Clone, Copy, Debug)]
pub struct PeerOptions {
    /// Peers that get each beat.
    pub fan_out: usize,
    /// Other nodes named in each beat.
    pub entries_max: usize,
    /// Nodes that follow the store; the others learn from them.
    pub watchers: usize,
    /// Watchers that must be heard for a node to rely on them.
    pub watchers_min: usize,
    /// Time without a new count after which a node is gone.
    pub failure_timeout: Duration,
    /// Age beyond which a load is no longer counted.
    pub load_ttl: Duration,
    /// Time for which the greatest number of nodes is remembered when limits are divided.
    pub peak_ttl: Duration,
}

impl Default for PeerOptions {
    fn default() -> Self {
        Self {
            fan_out: 8,
            entries_max: 12,
            watchers: 8,
            watchers_min: 2,
            failure_timeout: Duration::from_millis(2_500),
            load_ttl: Duration::from_millis(1_500),
            peak_ttl: Duration::from_secs(10),
        }
    }
}

/// What a node knows of others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerView {
    /// Nodes that take part, this one included.
    pub nodes: usize,
    /// Peers whose load is counted.
    pub reporting_peers: usize,
    /// Mean age of their loads.
    pub mean_age: Duration,
}

#[derive(Clone, Debug)]
struct Peer {
    heard: HeartbeatEntry,
    heard_at: Instant,
    revision: u64,
    is_leaving: bool,
    is_watching: bool,
    loads: Vec<ServerLoad>,
    loads_at: Option<Instant>,
}

/// The nodes that this one knows of; see the module's page.
#[derive(Debug)]
pub struct Peers {
    me: HeartbeatEntry,
    is_leaving: bool,
    options: PeerOptions,
    seeds: Vec<SocketAddrV4>,
    others: BTreeMap<SocketAddrV4, Peer>,
    peak: (usize, Option<Instant>),
    rng: SmallRng,
}

impl Peers {
    /// Knows only the seeds, which may be stale.
    #[must_use]
    pub fn new(
        address: SocketAddrV4,
        incarnation: u64,
        seeds: Vec<SocketAddrV4>,
        options: PeerOptions,
    ) -> Self {
        let me = HeartbeatEntry {
            address,
            incarnation,
            count: 0,
        };
        let seed = incarnation ^ u64::from(address.ip().to_bits()).rotate_left(32);
        Self {
            me,
            is_leaving: false,
            options,
            seeds,
            others: BTreeMap::new(),
            peak: (1, None),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Takes over another list of seeds.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddrV4>) {
        self.seeds = seeds;
    }

    /// Tells peers from now on that this node is stopping.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Distrusts all that was heard before a pause of the process.
    pub fn discard_loads(&mut self) {
        for peer in self.others.values_mut() {
            peer.loads_at = None;
        }
    }

    /// The next beat and those who get it.
    pub fn next_heartbeat(
        &mut self,
        now: Instant,
        revision: u64,
        is_watching: bool,
        loads: Vec<ServerLoad>,
    ) -> (Heartbeat, Vec<SocketAddrV4>) {
        self.forget(now);
        self.me.count = self.me.count.wrapping_add(1);
        let entries = self.others.values().map(|p| p.heard);
        let entries = entries.choose_multiple(&mut self.rng, self.options.entries_max);
        let beat = Heartbeat {
            sender: self.me,
            is_leaving: self.is_leaving,
            is_watching,
            revision,
            loads,
            entries,
        };
        (beat, self.targets())
    }

    fn targets(&mut self) -> Vec<SocketAddrV4> {
        let known = self.others.keys().copied();
        let mut targets = known.choose_multiple(&mut self.rng, self.options.fan_out);
        // One seed each time, so that halves of a fleet that lost each other meet again.
        let strangers = self.seeds.iter().copied();
        let strangers = strangers.filter(|s| *s != self.me.address && !targets.contains(s));
        targets.extend(strangers.choose(&mut self.rng));
        targets
    }

    /// Takes a beat of another node.
    pub fn receive(&mut self, now: Instant, beat: Heartbeat) {
        for heard in &beat.entries {
            self.hear(now, *heard);
        }
        self.hear(now, beat.sender);
        let Some(peer) = self.others.get_mut(&beat.sender.address) else {
            return;
        };
        if peer.heard != beat.sender {
            return;
        }
        peer.revision = peer.revision.max(beat.revision);
        peer.is_leaving = beat.is_leaving;
        peer.is_watching = beat.is_watching;
        peer.loads = beat.loads;
        peer.loads_at = Some(now);
    }

    fn hear(&mut self, now: Instant, heard: HeartbeatEntry) {
        if heard.address == self.me.address {
            return;
        }
        let peer = self.others.entry(heard.address).or_insert_with(|| Peer {
            heard,
            heard_at: now,
            revision: 0,
            is_leaving: false,
            is_watching: false,
            loads: Vec::new(),
            loads_at: None,
        });
        let is_newer =
            (heard.incarnation, heard.count) > (peer.heard.incarnation, peer.heard.count);
        if !is_newer {
            return;
        }
        if heard.incarnation > peer.heard.incarnation {
            peer.is_leaving = false;
            peer.is_watching = false;
            peer.loads.clear();
            peer.revision = 0;
        }
        peer.heard = heard;
        peer.heard_at = now;
    }

    fn forget(&mut self, now: Instant) {
        // Counts that others still pass on must not bring a node back: the record is
        // kept for a while after the node is taken for gone.
        let keep = self.options.failure_timeout * 8;
        self.others
            .retain(|_, p| now.saturating_duration_since(p.heard_at) < keep);
        let live = self.live_count(now);
        let is_old = |at: Instant| now.saturating_duration_since(at) > self.options.peak_ttl;
        if live >= self.peak.0 || self.peak.1.is_none_or(is_old) {
            self.peak = (live, Some(now));
        }
    }

    fn is_live(&self, now: Instant, peer: &Peer) -> bool {
        let age = now.saturating_duration_since(peer.heard_at);
        age < self.options.failure_timeout && !peer.is_leaving
    }

    /// Nodes that take part, this one included.
    #[must_use]
    pub fn live_count(&self, now: Instant) -> usize {
        1 + self
            .others
            .values()
            .filter(|p| self.is_live(now, p))
            .count()
    }

    /// Nodes that limits are divided among: the most that took part of late.
    ///
    /// A node that is cut off must not take over the parts of the others.
    #[must_use]
    pub fn sharing_nodes(&self, now: Instant) -> usize {
        self.peak.0.max(self.live_count(now))
    }

    /// Whether this node should follow the store itself.
    ///
    /// Every node computes the same few watchers; one that hears too few of them
    /// follows the store itself.
    #[must_use]
    pub fn should_watch(&self, now: Instant) -> bool {
        let weight = |address: &SocketAddrV4| {
            let name_key = rendezvous::key(address.to_string().as_bytes());
            rendezvous::weight_of(WATCHER_KEY, name_key)
        };
        let mine = weight(&self.me.address);
        let live = || self.others.values().filter(|p| self.is_live(now, p));
        let before = live().filter(|p| weight(&p.heard.address) > mine).count();
        let heard = live().filter(|p| p.is_watching).count();
        before < self.options.watchers || heard < self.options.watchers_min
    }

    /// A live peer that knows a newer revision than `revision`.
    pub fn peer_with_newer_revision(
        &mut self,
        now: Instant,
        revision: u64,
    ) -> Option<(SocketAddrV4, u64)> {
        let newest = self
            .others
            .values()
            .filter(|p| now.saturating_duration_since(p.heard_at) < self.options.failure_timeout)
            .filter(|p| p.revision > revision)
            .map(|p| (p.heard.address, p.revision));
        newest.choose(&mut self.rng)
    }

    /// Load of all peers on each server, by the hash of its name.
    #[must_use]
    pub fn loads(&self, now: Instant) -> BTreeMap<u32, Load> {
        let mut sums: BTreeMap<u32, Load> = BTreeMap::new();
        let mut fresh = 0_usize;
        for peer in self.others.values() {
            let Some(at) = peer.loads_at else {
                continue;
            };
            let age = now.saturating_duration_since(at);
            if age > self.options.load_ttl {
                continue;
            }
            fresh += 1;
            let fresh_ratio = part_left(age, PENDING_LIFE);
            for load in &peer.loads {
                sums.entry(load.server_key)
                    .or_default()
                    .add(load, fresh_ratio);
            }
        }
        let others = self.live_count(now).saturating_sub(1);
        if fresh > 0 && others > fresh {
            let factor = others as f64 / fresh as f64;
            for load in sums.values_mut() {
                load.scale(factor);
            }
        }
        sums
    }

    /// What is known of other nodes.
    #[must_use]
    pub fn view(&self, now: Instant) -> PeerView {
        let told = self.others.values().filter_map(|p| p.loads_at);
        let ages = told.map(|at| now.saturating_duration_since(at));
        let counted = ages.filter(|age| *age <= self.options.load_ttl);
        let (reporting_peers, sum) =
            counted.fold((0, Duration::ZERO), |(n, sum), age| (n + 1, sum + age));
        PeerView {
            nodes: self.live_count(now),
            reporting_peers,
            mean_age: sum / reporting_peers.max(1) as u32,
        }
    }

    /// The peers, for the state dump: address, beats, revision, age, leaving.
    pub fn entries(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (HeartbeatEntry, u64, Duration, bool)> + '_ {
        self.others.values().map(move |p| {
            let age = now.saturating_duration_since(p.heard_at);
            (p.heard, p.revision, age, p.is_leaving)
        })
    }

    /// A random number, for choices that need not be agreed on.
    pub fn random(&mut self) -> u64 {
        self.rng.random()
    }
}
