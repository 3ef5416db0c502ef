//! Nodes that hold something for all others, found by rendezvous hashing over live nodes.
//!
//! Nodes that know of the same live nodes agree without talking; others may differ for a
//! moment.

use std::cmp::Reverse;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use crate::flow::peers::{Peer, Peers};
use crate::flow::server_limits::limit_users;
use crate::flow::stream_directory::StreamKey;
use crate::rendezvous;

/// Nodes that have run longest and are asked for a stream.
const ELDEST: usize = 4;

/// Age of the last heartbeat up to which these nodes are asked.
///
/// Nodes that were killed count as running for a while.
const HEARD_AGE_MAX: Duration = Duration::from_secs(2);

/// Time between the starts of two nodes in which neither counts as older, in milliseconds.
///
/// All nodes of a fleet start within 0.3 s.
const START_SPREAD_MS: u64 = 500;

/// Returns whether a node that started at one time has run longer than one of another time.
#[must_use]
pub fn has_run_longer(started_ms: u64, other_started_ms: u64) -> bool {
    started_ms.saturating_add(START_SPREAD_MS) < other_started_ms
}

impl Peers {
    /// Returns whether the fleet is so large that servers have homes.
    #[must_use]
    pub fn has_homes(&self) -> bool {
        self.others.len() > self.options.mesh_peers_max
    }

    /// Returns the node that keeps the load of a server, given the hash of its name.
    ///
    /// All nodes that know of the same live nodes compute the same home.
    pub fn home(&mut self, now: Instant, server_key: u32) -> SocketAddrV4 {
        if let Some(home) = self.homes.get(&server_key) {
            return *home;
        }
        let weight = |address: &SocketAddrV4| home_weight(server_key, *address);
        let live = self.others.values().filter(|p| self.is_live(now, p));
        let live = live.map(|p| p.entry.address);
        let nodes = live.chain((!self.is_leaving).then_some(self.local.address));
        let home = nodes.max_by_key(weight).unwrap_or(self.local.address);
        self.homes.insert(server_key, home);
        home
    }

    /// Returns this node's part of a server's limit, in requests per second.
    ///
    /// The first few nodes in the order of homes share the limit; the part of the others
    /// is 0.
    #[must_use]
    pub fn limit_share(&self, now: Instant, server_key: u32, limit_per_s: f64) -> f64 {
        let users = limit_users(limit_per_s, self.sharing_nodes(now));
        if self.is_leaving || self.home_rank(now, server_key) >= users {
            return 0.0;
        }
        limit_per_s / users as f64
    }

    /// Returns the slots of a server that this node may use, of those that all share.
    ///
    /// The first few nodes in the order of homes have one more than the others.
    #[must_use]
    pub fn slot_share(&self, now: Instant, server_key: u32, slots: u32) -> u32 {
        let nodes = u32::try_from(self.sharing_nodes(now)).unwrap_or(u32::MAX);
        let has_one_more = self.home_rank(now, server_key) < (slots % nodes) as usize;
        slots / nodes + u32::from(has_one_more)
    }

    /// Counts the live nodes before this one in the order of a server's homes.
    fn home_rank(&self, now: Instant, server_key: u32) -> usize {
        let weight = |address: &SocketAddrV4| home_weight(server_key, *address);
        let own_weight = weight(&self.local.address);
        let live = self.others.values().filter(|p| self.is_live(now, p));
        live.filter(|p| weight(&p.entry.address) > own_weight)
            .count()
    }

    /// Returns the first `count` other live nodes in the order of a stream's holders.
    #[must_use]
    pub fn stream_holders(
        &self,
        now: Instant,
        stream: StreamKey,
        count: usize,
    ) -> Vec<SocketAddrV4> {
        let holders = self.in_stream_order(stream, count, |p| self.is_live(now, p));
        holders.into_iter().map(|p| p.entry.address).collect()
    }

    /// Returns the first `count` other nodes to ask for a stream, and some that have run longest.
    ///
    /// A node that stops knows the streams that it still serves, so it is asked as well. After
    /// a great loss, only nodes that were not restarted know anything.
    #[must_use]
    pub fn stream_sources(
        &self,
        now: Instant,
        stream: StreamKey,
        count: usize,
    ) -> Vec<SocketAddrV4> {
        let mut sources = self.in_stream_order(stream, count, |p| self.is_running(now, p));
        let is_heard = |p: &Peer| {
            let age = p
                .values
                .heard_at
                .map(|at| now.saturating_duration_since(at));
            self.is_running(now, p) && age.is_some_and(|age| age < HEARD_AGE_MAX)
        };
        let own_start = self.local.incarnation;
        let is_older = |p: &Peer| is_heard(p) && has_run_longer(p.entry.incarnation, own_start);
        let mut eldest = self.in_stream_order(stream, ELDEST, is_older);
        if eldest.is_empty() {
            let is_as_old = |p: &Peer| !has_run_longer(own_start, p.entry.incarnation);
            eldest = self.in_stream_order(stream, ELDEST, |p| is_heard(p) && is_as_old(p));
        }
        eldest.retain(|p| !sources.iter().any(|s| s.entry.address == p.entry.address));
        sources.extend(eldest);
        sources.into_iter().map(|p| p.entry.address).collect()
    }

    /// Returns a node that was not tried to ask for all records of streams.
    ///
    /// Of those that were heard of lately it is the one that has run longest, preferably one
    /// that does not stop. Also returns when it started, in
    /// milliseconds of its clock.
    #[must_use]
    pub fn record_source(
        &self,
        now: Instant,
        tried: &[SocketAddrV4],
    ) -> Option<(SocketAddrV4, u64)> {
        // Builds that are too old to relay connections keep no such records either.
        let may_answer =
            |p: &&Peer| p.is_fresh(now) && p.relay.can_relay() && !tried.contains(&p.entry.address);
        let sources = self.others.values().filter(may_answer);
        let oldest = sources.min_by_key(|p| (p.is_leaving, p.entry.incarnation))?;
        Some((oldest.entry.address, oldest.entry.incarnation))
    }

    /// Returns a hash of the live nodes and of their starts.
    pub(crate) fn live_runs(&self, now: Instant) -> u64 {
        let live = self.others.values().filter(|p| self.is_live(now, p));
        let runs = live.map(|p| rendezvous::weight_of(p.entry.incarnation, p.address_key));
        runs.fold(0, u64::wrapping_add)
    }

    /// Returns the first `count` of some other nodes in the order of a stream's holders.
    pub(crate) fn in_stream_order(
        &self,
        stream: StreamKey,
        count: usize,
        is_eligible: impl Fn(&Peer) -> bool,
    ) -> Vec<&Peer> {
        let weight = |p: &Peer| rendezvous::weight_of(stream.order_key(), p.address_key);
        let eligible = self.others.values().filter(|p| is_eligible(p));
        let mut weighted: Vec<(u64, &Peer)> = eligible.map(|p| (weight(p), p)).collect();
        if weighted.len() > count {
            weighted.select_nth_unstable_by_key(count, |(weight, _)| Reverse(*weight));
            weighted.truncate(count);
        }
        weighted.sort_unstable_by_key(|(weight, _)| Reverse(*weight));
        weighted.into_iter().map(|(_, p)| p).collect()
    }
}

/// Returns the weight of a node in the order of a server's homes.
fn home_weight(server_key: u32, address: SocketAddrV4) -> u64 {
    order_weight(u64::from(server_key), address)
}

/// Returns the weight of a node in the rendezvous order of a key.
fn order_weight(key: u64, address: SocketAddrV4) -> u64 {
    rendezvous::weight_of(key, address_key(address))
}

/// Returns the hash of a node's address, by which orders of nodes are computed.
pub(crate) fn address_key(address: SocketAddrV4) -> u64 {
    rendezvous::key(address.to_string().as_bytes())
}
