//! LRU cache of prompt prefixes.

use std::collections::VecDeque;

/// Hashes of prefixes, ordered from least to most recently used.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    limit: usize,
    keys: VecDeque<u64>,
}

impl PrefixCache {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            keys: VecDeque::new(),
        }
    }

    /// Records a use of a prefix and returns whether it was cached.
    pub(crate) fn record_use(&mut self, key: u64) -> bool {
        let position = self.keys.iter().position(|k| *k == key);
        if let Some(position) = position {
            self.keys.remove(position);
        }
        self.keys.push_back(key);
        if self.keys.len() > self.limit {
            self.keys.pop_front();
        }
        position.is_some()
    }

    pub(crate) fn limit(&self) -> usize {
        self.limit
    }

    pub(crate) fn len(&self) -> usize {
        self.keys.len()
    }
}
