//! Servers that are cold, which tolerate a low rate of calls only.
//!
//! A server says in its entry and in its answers for how long it is cold. The calls that
//! nodes send it meanwhile are bounded by their shares, see [`ColdShare`].
//!
//! [`ColdShare`]: crate::flow::ColdShare

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use crate::flow::call::Call;
use crate::flow::cold_share::ColdShare;
use crate::flow::dispatch::Dispatcher;
use crate::flow::options::ColdLimit;
use crate::flow::route::ColdSpec;
use crate::flow::server::ServerEntry;
use crate::flow::table::RouteTable;
use crate::flow::token_bucket::TokenBucket;
use crate::ids::{ServerName, ServiceName, ZoneName};

/// Longest time for which a server counts as cold after one statement.
const COLD_MAX: Duration = Duration::from_hours(1);

/// Time that an entry may take from its server to a node.
///
/// An entry that is read sooner after an answer may have been written before it.
const ENTRY_DELAY: Duration = Duration::from_secs(1);

/// Time after which a share that was not renewed is void.
///
/// Shares are renewed every 80 ms. A node that stood still does not know yet which
/// nodes took over from it.
const SHARE_TTL: Duration = Duration::from_millis(500);

/// Time after which a call is repeated whose servers are used by other nodes.
const OTHER_USERS_WAIT: Duration = Duration::from_millis(150);

/// How long a server is cold, and this node's share of its calls.
#[derive(Debug, Default)]
pub(crate) struct ColdState {
    until: Option<Instant>,
    /// When an answer or the end of an evacuation last set the end.
    stated_at: Option<Instant>,
    /// Buckets of the slots that this node holds.
    buckets: Vec<(u32, TokenBucket)>,
    /// When the share was last set.
    renewed_at: Option<Instant>,
    /// Whether the server was cold when changes were last taken.
    is_known_cold: bool,
}

impl ColdState {
    pub(crate) fn is_cold(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    fn remaining(&self, now: Instant) -> Duration {
        let until = self.until.unwrap_or(now);
        until.saturating_duration_since(now)
    }

    /// Records that the server is cold for that time from now on.
    fn set_remaining(&mut self, now: Instant, time: Duration) {
        if !self.is_cold(now) {
            self.buckets.clear();
        }
        self.until = Some(now + time.min(COLD_MAX));
    }

    /// Records the remaining time in an entry that was read.
    pub(crate) fn record_entry(&mut self, now: Instant, cold_ms: u32) {
        let time = Duration::from_millis(u64::from(cold_ms));
        let is_recent = |at: Instant| now.saturating_duration_since(at) < ENTRY_DELAY;
        let may_be_older = self.stated_at.is_some_and(is_recent);
        // A much longer time than stated shows that the server has become cold since.
        if may_be_older && time <= self.remaining(now) + ENTRY_DELAY {
            return;
        }
        self.set_remaining(now, time);
    }

    /// Records a statement that is newer than all entries read so far.
    fn record_statement(&mut self, now: Instant, time: Duration) {
        self.stated_at = Some(now);
        self.set_remaining(now, time);
    }

    /// Sets this node's share; the bucket of a slot starts empty whenever the node gets it.
    fn set_share(&mut self, now: Instant, share: ColdShare) {
        if !self.is_cold(now) || !self.is_share_current(now) {
            self.buckets.clear();
        }
        if !self.is_cold(now) {
            return;
        }
        self.renewed_at = Some(now);
        let holds = |slot: u32| share.slots >> slot & 1 == 1;
        self.buckets.retain(|(slot, _)| holds(*slot));
        for (_, bucket) in &mut self.buckets {
            bucket.set_rate(now, share.slot_per_s);
        }
        for slot in (0..u64::BITS).filter(|slot| holds(*slot)) {
            if !self.buckets.iter().any(|(known, _)| *known == slot) {
                let empty = TokenBucket::new(now, share.slot_per_s);
                self.buckets.push((slot, empty));
            }
        }
    }

    fn is_share_current(&self, now: Instant) -> bool {
        let is_current = |at: Instant| now.saturating_duration_since(at) < SHARE_TTL;
        self.renewed_at.is_some_and(is_current)
    }

    /// Iterates over the buckets of the slots that the node holds now.
    fn current_buckets(&self, now: Instant) -> impl Iterator<Item = &TokenBucket> {
        let is_current = self.is_share_current(now);
        let buckets = self.buckets.iter().filter(move |_| is_current);
        buckets.map(|(_, bucket)| bucket)
    }

    /// Returns whether a call may be sent; a warm server takes any.
    pub(crate) fn admits(&self, now: Instant) -> bool {
        !self.is_cold(now) || self.current_buckets(now).any(|b| b.has_token(now))
    }

    /// Returns the time until a call may be sent, or may be tried again.
    pub(crate) fn wait(&self, now: Instant) -> Duration {
        let turns = self.current_buckets(now).filter_map(|b| b.wait(now));
        let turn = turns.min().unwrap_or(OTHER_USERS_WAIT);
        turn.min(self.remaining(now))
    }

    fn take(&mut self, now: Instant) {
        let mut buckets = self.buckets.iter_mut().map(|(_, bucket)| bucket);
        if let Some(bucket) = buckets.find(|b| b.has_token(now)) {
            bucket.take(now);
        }
    }
}

/// What the dispatcher knows of cold servers in general.
#[derive(Debug)]
pub(crate) struct ColdServers {
    limit: ColdLimit,
    /// Services whose cold servers tolerate a low rate only.
    specs: HashMap<ServiceName, ColdSpec>,
    counts: ColdCounts,
}

impl ColdServers {
    pub(crate) fn new(limit: ColdLimit) -> Self {
        Self {
            limit,
            specs: HashMap::new(),
            counts: ColdCounts::default(),
        }
    }

    pub(crate) fn configure(&mut self, table: &RouteTable) {
        let limited = table.services().iter();
        let limited = limited.filter_map(|s| Some((s.name.clone(), s.cold?)));
        self.specs = limited
            .filter(|(_, spec)| spec.calls_per_1000_s > 0)
            .collect();
    }

    /// Returns whether calls to the server have to wait for a token of this node.
    pub(crate) fn holds_back(&self, now: Instant, entry: &ServerEntry) -> bool {
        !entry.cold.admits(now) && self.specs.contains_key(&entry.instance.service)
    }

    /// Returns the time until the server may be sent a call, or a call may be repeated.
    pub(crate) fn wait(&self, now: Instant, entry: &ServerEntry) -> Duration {
        if self.holds_back(now, entry) {
            entry.cold.wait(now)
        } else {
            Duration::ZERO
        }
    }

    /// Records a call that is sent.
    pub(crate) fn record_send(&mut self, now: Instant, entry: &mut ServerEntry) {
        if entry.cold.is_cold(now) && self.specs.contains_key(&entry.instance.service) {
            entry.cold.take(now);
            self.counts.sends += 1;
        }
    }

    /// Returns the rate that a service names for its cold servers, and the bound on it.
    fn rate_and_bound(&self, service: &ServiceName) -> Option<(f64, f64)> {
        let spec = self.specs.get(service)?;
        let nominal_per_s = f64::from(spec.calls_per_1000_s) / 1_000.0;
        let bound = nominal_per_s * self.limit.excess_ratio + self.limit.extra_calls;
        Some((nominal_per_s, bound))
    }
}

/// Numbers of choices in which cold servers mattered, since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ColdCounts {
    /// Calls that were sent to cold servers.
    pub sends: u64,
    /// Choices in which a cold server was left out.
    pub held_back: u64,
}

/// A server that is cold and whose service limits the calls to it.
#[derive(Clone, Debug)]
pub struct ColdServer {
    /// Name of the server.
    pub server: ServerName,
    /// Hash of the name.
    pub server_key: u32,
    /// Time for which it is cold.
    pub remaining: Duration,
    /// Calls per second that it tolerates from all nodes together.
    pub nominal_per_s: f64,
    /// Most calls that it may get in any second.
    pub bound: f64,
    /// Calls per second that this node may send.
    pub share_per_s: f64,
}

/// A server that turned cold or warm at this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ColdChange {
    /// Name of the server.
    pub server: ServerName,
    /// Time for which it is cold, `None` if it is warm now.
    pub remaining: Option<Duration>,
}

impl Dispatcher {
    /// Records that an answer says for how long its server is cold; returns whether it
    /// turned cold.
    pub fn record_cold(&mut self, now: Instant, server: &ServerName, time: Duration) -> bool {
        let Some(entry) = self.servers.get_mut(server) else {
            return false;
        };
        let was_cold = entry.cold.is_cold(now);
        entry.cold.record_statement(now, time);
        !was_cold && entry.cold.is_cold(now)
    }

    /// Marks the servers of a zone as cold at the end of its evacuation.
    ///
    /// Entries and answers that come later tell how long they are in fact.
    pub fn record_cold_zone(&mut self, now: Instant, zone: &ZoneName) {
        let of_zone = |e: &&mut ServerEntry| e.instance.zone == *zone;
        for entry in self.servers.values_mut().filter(of_zone) {
            if let Some(spec) = self.cold.specs.get(&entry.instance.service) {
                let time = Duration::from_millis(u64::from(spec.duration_ms));
                let time = time.max(entry.cold.remaining(now));
                entry.cold.record_statement(now, time);
            }
        }
    }

    /// Returns the cold servers whose services limit the calls to them.
    #[must_use]
    pub fn cold_servers(&self, now: Instant) -> Vec<ColdServer> {
        let cold = self.servers.values().filter(|e| e.cold.is_cold(now));
        let to_cold_server = |entry: &ServerEntry| {
            let (nominal_per_s, bound) = self.cold.rate_and_bound(&entry.instance.service)?;
            Some(ColdServer {
                server: entry.instance.id.clone(),
                server_key: entry.key,
                remaining: entry.cold.remaining(now),
                nominal_per_s,
                bound,
                share_per_s: entry
                    .cold
                    .current_buckets(now)
                    .map(TokenBucket::per_s)
                    .sum(),
            })
        };
        cold.filter_map(to_cold_server).collect()
    }

    /// Sets this node's shares in cold servers.
    ///
    /// Servers are named by the hash of their names; the node sends nothing to those that
    /// are not in the list. Shares have to be renewed several times a second.
    pub fn set_cold_shares(&mut self, now: Instant, shares: &BTreeMap<u32, ColdShare>) {
        for entry in self.servers.values_mut() {
            let share = shares.get(&entry.key).copied().unwrap_or_default();
            entry.cold.set_share(now, share);
        }
    }

    /// Changes the bound on calls to cold servers.
    pub fn set_cold_limit(&mut self, limit: ColdLimit) {
        self.cold.limit = limit;
    }

    /// Returns the servers that turned cold or warm since this was last called.
    pub fn take_cold_changes(&mut self, now: Instant) -> Vec<ColdChange> {
        let specs = &self.cold.specs;
        let limited = |e: &&mut ServerEntry| specs.contains_key(&e.instance.service);
        let limited = self.servers.values_mut().filter(limited);
        let changed = limited.filter_map(|entry| {
            let is_cold = entry.cold.is_cold(now);
            let was_cold = std::mem::replace(&mut entry.cold.is_known_cold, is_cold);
            (is_cold != was_cold).then(|| ColdChange {
                server: entry.instance.id.clone(),
                remaining: is_cold.then(|| entry.cold.remaining(now)),
            })
        });
        changed.collect()
    }

    /// Returns how often cold servers mattered so far.
    #[must_use]
    pub fn cold_counts(&self) -> ColdCounts {
        self.cold.counts
    }

    /// Counts a choice from which a cold server is left out.
    pub(crate) fn count_held_back(&mut self, now: Instant, call: &Call) {
        if !self.cold.specs.contains_key(&call.service) {
            return;
        }
        let mut closed = self.servers.values().filter(|e| !e.cold.admits(now));
        if closed.any(|e| e.fits(call) && e.may_accept_calls(now)) {
            self.cold.counts.held_back += 1;
        }
    }
}
