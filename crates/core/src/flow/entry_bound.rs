//! Bound on the entries that a node keeps, of all that may be published.
//!
//! Other writers may publish any number of entries. Those that calls may need come first, and
//! then those that have been there longest: nodes with the same configuration keep the same
//! ones, and no later entry of its kind displaces one that is kept.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use crate::flow::mirror::Change;

/// Memory that all entries may take.
///
/// It is the same on all nodes, so that each one accepts what the others keep. The largest
/// fleet that is planned for, 3,300 servers, takes half of it.
pub const ENTRIES_BYTES_MAX: usize = 16 << 20;

/// Memory that a node takes for an entry besides its key and value: the state of its server.
const ENTRY_STATE_BYTES: usize = 2 << 10;

/// Largest value of an entry that is kept.
pub const ENTRY_BYTES_MAX: usize = 1 << 10;

/// Longest key of an entry that is kept.
pub const ENTRY_KEY_BYTES_MAX: usize = 256;

/// Most that one entry may take.
const ENTRY_COST_MAX: usize = ENTRY_STATE_BYTES + ENTRY_BYTES_MAX + ENTRY_KEY_BYTES_MAX;

/// Room from which entries that were left out are worth reading again.
const ROOM_BYTES_MIN: usize = ENTRIES_BYTES_MAX / 4;

/// Place of an entry in the order in which they are kept; later ones are left out first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    is_spare: bool,
    /// Revision at which the entry was first seen.
    since: u64,
    key: Arc<str>,
}

/// An entry that is kept.
#[derive(Clone, Copy, Debug)]
struct Kept {
    is_spare: bool,
    since: u64,
    bytes: usize,
}

/// Entries that are kept, in the order in which they are.
///
/// # Examples
///
/// ```
/// use briarbank_core::flow::{Change, EntryBound};
///
/// let entry = Change { key: "a".into(), revision: 7, value: b"{}"[..].into() };
/// let mut bound = EntryBound::default();
/// bound.insert(&entry, true);
/// assert!(bound.evict().is_empty());
/// assert!(bound.is_complete());
/// ```
#[derive(Clone, Debug, Default)]
pub struct EntryBound {
    kept: HashMap<Arc<str>, Kept>,
    order: BTreeSet<Rank>,
    bytes: usize,
    /// Whether entries may have been left out since the last complete read.
    has_left_out: bool,
}

impl EntryBound {
    /// Adds or replaces an entry; `is_needed` tells whether calls may need it.
    pub fn insert(&mut self, entry: &Change, is_needed: bool) {
        let before = self.remove(&entry.key);
        let kept = Kept {
            is_spare: !is_needed,
            since: before.map_or(entry.revision, |kept| kept.since),
            bytes: ENTRY_STATE_BYTES + entry.key.len() + entry.value.len(),
        };
        self.bytes += kept.bytes;
        self.order.insert(rank(&entry.key, kept));
        self.kept.insert(Arc::clone(&entry.key), kept);
        self.has_left_out |= self.is_full();
    }

    /// Removes an entry that is published no longer.
    pub fn forget(&mut self, key: &Arc<str>) {
        self.remove(key);
    }

    fn remove(&mut self, key: &Arc<str>) -> Option<Kept> {
        let kept = self.kept.remove(key)?;
        self.order.remove(&rank(key, kept));
        self.bytes -= kept.bytes;
        Some(kept)
    }

    /// Sets anew which entries calls may need, as the configuration has changed.
    pub fn set_needed(&mut self, is_needed: impl Fn(&str) -> bool) {
        for (key, kept) in &mut self.kept {
            let is_spare = !is_needed(key);
            if is_spare != kept.is_spare {
                self.order.remove(&rank(key, *kept));
                kept.is_spare = is_spare;
                self.order.insert(rank(key, *kept));
            }
        }
    }

    /// Removes the last entries until the others fit; returns their keys.
    pub fn evict(&mut self) -> Vec<Arc<str>> {
        let mut evicted = Vec::new();
        while self.bytes > ENTRIES_BYTES_MAX {
            let Some(last) = self.order.last().cloned() else {
                break;
            };
            self.remove(&last.key);
            evicted.push(last.key);
        }
        self.has_left_out |= !evicted.is_empty();
        evicted
    }

    /// Records that all entries were read; none was left out if there is room for another.
    pub fn record_whole(&mut self) {
        self.has_left_out = self.is_full();
    }

    /// Returns whether one more entry might not fit: a node that leaves entries out is that
    /// full, and so are its peers with the same entries.
    fn is_full(&self) -> bool {
        self.bytes + ENTRY_COST_MAX > ENTRIES_BYTES_MAX
    }

    /// Returns whether no entry was left out since all were read.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        !self.has_left_out
    }

    /// Returns whether entries may have been left out that calls need.
    ///
    /// Others are left out first, so none was while one of those is kept.
    #[must_use]
    pub fn may_lack_needed(&self) -> bool {
        self.has_left_out && self.order.last().is_none_or(|last| !last.is_spare)
    }

    /// Returns whether entries were left out for which there is room by now.
    #[must_use]
    pub fn has_room_again(&self) -> bool {
        self.has_left_out && self.bytes + ROOM_BYTES_MIN <= ENTRIES_BYTES_MAX
    }

    /// Returns the memory that the entries take, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.kept.len()
    }

    /// Returns whether there are no entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }
}

fn rank(key: &Arc<str>, kept: Kept) -> Rank {
    Rank {
        is_spare: kept.is_spare,
        since: kept.since,
        key: Arc::clone(key),
    }
}
