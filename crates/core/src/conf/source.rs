//! Where a newer version of one value can be had.

use std::time::{Duration, Instant};

use crate::ids::{HostName, Revision};

/// Most peers remembered for one value.
const HOSTS_MAX: usize = 4;

#[derive(Clone, Debug)]
struct Wanted {
    revision: Revision,
    since: Instant,
}

/// Peers that have a newer version of one value, and what was asked of them.
#[derive(Debug, Default)]
pub(crate) struct Source {
    newest: Revision,
    hosts: Vec<HostName>,
    wanted: Option<Wanted>,
}

impl Source {
    /// Newest revision that any peer told of.
    pub(crate) fn newest(&self) -> Revision {
        self.newest
    }

    /// Takes note that `host` has `revision`.
    pub(crate) fn add_source(&mut self, host: &HostName, revision: Revision) {
        if revision > self.newest {
            self.newest = revision;
            self.hosts.clear();
        }
        if revision == self.newest && !self.hosts.contains(host) && self.hosts.len() < HOSTS_MAX {
            self.hosts.push(host.clone());
        }
    }

    /// The peer to ask now, if a version newer than `have` is to be had.
    ///
    /// A peer that has not answered within `timeout` makes room for the next.
    pub(crate) fn ask(
        &mut self,
        now: Instant,
        have: Revision,
        timeout: Duration,
    ) -> Option<HostName> {
        if have >= self.newest {
            self.wanted = None;
            return None;
        }
        let waiting = |w: &Wanted| w.revision > have && now < w.since + timeout;
        if self.wanted.as_ref().is_some_and(waiting) || self.hosts.is_empty() {
            return None;
        }
        let host = self.hosts.remove(0);
        self.wanted = Some(Wanted {
            revision: self.newest,
            since: now,
        });
        Some(host)
    }
}
