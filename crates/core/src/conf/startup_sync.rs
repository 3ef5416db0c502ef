//! When a starting node may bring values into force.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use crate::ids::HostName;

/// Most peers whose answers are remembered while starting.
const ANSWERS_MAX: usize = 16;

/// What a starting node has heard from its peers.
///
/// A restarted node may be given a stale value by the platform. It therefore
/// compares with its peers first: with one that has done so itself, or with
/// all that it asked, or with none when none speaks within a bound.
#[derive(Debug, Default)]
pub(crate) struct StartupSync {
    asking_since: Option<Instant>,
    answered: BTreeSet<HostName>,
    answered_by_synced: bool,
}

impl StartupSync {
    /// The node knows a host list and asks its peers from now on.
    pub(crate) fn ask(&mut self, now: Instant) {
        self.asking_since.get_or_insert(now);
    }

    /// A peer told what it has.
    pub(crate) fn answer(&mut self, host: &HostName, is_synced: bool) {
        self.answered_by_synced |= is_synced;
        if self.answered.len() < ANSWERS_MAX {
            self.answered.insert(host.clone());
        }
    }

    /// Whether the comparison is over.
    pub(crate) fn done<'a>(
        &self,
        now: Instant,
        timeout: Duration,
        mut peers: impl Iterator<Item = &'a HostName>,
    ) -> bool {
        let Some(since) = self.asking_since else {
            return false;
        };
        self.answered_by_synced
            || now >= since + timeout
            || peers.all(|p| self.answered.contains(p))
    }
}
