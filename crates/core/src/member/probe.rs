//! Pending probes.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ids::HostName;

/// Maximum number of pending probes.
const PROBES_MAX: usize = 64;

/// One pending probe.
#[derive(Clone, Debug)]
pub(crate) struct Probe {
    pub(crate) target: HostName,
    /// Node that requested it, if it is an indirect probe.
    pub(crate) requester: Option<HostName>,
    sent: Instant,
}

/// Pending probes by number.
#[derive(Debug, Default)]
pub(crate) struct Probes {
    pending: BTreeMap<u64, Probe>,
    next: u64,
}

impl Probes {
    /// Adds a probe and returns its number, unless too many are pending.
    pub(crate) fn add(
        &mut self,
        now: Instant,
        target: &HostName,
        requester: Option<HostName>,
    ) -> Option<u64> {
        if self.pending.len() >= PROBES_MAX {
            return None;
        }
        self.next += 1;
        let probe = Probe {
            target: target.clone(),
            requester,
            sent: now,
        };
        self.pending.insert(self.next, probe);
        Some(self.next)
    }

    /// Whether a direct probe of `target` is pending.
    pub(crate) fn is_probing(&self, target: &HostName) -> bool {
        let mut direct = self.pending.values().filter(|p| p.requester.is_none());
        direct.any(|p| p.target == *target)
    }

    /// Removes a probe.
    pub(crate) fn remove(&mut self, number: u64) -> Option<Probe> {
        self.pending.remove(&number)
    }

    /// Removes all direct probes of `target`.
    pub(crate) fn remove_direct(&mut self, target: &HostName) {
        self.pending
            .retain(|_, p| p.requester.is_some() || p.target != *target);
    }

    /// Removes probes older than `timeout` and returns the targets of direct ones.
    pub(crate) fn expire(&mut self, now: Instant, timeout: Duration) -> Vec<HostName> {
        let is_expired = |p: &Probe| now >= p.sent + timeout;
        let expired: Vec<Probe> = self
            .pending
            .extract_if(.., |_, p| is_expired(p))
            .map(|(_, p)| p)
            .collect();
        let direct = expired.into_iter().filter(|p| p.requester.is_none());
        direct.map(|p| p.target).collect()
    }

    /// Removes all probes.
    pub(crate) fn clear(&mut self) {
        self.pending.clear();
    }
}
