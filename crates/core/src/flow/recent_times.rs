//! A bounded table of when something was last seen.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

/// Time for which an entry is kept.
const RETENTION: Duration = Duration::from_secs(10);

/// Largest number of entries.
const ENTRIES_MAX: usize = 4_096;

/// The latest time of each key, for a short while.
#[derive(Clone, Debug)]
pub(crate) struct RecentTimes<K> {
    times: HashMap<K, Instant>,
}

impl<K> Default for RecentTimes<K> {
    fn default() -> Self {
        let times = HashMap::new();
        Self { times }
    }
}

impl<K: Copy + Eq + Hash> RecentTimes<K> {
    /// Records a time of a key; the oldest entry gives way when the table is full.
    pub(crate) fn record(&mut self, now: Instant, key: K, at: Instant) {
        if let Some(known) = self.times.get_mut(&key) {
            *known = at.max(*known);
            return;
        }
        if self.times.len() >= ENTRIES_MAX {
            self.times
                .retain(|_, at| now.saturating_duration_since(*at) < RETENTION);
        }
        if self.times.len() >= ENTRIES_MAX {
            let oldest = self.times.iter().min_by_key(|(_, at)| **at);
            let oldest = oldest.map(|(key, _)| *key);
            oldest.and_then(|key| self.times.remove(&key));
        }
        self.times.insert(key, at);
    }

    /// Returns the latest time of a key.
    pub(crate) fn get(&self, now: Instant, key: K) -> Option<Instant> {
        let at = self.times.get(&key).copied()?;
        (now.saturating_duration_since(at) < RETENTION).then_some(at)
    }
}
