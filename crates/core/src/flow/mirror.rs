//! A replica of the published values, which nodes keep and replicate to peers.
//!
//! The store numbers all changes with one revision; [`revision_in_era`] orders those of a
//! store that loses its last changes. A mirror holds what was published up to its
//! revision and never goes back: it ignores older changes from lagging peers or stale
//! reads.
//!
//! [`revision_in_era`]: crate::flow::revision_in_era

use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Removals that are kept for peers that lag behind.
const REMOVALS_MAX: usize = 512;

/// A published value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Key of the value.
    pub key: Arc<str>,
    /// Revision of its last change.
    pub revision: u64,
    /// The value.
    pub value: Arc<[u8]>,
}

/// Removal of a value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Removal {
    /// Key of the value.
    pub key: Arc<str>,
    /// Revision of the removal.
    pub revision: u64,
}

/// Changes of published values since a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Revision up to which the delta is complete.
    #[serde(rename = "at")]
    pub revision: u64,
    /// Whether the delta holds all values, so that values not in it were removed.
    pub is_whole: bool,
    /// Values that changed.
    pub changes: Vec<Change>,
    /// Values that were removed.
    pub removals: Vec<Removal>,
}

impl Delta {
    /// Returns whether a mirror of that revision may have missed changes before the delta.
    ///
    /// `has_all_steps` tells whether its source leaves out no change between the two, and
    /// `has_changed` whether the delta has changed the mirror. Before the first read nothing
    /// is missed; a list that is no newer and changes nothing shows that nothing was.
    #[must_use]
    pub fn leaves_gap(&self, revision: u64, has_all_steps: bool, has_changed: bool) -> bool {
        let has_news = self.revision > revision || has_changed;
        revision > 0 && has_news && (self.is_whole || !has_all_steps)
    }
}

/// Replica of the published values.
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
    /// Removals up to this revision may have been dropped, or were never known.
    dropped_revision: u64,
    /// Revision of the newest change or removal, or of the first read.
    changed_revision: u64,
}

impl Mirror {
    /// Returns the revision up to which the mirror is complete, 0 before the first read.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the revision after which nothing has changed, as far as is known.
    ///
    /// It is that of the first read until later changes, as removals before are not known.
    #[must_use]
    pub fn changed_revision(&self) -> u64 {
        self.changed_revision
    }

    /// Takes over that nothing has changed up to a revision.
    pub(crate) fn advance(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Iterates over all values, sorted by key.
    pub fn items(&self) -> impl Iterator<Item = &Change> {
        self.items.values()
    }

    /// Returns the value of a key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&Change> {
        self.items.get(key)
    }

    /// Applies a delta and returns the keys that were changed or removed, sorted.
    pub fn apply(&mut self, delta: &Delta) -> BTreeSet<Arc<str>> {
        let mut changed = BTreeSet::new();
        // It shows that no value in it was removed before, whatever this mirror has left out.
        let is_newest_whole = delta.is_whole && delta.revision >= self.revision;
        let mut was_left_out = false;
        for change in &delta.changes {
            let is_back = is_newest_whole && self.take_back(change);
            was_left_out |= is_back;
            if is_back || self.apply_change(change) {
                changed.insert(Arc::clone(&change.key));
            }
        }
        for removal in &delta.removals {
            if self.apply_removal(removal) {
                changed.insert(Arc::clone(&removal.key));
            }
        }
        if delta.is_whole {
            changed.extend(self.remove_missing(delta));
        }
        if self.revision == 0 || was_left_out {
            // The removals before the first read are not known, and peers must be sent values
            // that are older than what they have.
            self.dropped_revision = delta.revision;
            self.changed_revision = delta.revision;
        }
        self.revision = self.revision.max(delta.revision);
        changed
    }

    /// Adds a value that this mirror has left out; returns whether it had.
    fn take_back(&mut self, change: &Change) -> bool {
        let was_removed = |r: &Removal| r.key == change.key && r.revision > change.revision;
        let is_older = change.revision <= self.dropped_revision;
        if self.items.contains_key(&change.key)
            || !(is_older || self.removals.iter().any(was_removed))
        {
            return false;
        }
        self.removals.retain(|r| !was_removed(r));
        self.items.insert(Arc::clone(&change.key), change.clone());
        true
    }

    /// Leaves out a value, though it was not removed.
    pub(crate) fn leave_out(&mut self, key: &str) {
        self.items.remove(key);
    }

    fn apply_change(&mut self, change: &Change) -> bool {
        let current = self.items.get(&change.key);
        let is_known = current.is_some_and(|c| c.revision >= change.revision);
        let is_removed = |r: &Removal| r.key == change.key && r.revision > change.revision;
        // An absent value may be new, or its removal may have been dropped. Only a lagging
        // source sends a value of such an old revision, so it is ignored.
        let is_stale = current.is_none() && change.revision <= self.dropped_revision;
        if is_known || is_stale || self.removals.iter().any(is_removed) {
            return false;
        }
        self.items.insert(Arc::clone(&change.key), change.clone());
        self.changed_revision = self.changed_revision.max(change.revision);
        true
    }

    fn apply_removal(&mut self, removal: &Removal) -> bool {
        let current = self.items.get(&removal.key);
        if current.is_some_and(|c| c.revision > removal.revision) {
            return false;
        }
        if self.removals.contains(removal) {
            return false;
        }
        self.record_removal(removal.clone());
        self.changed_revision = self.changed_revision.max(removal.revision);
        self.items.remove(&removal.key).is_some()
    }

    fn record_removal(&mut self, removal: Removal) {
        self.removals.push_back(removal);
        if self.removals.len() <= REMOVALS_MAX {
            return;
        }
        if let Some(oldest) = self.removals.pop_front() {
            self.dropped_revision = self.dropped_revision.max(oldest.revision);
        }
    }

    /// Removes values that a whole delta, read at its revision, does not hold.
    fn remove_missing(&mut self, delta: &Delta) -> Vec<Arc<str>> {
        let present: HashSet<&str> = delta.changes.iter().map(|c| &*c.key).collect();
        let is_missing = |c: &&Change| c.revision <= delta.revision && !present.contains(&*c.key);
        let missing: Vec<Arc<str>> = self
            .items
            .values()
            .filter(is_missing)
            .map(|c| Arc::clone(&c.key))
            .collect();
        for key in &missing {
            let key = Arc::clone(key);
            let revision = delta.revision;
            self.apply_removal(&Removal { key, revision });
        }
        missing
    }

    /// Returns the changes after `revision`, or all values if some are no longer known.
    #[must_use]
    pub fn changes_since(&self, revision: u64) -> Delta {
        let is_whole = revision == 0 || revision < self.dropped_revision;
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
