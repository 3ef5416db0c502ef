//! A copy of published values that nodes keep and pass on to each other.
//!
//! The store counts all changes with one revision. A mirror holds what was
//! published up to its revision and never goes back: older changes are
//! ignored, also when a peer or a stale reader brings them.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Removals that are remembered for peers that lag behind.
const REMOVALS_MAX: usize = 512;

/// A value as it was published.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Key of the value.
    pub key: Arc<str>,
    /// Revision of its last change.
    pub revision: u64,
    /// The value.
    pub value: Arc<[u8]>,
}

/// The end of a value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Removal {
    /// Key of the value.
    pub key: Arc<str>,
    /// Revision of the removal.
    pub revision: u64,
}

/// What a mirror holds beyond a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Revision up to which the delta is complete.
    #[serde(rename = "at")]
    pub revision: u64,
    /// Whether all values are included, so that others are gone.
    pub is_whole: bool,
    /// Values that changed.
    pub changes: Vec<Change>,
    /// Values that ended.
    pub removals: Vec<Removal>,
}

/// Copy of the published values; see the module's page.
///
/// # Examples
///
/// ```
/// use briarbank_core::flow::{Change, Delta, Mirror};
///
/// let change = Change { key: "config".into(), revision: 7, value: b"{}"[..].into() };
/// let delta = Delta { revision: 7, is_whole: true, changes: vec![change], removals: vec![] };
/// let mut mirror = Mirror::default();
/// assert_eq!(mirror.apply(&delta).len(), 1);
/// assert!(mirror.apply(&delta).is_empty());
/// assert_eq!(mirror.changes_since(0).changes.len(), 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    revision: u64,
    items: BTreeMap<Arc<str>, Change>,
    removals: VecDeque<Removal>,
    /// Removals up to this revision may have been forgotten.
    forgotten: u64,
}

impl Mirror {
    /// Revision up to which the mirror is complete, 0 before the first read.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// All values, sorted by key.
    pub fn items(&self) -> impl Iterator<Item = &Change> {
        self.items.values()
    }

    /// The value under a key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&Change> {
        self.items.get(key)
    }

    /// Takes over a delta and gives back the keys that changed or ended.
    pub fn apply(&mut self, delta: &Delta) -> Vec<Arc<str>> {
        let mut changed = Vec::new();
        for change in &delta.changes {
            if self.put(change) {
                changed.push(Arc::clone(&change.key));
            }
        }
        for removal in &delta.removals {
            if self.remove(removal) {
                changed.push(Arc::clone(&removal.key));
            }
        }
        if delta.is_whole {
            changed.extend(self.remove_missing(delta));
        }
        self.revision = self.revision.max(delta.revision);
        changed
    }

    fn put(&mut self, change: &Change) -> bool {
        let held = self.items.get(&change.key);
        let is_known = held.is_some_and(|h| h.revision >= change.revision);
        let is_removed = |r: &Removal| r.key == change.key && r.revision > change.revision;
        // A removal up to `at` that was forgotten can't be told from a value that
        // was never seen, but only a lagging source brings such a value.
        let is_stale = held.is_none() && change.revision <= self.forgotten;
        if is_known || is_stale || self.removals.iter().any(is_removed) {
            return false;
        }
        self.items.insert(Arc::clone(&change.key), change.clone());
        true
    }

    fn remove(&mut self, removal: &Removal) -> bool {
        let held = self.items.get(&removal.key);
        if held.is_some_and(|h| h.revision > removal.revision) {
            return false;
        }
        if self.removals.contains(removal) {
            return false;
        }
        self.remember(removal.clone());
        self.items.remove(&removal.key).is_some()
    }

    fn remember(&mut self, removal: Removal) {
        self.removals.push_back(removal);
        if self.removals.len() <= REMOVALS_MAX {
            return;
        }
        if let Some(oldest) = self.removals.pop_front() {
            self.forgotten = self.forgotten.max(oldest.revision);
        }
    }

    /// Ends values that a whole delta, read at its revision, does not hold.
    fn remove_missing(&mut self, delta: &Delta) -> Vec<Arc<str>> {
        let present: Vec<&str> = delta.changes.iter().map(|c| &*c.key).collect();
        let is_gone = |c: &&Change| c.revision <= delta.revision && !present.contains(&&*c.key);
        let gone: Vec<Arc<str>> = self
            .items
            .values()
            .filter(is_gone)
            .map(|c| Arc::clone(&c.key))
            .collect();
        for key in &gone {
            let key = Arc::clone(key);
            let revision = delta.revision;
            self.remove(&Removal { key, revision });
        }
        gone
    }

    /// What came after `revision`; everything when that is no longer known.
    #[must_use]
    pub fn changes_since(&self, revision: u64) -> Delta {
        let is_whole = revision == 0 || revision < self.forgotten;
        let is_new = |c: &&Change| is_whole || c.revision > revision;
        Delta {
            revision: self.revision,
            is_whole,
            changes: self.items.values().filter(is_new).cloned().collect(),
            removals: self
                .removals
                .iter()
                .filter(|r| r.revision > revision)
                .cloned()
                .collect(),
        }
    }
}
