//! Prompt parts that a server is expected to hold in its prefix cache.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time after its last use at which a part is assumed to be evicted.
const PART_TTL: Duration = Duration::from_mins(1);

/// Parts tracked for one server; the least recently used are dropped first.
const PARTS_MAX: usize = 2_048;

/// Prompt parts that this node sent to a server recently.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrefixCache {
    last_used: HashMap<u64, Instant>,
}

impl PrefixCache {
    /// Returns whether the part was sent recently.
    pub(crate) fn contains(&self, now: Instant, part: u64) -> bool {
        let last_used = self.last_used.get(&part);
        last_used.is_some_and(|at| now.saturating_duration_since(*at) < PART_TTL)
    }

    /// Records that a part is sent.
    pub(crate) fn touch(&mut self, now: Instant, part: u64) {
        if self.last_used.len() >= PARTS_MAX && !self.last_used.contains_key(&part) {
            self.evict_older_half(now);
        }
        self.last_used.insert(part, now);
    }

    /// Drops the parts that were used least recently.
    fn evict_older_half(&mut self, now: Instant) {
        let mut ages: Vec<Duration> = self
            .last_used
            .values()
            .map(|at| now.saturating_duration_since(*at))
            .collect();
        let middle = ages.len() / 2;
        let (_, median, _) = ages.select_nth_unstable(middle);
        let median = *median;
        self.last_used
            .retain(|_, at| now.saturating_duration_since(*at) < median);
    }
}
