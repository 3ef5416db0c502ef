//! Shares of nodes in the calls to a cold server.
//!
//! The calls that a cold server may get are divided into slots, each with a token bucket.
//! A slot belongs to the first live node in its own rendezvous order. All slots together
//! admit at most half of the bound in any second, so that the two halves of a partitioned
//! fleet, each with its own holders of all slots, stay within the bound together.
//!
//! The number of slots does not depend on the number of nodes, of which nodes have
//! different views while some fail. With shares that depend on it, two of them added up
//! to more than the bound.

use std::time::{Duration, Instant};

use crate::flow::homes::address_key;
use crate::flow::peers::Peers;
use crate::rendezvous;

/// Rate of a slot as a part of the most calls that it admits in a second.
///
/// A bucket of one token admits one call more than its rate in a second, so that a rate
/// below `n` admits `n` calls at most.
const RATE_RATIO: f64 = 0.95;

/// Most slots of a server, as many as a mask has bits.
const SLOTS_MAX: u32 = u64::BITS;

/// Time after its start in which a node learns of the others.
///
/// A node that knows only some of the others would take their slots for its own.
const UPTIME_MIN: Duration = Duration::from_secs(2);

/// Largest fleet whose last node may go on by itself.
const PAIR_NODES: usize = 2;

/// Slots of a cold server that belong to this node.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ColdShare {
    /// One bit for each slot.
    pub slots: u64,
    /// Calls per second in each slot.
    pub slot_per_s: f64,
}

impl ColdShare {
    /// Returns the calls per second that the node may send.
    #[must_use]
    pub fn per_s(&self) -> f64 {
        f64::from(self.slots.count_ones()) * self.slot_per_s
    }
}

/// What decides whether a node may send to a cold server.
#[derive(Clone, Copy, Debug)]
pub struct ColdStanding {
    /// Number of live nodes, this one included.
    pub live_nodes: usize,
    /// Largest number of live nodes seen recently.
    pub sharing_nodes: usize,
    /// Largest number of live nodes ever seen.
    pub nodes_max: usize,
    /// Time since the start of this node.
    pub uptime: Duration,
    /// Whether other nodes are among the seeds.
    pub has_other_seeds: bool,
    /// Whether this node is stopping.
    pub is_leaving: bool,
}

impl ColdStanding {
    /// Returns this node's share of the calls to a server.
    ///
    /// `nominal_per_s` is the rate that the server tolerates, `bound` the most calls that
    /// it may get from all nodes in any second; `is_first` tells whether the node is the
    /// first live one in the order of a slot.
    #[must_use]
    pub fn share(
        &self,
        nominal_per_s: f64,
        bound: f64,
        is_first: impl Fn(u32) -> bool,
    ) -> ColdShare {
        if !self.may_send() {
            return ColdShare::default();
        }
        let (count, slot_per_s) = slots(nominal_per_s, bound);
        let own = (0..count).filter(|slot| is_first(*slot));
        ColdShare {
            slots: own.fold(0, |slots, slot| slots | 1 << slot),
            slot_per_s,
        }
    }

    /// Returns whether the node sees enough of the fleet to send to any cold server.
    fn may_send(&self) -> bool {
        // At most two partitions of a fleet see half of it.
        let sees_half = self.live_nodes * 2 >= self.sharing_nodes;
        // The recent number of nodes does not tell after a long time alone.
        let is_cut_off =
            self.live_nodes == 1 && self.has_other_seeds && self.nodes_max != PAIR_NODES;
        !self.is_leaving && self.uptime >= UPTIME_MIN && sees_half && !is_cut_off
    }
}

/// Returns the number of slots of a cold server, and the calls per second in each.
///
/// Of the numbers with which most of the rate is used, the largest is chosen: the more
/// slots, the less one node sends at once.
fn slots(nominal_per_s: f64, bound: f64) -> (u32, f64) {
    // Rounding must not favor one of two numbers of slots that are as good.
    const ROUNDING: f64 = 1e-9;
    let half = bound.max(0.0) as u32 / 2;
    let rate_per_s = |slots: u32| {
        let calls_max = f64::from(half / slots);
        (nominal_per_s / f64::from(slots)).min(calls_max * RATE_RATIO)
    };
    let mut best = (half.min(1), rate_per_s(1));
    for slots in 2..=half.min(SLOTS_MAX) {
        let per_s = rate_per_s(slots);
        if per_s * f64::from(slots) >= best.1 * f64::from(best.0) - ROUNDING {
            best = (slots, per_s);
        }
    }
    best
}

/// The live nodes as one of them sees them, for its shares in cold servers.
#[derive(Clone, Debug)]
pub struct ColdUsers {
    standing: ColdStanding,
    own_key: u64,
    other_keys: Vec<u64>,
}

impl ColdUsers {
    /// Returns this node's share of the calls to a cold server.
    ///
    /// The server is named by the hash of its name.
    #[must_use]
    pub fn share(&self, server_key: u32, nominal_per_s: f64, bound: f64) -> ColdShare {
        let is_first = |slot: u32| {
            let slot_key = u64::from(server_key) | u64::from(slot + 1) << 32;
            let own_weight = rendezvous::weight_of(slot_key, self.own_key);
            let mut others = self.other_keys.iter();
            !others.any(|key| rendezvous::weight_of(slot_key, *key) > own_weight)
        };
        self.standing.share(nominal_per_s, bound, is_first)
    }
}

impl Peers {
    /// Returns what the shares of this node in cold servers follow from.
    #[must_use]
    pub fn cold_users(&self, now: Instant) -> ColdUsers {
        let live = self.others.values().filter(|p| self.is_live(now, p));
        let other_keys: Vec<u64> = live.map(|p| address_key(p.entry.address)).collect();
        let live_nodes = other_keys.len() + 1;
        let started_at = self.started_at.unwrap_or(now);
        ColdUsers {
            standing: ColdStanding {
                live_nodes,
                sharing_nodes: self.sharing_nodes(now),
                nodes_max: self.nodes_max.max(live_nodes),
                uptime: now.saturating_duration_since(started_at),
                has_other_seeds: self.has_other_seeds(),
                is_leaving: self.is_leaving,
            },
            own_key: address_key(self.local.address),
            other_keys,
        }
    }

    /// Returns this node's share of the calls to a cold server.
    #[must_use]
    pub fn cold_share(
        &self,
        now: Instant,
        server_key: u32,
        nominal_per_s: f64,
        bound: f64,
    ) -> ColdShare {
        self.cold_users(now).share(server_key, nominal_per_s, bound)
    }
}
