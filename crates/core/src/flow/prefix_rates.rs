//! Rates of calls whose prompts share a prefix.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::flow::decaying_sum::DecayingSum;

/// Time over which calls are counted.
const WINDOW: Duration = Duration::from_secs(2);

/// Prefixes that are tracked; those without a recent call are dropped first.
const PREFIXES_MAX: usize = 4_096;

/// Recent calls by prefix, with a weight that decays as they age.
#[derive(Debug, Default)]
pub(crate) struct PrefixRates {
    calls: HashMap<u64, DecayingSum>,
}

impl PrefixRates {
    /// Records a call.
    pub(crate) fn record_call(&mut self, now: Instant, prefix: u64) {
        if let Some(calls) = self.calls.get_mut(&prefix) {
            calls.add(now, 1.0);
            return;
        }
        if self.calls.len() >= PREFIXES_MAX {
            let age = |calls: &DecayingSum| now.saturating_duration_since(calls.updated_at());
            self.calls.retain(|_, calls| age(calls) < WINDOW);
        }
        if self.calls.len() < PREFIXES_MAX {
            let one = DecayingSum::new(now, WINDOW, 1.0);
            self.calls.insert(prefix, one);
        }
    }

    /// Returns calls per second, not counting one, since a single call gives no rate.
    pub(crate) fn calls_per_s(&self, now: Instant, prefix: u64) -> f64 {
        let calls = self.calls.get(&prefix).map_or(0.0, |calls| calls.get(now));
        (calls - 1.0).max(0.0) / WINDOW.as_secs_f64()
    }
}
