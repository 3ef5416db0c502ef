//! How often prompts about a subject come.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::flow::recent::RecentSum;

/// Time over which calls are counted.
const WINDOW: Duration = Duration::from_secs(2);

/// Prefixes that are remembered; those without a recent call go first.
const PREFIXES_MAX: usize = 4_096;

/// Calls of late by subject, each counting less as it ages.
#[derive(Debug, Default)]
pub(crate) struct PrefixRates {
    calls: HashMap<u64, RecentSum>,
}

impl PrefixRates {
    /// Counts a call.
    pub(crate) fn count(&mut self, now: Instant, prefix: u64) {
        if let Some(calls) = self.calls.get_mut(&prefix) {
            calls.add(now, 1.0);
            return;
        }
        if self.calls.len() >= PREFIXES_MAX {
            let age = |calls: &RecentSum| now.saturating_duration_since(calls.at());
            self.calls.retain(|_, calls| age(calls) < WINDOW);
        }
        if self.calls.len() < PREFIXES_MAX {
            let one = RecentSum::new(now, WINDOW, 1.0);
            self.calls.insert(prefix, one);
        }
    }

    /// Calls a second beyond a single one, which says nothing of a rate.
    pub(crate) fn per_s(&self, now: Instant, prefix: u64) -> f64 {
        let calls = self.calls.get(&prefix).map_or(0.0, |calls| calls.get(now));
        (calls - 1.0).max(0.0) / WINDOW.as_secs_f64()
    }
}
