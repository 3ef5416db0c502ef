//! Published values with a bounded history.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use briarbank_core::ids::Revision;
use bytes::Bytes;

/// Maximum number of revisions kept for each key, so stale ones can be served.
const REVISIONS_PER_KEY_MAX: usize = 64;
/// Maximum number of keys.
const KEYS_MAX: usize = 64;

/// One revision of a value.
#[derive(Clone, Debug)]
pub(crate) struct Value {
    pub(crate) revision: Revision,
    pub(crate) body: Bytes,
}

/// Revisions of all values by key, oldest first.
#[derive(Debug, Default)]
pub(crate) struct Values(BTreeMap<Arc<str>, VecDeque<Value>>);

impl Values {
    /// Stores a value under the given revision or the next one.
    ///
    /// Returns `None` if the revision is not newer or there are too many keys.
    pub(crate) fn put(
        &mut self,
        key: &str,
        revision: Option<Revision>,
        body: Bytes,
    ) -> Option<Revision> {
        if !self.0.contains_key(key) && self.0.len() >= KEYS_MAX {
            return None;
        }
        let history = self.0.entry(Arc::from(key)).or_default();
        let newest = history.back().map_or(Revision(0), |v| v.revision);
        let revision = revision.unwrap_or(Revision(newest.0.saturating_add(1)));
        if revision <= newest {
            return None;
        }
        history.push_back(Value { revision, body });
        if history.len() > REVISIONS_PER_KEY_MAX {
            history.pop_front();
        }
        Some(revision)
    }

    /// Returns the newest value up to `max_revision`, if given.
    ///
    /// Returns the oldest value kept if all of them are newer.
    pub(crate) fn get(&self, key: &str, max_revision: Option<Revision>) -> Option<Value> {
        let history = self.0.get(key)?;
        let Some(max_revision) = max_revision else {
            return history.back().cloned();
        };
        let newest_allowed = history.iter().rev().find(|v| v.revision <= max_revision);
        newest_allowed.or_else(|| history.front()).cloned()
    }

    /// Returns the newest revision of each key.
    pub(crate) fn revisions(&self) -> BTreeMap<Arc<str>, Revision> {
        self.0
            .iter()
            .filter_map(|(key, history)| Some((Arc::clone(key), history.back()?.revision)))
            .collect()
    }
}
