//! Which parts of prompts a server was sent of late.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time after which a part that was not used is no longer counted on.
const PART_TTL: Duration = Duration::from_mins(1);

/// Parts remembered for one server; the least recently used go first.
const PARTS_MAX: usize = 2_048;

/// Parts of prompts that a server holds, as far as this node sent them.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrefixCache {
    used: HashMap<u64, Instant>,
}

impl PrefixCache {
    /// Whether the part was sent of late.
    pub(crate) fn holds(&self, now: Instant, part: u64) -> bool {
        let used = self.used.get(&part);
        used.is_some_and(|at| now.saturating_duration_since(*at) < PART_TTL)
    }

    /// Takes note of a part that was sent.
    pub(crate) fn touch(&mut self, now: Instant, part: u64) {
        if self.used.len() >= PARTS_MAX && !self.used.contains_key(&part) {
            self.shrink(now);
        }
        self.used.insert(part, now);
    }

    /// Forgets the older half.
    fn shrink(&mut self, now: Instant) {
        let mut ages: Vec<Duration> = self
            .used
            .values()
            .map(|at| now.saturating_duration_since(*at))
            .collect();
        let middle = ages.len() / 2;
        let (_, median, _) = ages.select_nth_unstable(middle);
        let median = *median;
        self.used
            .retain(|_, at| now.saturating_duration_since(*at) < median);
    }
}
