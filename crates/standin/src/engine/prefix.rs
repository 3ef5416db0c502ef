//! Bounded cache of prompt prefixes.

use std::collections::VecDeque;

/// Prefixes in the order of their last use, the oldest first.
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

    /// Notes a use, and whether the prefix was cached.
    pub(crate) fn touch(&mut self, key: u64) -> bool {
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
