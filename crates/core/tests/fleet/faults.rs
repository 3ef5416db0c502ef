//! Faults of the platform, the network and processes.

use super::*;

impl Fleet {
    pub(super) fn publish(&mut self, at: usize, state: Option<HostState>) {
        let at = at % self.places.len();
        let name = &self.places[at].name;
        let others = self.newest.hosts.iter().filter(|h| h.name != *name);
        let mut hosts: Vec<Host> = others.cloned().collect();
        if let Some(state) = state {
            hosts.push(Host { state, ..host(at) });
        }
        if hosts.is_empty() {
            return;
        }
        let revision = Revision(self.newest.revision.0 + 1);
        self.newest = HostView::new(revision, hosts);
        self.published
            .push((revision, documents::encode(&self.newest)));
    }

    pub(super) fn restart(&mut self, at: usize, clock_error_ms: i64) {
        let at = at % self.places.len();
        let (stale, nothing) = (self.places[at].reads_stale, self.places[at].reads_nothing);
        for arrived in std::mem::take(&mut self.places[at].calls).into_values() {
            if arrived.from.is_none() {
                self.checker.ended(arrived.caller_call);
            }
        }
        let mut place = self.start_place(at, clock_error_ms);
        (place.reads_stale, place.reads_nothing) = (stale, nothing);
        self.places[at] = place;
    }

    pub(super) fn split(&mut self, mask: u32) {
        let half = |i: usize| mask >> i & 1;
        let size = self.places.len();
        let pairs = (0..size).flat_map(|a| (0..size).map(move |b| (a, b)));
        self.cuts
            .extend(pairs.filter(|(a, b)| half(*a) != half(*b)));
    }
}
