//! Comparison of a starting node's values with its peers'.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use crate::ids::HostName;

/// Maximum number of peers whose answers are remembered.
const ANSWERS_MAX: usize = 16;

/// Answers of peers to a starting node.
///
/// The platform may return a stale value to a restarted node. The node
/// therefore compares its values with its peers' first. The sync is done when
/// one synced peer answered, when all peers answered, or after a timeout.
#[derive(Debug, Default)]
pub(crate) struct StartupSync {
    started: Option<Instant>,
    answered: BTreeSet<HostName>,
    answered_by_synced: bool,
}

impl StartupSync {
    /// Starts the sync when the node has a host list.
    pub(crate) fn start(&mut self, now: Instant) {
        self.started.get_or_insert(now);
    }

    /// Records the digest of a peer.
    pub(crate) fn record_answer(&mut self, host: &HostName, is_synced: bool) {
        self.answered_by_synced |= is_synced;
        if self.answered.len() < ANSWERS_MAX {
            self.answered.insert(host.clone());
        }
    }

    /// Whether the sync is done.
    pub(crate) fn is_done<'a>(
        &self,
        now: Instant,
        timeout: Duration,
        mut peers: impl Iterator<Item = &'a HostName>,
    ) -> bool {
        let Some(since) = self.started else {
            return false;
        };
        self.answered_by_synced
            || now >= since + timeout
            || peers.all(|p| self.answered.contains(p))
    }
}
