//! Probes that wait for an answer.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ids::HostName;

/// Most probes that wait at a time.
const PROBES_MAX: usize = 64;

/// One probe that waits for its answer.
#[derive(Clone, Debug)]
pub(crate) struct Probe {
    pub(crate) target: HostName,
    /// Node that asked for the probe, if it is not this node's own.
    pub(crate) asker: Option<HostName>,
    sent: Instant,
}

/// Probes that wait for an answer, by number.
#[derive(Debug, Default)]
pub(crate) struct Probes {
    waiting: BTreeMap<u64, Probe>,
    next: u64,
}

impl Probes {
    /// Takes note of a probe and returns its number, unless too many wait.
    pub(crate) fn add(
        &mut self,
        now: Instant,
        target: &HostName,
        asker: Option<HostName>,
    ) -> Option<u64> {
        if self.waiting.len() >= PROBES_MAX {
            return None;
        }
        self.next += 1;
        let probe = Probe {
            target: target.clone(),
            asker,
            sent: now,
        };
        self.waiting.insert(self.next, probe);
        Some(self.next)
    }

    /// Whether a probe of this node's own waits for `target`.
    pub(crate) fn waits_for(&self, target: &HostName) -> bool {
        let mut own = self.waiting.values().filter(|p| p.asker.is_none());
        own.any(|p| p.target == *target)
    }

    /// Ends a probe.
    pub(crate) fn end(&mut self, number: u64) -> Option<Probe> {
        self.waiting.remove(&number)
    }

    /// Ends all probes of this node's own to `target`.
    pub(crate) fn end_all(&mut self, target: &HostName) {
        self.waiting
            .retain(|_, p| p.asker.is_some() || p.target != *target);
    }

    /// Ends probes older than `timeout` and returns the targets of this node's own.
    pub(crate) fn expire(&mut self, now: Instant, timeout: Duration) -> Vec<HostName> {
        let late = |p: &Probe| now >= p.sent + timeout;
        let expired: Vec<Probe> = self
            .waiting
            .extract_if(.., |_, p| late(p))
            .map(|(_, p)| p)
            .collect();
        let own = expired.into_iter().filter(|p| p.asker.is_none());
        own.map(|p| p.target).collect()
    }

    /// Forgets all probes.
    pub(crate) fn clear(&mut self) {
        self.waiting.clear();
    }
}
