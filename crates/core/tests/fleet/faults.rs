//! Faults of the platform, the network and processes.

use super::*;

impl Fleet {
    pub(super) fn publish(&mut self, host: usize, state: Option<HostState>) {
        let host = host % self.hosts.len();
        let name = &self.hosts[host].name;
        let others = self.newest_view.hosts.iter().filter(|h| h.name != *name);
        let mut listed: Vec<Host> = others.cloned().collect();
        if let Some(state) = state {
            listed.push(Host {
                state,
                ..live_host(host)
            });
        }
        if listed.is_empty() {
            return;
        }
        let revision = Revision(self.newest_view.revision.0 + 1);
        self.newest_view = HostView::new(revision, listed);
        self.published
            .push((revision, documents::encode(&self.newest_view)));
    }

    pub(super) fn restart(&mut self, host: usize, clock_error_ms: i64) {
        let host = host % self.hosts.len();
        let (stale, unreachable) = (
            self.hosts[host].reads_stale,
            self.hosts[host].platform_unreachable,
        );
        for incoming in std::mem::take(&mut self.hosts[host].calls).into_values() {
            if incoming.from.is_none() {
                self.checker.record_kill(incoming.caller_call);
            }
        }
        let mut sim_host = self.start_host(host, clock_error_ms);
        (sim_host.reads_stale, sim_host.platform_unreachable) = (stale, unreachable);
        self.hosts[host] = sim_host;
    }

    pub(super) fn split(&mut self, mask: u32) {
        let half = |i: usize| mask >> i & 1;
        let size = self.hosts.len();
        let pairs = (0..size).flat_map(|a| (0..size).map(move |b| (a, b)));
        self.cut_links
            .extend(pairs.filter(|(a, b)| half(*a) != half(*b)));
    }
}
