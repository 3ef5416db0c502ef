//! Peers that have a newer version of one value.

use std::time::{Duration, Instant};

use crate::ids::{HostName, Revision};

/// Maximum number of peers remembered for one value.
const PEERS_MAX: usize = 4;

#[derive(Clone, Debug)]
struct Requested {
    revision: Revision,
    since: Instant,
}

/// Peers that have a newer version of one value, and the pending request.
#[derive(Debug, Default)]
pub(crate) struct Source {
    newest: Revision,
    peers: Vec<HostName>,
    requested: Option<Requested>,
}

impl Source {
    /// Returns the newest revision that any peer reported.
    pub(crate) fn newest(&self) -> Revision {
        self.newest
    }

    /// Records that `host` has `revision`.
    pub(crate) fn add_source(&mut self, host: &HostName, revision: Revision) {
        if revision > self.newest {
            self.newest = revision;
            self.peers.clear();
        }
        if revision == self.newest && !self.peers.contains(host) && self.peers.len() < PEERS_MAX {
            self.peers.push(host.clone());
        }
    }

    /// Takes the next peer to request a version newer than `have` from.
    ///
    /// Returns `None` if there is no such peer, or while the last request is
    /// younger than `timeout`.
    pub(crate) fn take_peer(
        &mut self,
        now: Instant,
        have: Revision,
        timeout: Duration,
    ) -> Option<HostName> {
        if have >= self.newest {
            self.requested = None;
            return None;
        }
        let is_pending = |r: &Requested| r.revision > have && now < r.since + timeout;
        if self.requested.as_ref().is_some_and(is_pending) || self.peers.is_empty() {
            return None;
        }
        let host = self.peers.remove(0);
        self.requested = Some(Requested {
            revision: self.newest,
            since: now,
        });
        Some(host)
    }
}
