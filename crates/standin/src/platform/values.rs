//! Published values with a bounded history.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use briarbank_core::ids::Revision;
use bytes::Bytes;

/// Revisions kept of each value, to serve stale ones.
const HISTORY_LIMIT: usize = 64;
/// Most keys.
const KEY_LIMIT: usize = 64;

/// One revision of a value.
#[derive(Clone, Debug)]
pub(crate) struct Value {
    pub(crate) revision: Revision,
    pub(crate) body: Bytes,
}

/// All values, newest last.
#[derive(Debug, Default)]
pub(crate) struct Values(BTreeMap<Arc<str>, VecDeque<Value>>);

impl Values {
    /// Puts a value under the given or the next revision.
    ///
    /// `None` if the revision isn't newer, or too many keys are known.
    pub(crate) fn put(
        &mut self,
        key: &str,
        revision: Option<Revision>,
        body: Bytes,
    ) -> Option<Revision> {
        if !self.0.contains_key(key) && self.0.len() >= KEY_LIMIT {
            return None;
        }
        let history = self.0.entry(Arc::from(key)).or_default();
        let newest = history.back().map_or(Revision(0), |v| v.revision);
        let revision = revision.unwrap_or(Revision(newest.0.saturating_add(1)));
        if revision <= newest {
            return None;
        }
        history.push_back(Value { revision, body });
        if history.len() > HISTORY_LIMIT {
            history.pop_front();
        }
        Some(revision)
    }

    /// The newest value, or the newest within a bound.
    ///
    /// A bound below the history gives the oldest value that is kept.
    pub(crate) fn get(&self, key: &str, bound: Option<Revision>) -> Option<Value> {
        let history = self.0.get(key)?;
        let Some(bound) = bound else {
            return history.back().cloned();
        };
        let within = history.iter().rev().find(|v| v.revision <= bound);
        within.or_else(|| history.front()).cloned()
    }

    /// The newest revision of each key.
    pub(crate) fn revisions(&self) -> BTreeMap<Arc<str>, Revision> {
        self.0
            .iter()
            .filter_map(|(key, history)| Some((Arc::clone(key), history.back()?.revision)))
            .collect()
    }
}
