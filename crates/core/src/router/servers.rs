//! All servers, by name and by target.

use std::collections::HashMap;
use std::time::Instant;

use crate::balance::Candidate;
use crate::catalog::Fleet;
use crate::ids::{ServerName, TargetName};
use crate::outlier::Health;
use crate::router::options::Options;
use crate::router::server::ServerEntry;

/// The servers that the router may use.
#[derive(Debug, Default)]
pub(super) struct Servers {
    entries: Vec<ServerEntry>,
    by_name: HashMap<ServerName, usize>,
    by_target: HashMap<TargetName, Vec<usize>>,
}

impl Servers {
    /// Takes over a newer list; state of servers that stay is kept.
    pub(super) fn adopt(&mut self, now: Instant, fleet: &Fleet, nodes: usize) {
        let first = self.entries.is_empty();
        let mut old: HashMap<ServerName, ServerEntry> = std::mem::take(&mut self.entries)
            .into_iter()
            .map(|e| (e.server.name.clone(), e))
            .collect();
        for server in &fleet.servers {
            let entry = if let Some(mut entry) = old.remove(&server.name) {
                entry.relist(server.clone(), nodes);
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
        unlisted.retain(|e| e.load.own() > 0);
        unlisted.sort_by(|a, b| a.server.name.cmp(&b.server.name));
        for mut entry in unlisted {
            entry.listed = false;
            self.entries.push(entry);
        }
        self.index();
    }

    fn index(&mut self) {
        self.by_name.clear();
        self.by_target.clear();
        for (index, entry) in self.entries.iter().enumerate() {
            self.by_name.insert(entry.server.name.clone(), index);
            if !entry.listed {
                continue;
            }
            for target in &entry.server.targets {
                self.by_target
                    .entry(target.clone())
                    .or_default()
                    .push(index);
            }
        }
    }

    /// Divides the limits anew among `nodes`.
    pub(super) fn divide(&mut self, nodes: usize) {
        for entry in &mut self.entries {
            entry.limiter.divide(entry.server.slots, nodes);
        }
    }

    pub(super) fn get(&self, name: &ServerName) -> Option<&ServerEntry> {
        self.entries.get(*self.by_name.get(name)?)
    }

    pub(super) fn get_mut(&mut self, name: &ServerName) -> Option<&mut ServerEntry> {
        self.entries.get_mut(*self.by_name.get(name)?)
    }

    pub(super) fn at(&self, index: usize) -> Option<&ServerEntry> {
        self.entries.get(index)
    }

    /// Servers of a target.
    pub(super) fn of(&self, target: &TargetName) -> impl Iterator<Item = (usize, &ServerEntry)> {
        let indices = self.by_target.get(target).map_or(&[][..], Vec::as_slice);
        let entry = |index: &usize| Some((*index, self.entries.get(*index)?));
        indices.iter().filter_map(entry)
    }

    /// Whether any server of the target may take requests, now or later.
    pub(super) fn any_stays(&self, now: Instant, options: &Options, target: &TargetName) -> bool {
        self.of(target).any(|(_, e)| e.stays(now, options))
    }

    /// Whether any server of the target can take a request now.
    pub(super) fn any_room(&self, now: Instant, options: &Options, target: &TargetName) -> bool {
        self.of(target).any(|(_, e)| e.has_room(now, options))
    }

    /// Requests that this node may have in flight at the target's servers.
    pub(super) fn capacity(&self, now: Instant, options: &Options, target: &TargetName) -> u32 {
        self.of(target).map(|(_, e)| e.allowed(now, options)).sum()
    }

    /// Servers that can take a request now, without those in `avoid` if others can.
    pub(super) fn candidates<'a>(
        &'a self,
        now: Instant,
        options: &Options,
        target: &TargetName,
        avoid: &[ServerName],
    ) -> Vec<Candidate<'a>> {
        let open = || self.of(target).filter(|(_, e)| e.has_room(now, options));
        let candidate = |(index, e): (usize, &'a ServerEntry)| Candidate {
            index,
            name: e.server.name.as_str(),
            load_ratio: e.load_ratio(now),
            cost: e.cost(options),
        };
        let untried = open().filter(|(_, e)| !avoid.contains(&e.server.name));
        let candidates: Vec<_> = untried.map(candidate).collect();
        if candidates.is_empty() && !avoid.is_empty() {
            return open().map(candidate).collect();
        }
        candidates
    }

    /// Sets a server aside if it is an outlier and the bound leaves room.
    pub(super) fn judge(&mut self, now: Instant, options: &Options, name: &ServerName) {
        let Some(entry) = self.get(name) else {
            return;
        };
        if !entry.health.is_outlier(&options.outlier) || !entry.health.is_available(now) {
            return;
        }
        let has_room = entry.server.targets.iter().all(|target| {
            let total = self.of(target).count();
            let aside = self.of(target).filter(|(_, e)| !e.health.is_available(now));
            options.outlier.has_room(aside.count(), total)
        });
        if has_room && let Some(entry) = self.get_mut(name) {
            entry.health.set_aside(now, &options.outlier);
        }
    }
}
