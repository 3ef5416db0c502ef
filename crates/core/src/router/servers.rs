//! Servers by name and by target.

use std::collections::HashMap;
use std::time::Instant;

use crate::balance::Candidate;
use crate::catalog::Fleet;
use crate::ids::{ServerName, TargetName};
use crate::outlier::Health;
use crate::router::entry::{CallEntry, fits};
use crate::router::options::Options;
use crate::router::server::ServerEntry;

/// Servers that the router may use.
#[derive(Debug, Default)]
pub(super) struct Servers {
    entries: Vec<ServerEntry>,
    by_name: HashMap<ServerName, usize>,
    by_target: HashMap<TargetName, usize>,
    pools: Vec<Pool>,
}

/// Servers of one target, with cached decisions.
#[derive(Debug, Default)]
struct Pool {
    indices: Vec<usize>,
    /// Whether no server had capacity and none has changed since.
    is_full: bool,
    /// Requests that this node may have in flight, as of the last full check.
    capacity: Option<u32>,
    /// Whether limits may have changed since that check.
    is_capacity_stale: bool,
}

impl Servers {
    /// Adopts a newer server list and keeps the state of servers that remain.
    pub(super) fn adopt(&mut self, now: Instant, fleet: &Fleet, nodes: usize) {
        let first = self.entries.is_empty();
        let mut old: HashMap<ServerName, ServerEntry> = std::mem::take(&mut self.entries)
            .into_iter()
            .map(|e| (e.server.name.clone(), e))
            .collect();
        for server in &fleet.servers {
            let entry = if let Some(mut entry) = old.remove(&server.name) {
                entry.update_listing(server.clone(), nodes);
                entry
            } else {
                let health = if first {
                    Health::default()
                } else {
                    Health::joined(now)
                };
                ServerEntry::new(server.clone(), nodes, health)
            };
            self.entries.push(entry);
        }
        let mut unlisted: Vec<ServerEntry> = old.into_values().collect();
        unlisted.retain(|e| e.load.own_requests() > 0);
        for mut entry in unlisted {
            entry.listed = false;
            self.entries.push(entry);
        }
        // Servers of one target are scanned together, so they are adjacent in memory.
        self.entries.sort_by(|a, b| {
            let key = |e: &ServerEntry| (e.server.targets.first().cloned(), e.server.name.clone());
            key(a).cmp(&key(b))
        });
        self.rebuild_index();
    }

    fn rebuild_index(&mut self) {
        self.by_name.clear();
        self.by_target.clear();
        self.pools.clear();
        for (index, entry) in self.entries.iter_mut().enumerate() {
            entry.pools.clear();
            self.by_name.insert(entry.server.name.clone(), index);
            if !entry.listed {
                continue;
            }
            for target in &entry.server.targets {
                let next = self.pools.len();
                let pool = *self.by_target.entry(target.clone()).or_insert(next);
                if pool == next {
                    self.pools.push(Pool::default());
                }
                if let Some(servers) = self.pools.get_mut(pool) {
                    servers.indices.push(index);
                    entry.pools.push(pool);
                }
            }
        }
    }

    /// Divides the limits among `nodes`.
    pub(super) fn set_nodes(&mut self, nodes: usize) {
        for entry in &mut self.entries {
            entry.limiter.set_nodes(entry.server.slots, nodes);
        }
    }

    pub(super) fn get(&self, name: &ServerName) -> Option<&ServerEntry> {
        self.entries.get(*self.by_name.get(name)?)
    }

    /// Records a sign of life, which changes no limit.
    pub(super) fn record_heard(&mut self, name: &ServerName) {
        let index = self.by_name.get(name).copied();
        if let Some(entry) = index.and_then(|index| self.entries.get_mut(index)) {
            entry.record_heard();
        }
    }

    /// Returns a server for modification and clears the full marks of its targets.
    pub(super) fn get_mut(&mut self, name: &ServerName) -> Option<&mut ServerEntry> {
        let entry = self.entries.get_mut(*self.by_name.get(name)?)?;
        for pool in &entry.pools {
            if let Some(pool) = self.pools.get_mut(*pool) {
                pool.is_full = false;
            }
        }
        Some(entry)
    }

    /// Clears the cached decisions of all targets after time has passed.
    pub(super) fn refresh(&mut self) {
        for pool in &mut self.pools {
            pool.is_full = false;
            pool.is_capacity_stale = true;
        }
    }

    /// Whether no server of the target had capacity at the last check.
    pub(super) fn is_full(&self, target: &TargetName) -> bool {
        self.pool(target).is_some_and(|p| p.is_full)
    }

    pub(super) fn has_capacity(&self, now: Instant, options: &Options, name: &ServerName) -> bool {
        self.get(name).is_some_and(|e| e.has_capacity(now, options))
    }

    /// Records that no server of the target has capacity.
    pub(super) fn mark_full(&mut self, now: Instant, options: &Options, target: &TargetName) {
        let current = self.pool(target).filter(|p| !p.is_capacity_stale);
        let cached = current.and_then(|p| p.capacity);
        let total_limit = || {
            self.serving(target)
                .map(|(_, e)| e.concurrency_limit(now, options))
                .sum()
        };
        let capacity = cached.unwrap_or_else(total_limit);
        let pool = self.by_target.get(target).copied();
        if let Some(pool) = pool.and_then(|p| self.pools.get_mut(p)) {
            pool.is_full = true;
            pool.capacity = Some(capacity);
            pool.is_capacity_stale = false;
        }
    }

    fn pool(&self, target: &TargetName) -> Option<&Pool> {
        self.pools.get(*self.by_target.get(target)?)
    }

    pub(super) fn get_at(&self, index: usize) -> Option<&ServerEntry> {
        self.entries.get(index)
    }

    /// Servers of a target, with their indices.
    pub(super) fn serving(
        &self,
        target: &TargetName,
    ) -> impl Iterator<Item = (usize, &ServerEntry)> {
        let indices = self.pool(target).map_or(&[][..], |p| p.indices.as_slice());
        let entry = |index: &usize| Some((*index, self.entries.get(*index)?));
        indices.iter().filter_map(entry)
    }

    /// Whether any server of the target, and of the version if given, accepts new requests.
    ///
    /// Servers that do so only after a backoff or ejection count as well.
    pub(super) fn any_in_service(
        &self,
        now: Instant,
        options: &Options,
        target: &TargetName,
        version: Option<&str>,
    ) -> bool {
        let mut fitting = self
            .serving(target)
            .filter(|(_, e)| fits(version, &e.server.version));
        fitting.any(|(_, e)| e.is_in_service(now, options))
    }

    /// Requests that this node may have in flight at the target's servers.
    pub(super) fn capacity(&self, target: &TargetName) -> u32 {
        self.pool(target).and_then(|p| p.capacity).unwrap_or(0)
    }

    /// Servers for a call that have capacity; those in `avoid` only if no other one has.
    pub(super) fn candidates(
        &self,
        now: Instant,
        options: &Options,
        call: &CallEntry,
        avoid: &[ServerName],
    ) -> Vec<Candidate> {
        let open = || {
            self.fitting(call)
                .filter(|(_, e)| e.has_capacity(now, options))
        };
        let candidate = |(index, e)| candidate(now, options, index, e);
        let untried = open().filter(|(_, e)| !avoid.contains(&e.server.name));
        let candidates: Vec<_> = untried.map(candidate).collect();
        if candidates.is_empty() && !avoid.is_empty() {
            return open().map(candidate).collect();
        }
        candidates
    }

    /// Servers for the rest of an answer that has begun, whatever their load.
    ///
    /// The servers of its version may be few, and its caller has a part of it.
    pub(super) fn candidates_for_rest(
        &self,
        now: Instant,
        options: &Options,
        call: &CallEntry,
    ) -> Vec<Candidate> {
        let in_service = self
            .fitting(call)
            .filter(|(_, e)| e.is_in_service(now, options));
        in_service
            .map(|(index, e)| candidate(now, options, index, e))
            .collect()
    }

    /// Servers of a call's target that fit the version of its answer so far.
    fn fitting(&self, call: &CallEntry) -> impl Iterator<Item = (usize, &ServerEntry)> {
        let servers = self.serving(&call.call.target);
        servers.filter(|(_, e)| call.fits(&e.server.version))
    }

    /// Ejects a server if it is an outlier and the ejection limit permits it.
    pub(super) fn eject_if_outlier(&mut self, now: Instant, options: &Options, name: &ServerName) {
        let Some(entry) = self.get(name) else {
            return;
        };
        if !entry.health.is_outlier(&options.outlier) || !entry.health.is_available(now) {
            return;
        }
        let may_eject = entry.server.targets.iter().all(|target| {
            let total = self.serving(target).count();
            let ejected = self
                .serving(target)
                .filter(|(_, e)| !e.health.is_available(now));
            options.outlier.may_eject(ejected.count(), total)
        });
        if may_eject && let Some(entry) = self.get_mut(name) {
            entry.health.eject(now, &options.outlier);
        }
    }
}

fn candidate(now: Instant, options: &Options, index: usize, entry: &ServerEntry) -> Candidate {
    Candidate {
        index,
        name_key: entry.name_key,
        load_ratio: entry.load_ratio(now),
        cost: entry.cost(options),
    }
}
