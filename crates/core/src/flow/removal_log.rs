//! When published values were removed, as far as is known.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Time for which removals are remembered: longer than any server is used after its
/// entry is removed.
const RECORD_TTL: Duration = Duration::from_mins(1);

/// Removals that are remembered; further ones are not recorded.
const RECORDS_MAX: usize = 4_096;

/// A removal as it is passed on to peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RemovalNote {
    /// Key of the value.
    pub key: Arc<str>,
    /// Time since a node read the removal from the store.
    pub age_ms: u32,
    /// Whether the value may have lapsed because the store was unreachable.
    pub may_have_lapsed: bool,
}

/// A removal that this node knows of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RemovalRecord {
    /// When a node read the removal from the store.
    pub read_at: Instant,
    /// Whether the value may have lapsed because the store was unreachable.
    pub may_have_lapsed: bool,
}

/// Removals of the last minute, by key.
///
/// A node that learns of a removal late, from a peer, thereby counts bounds on the use of
/// the server from the same moment as the node that read it from the store.
#[derive(Clone, Debug, Default)]
pub struct RemovalLog {
    records: HashMap<Arc<str>, RemovalRecord>,
}

impl RemovalLog {
    /// Records a removal; the earlier one of the same key is replaced.
    pub fn record(&mut self, key: &Arc<str>, record: RemovalRecord) {
        if self.records.len() < RECORDS_MAX || self.records.contains_key(key) {
            self.records.insert(Arc::clone(key), record);
        }
    }

    /// Forgets the removal of a key that has a value again, and returns it.
    pub fn forget(&mut self, key: &str) -> Option<RemovalRecord> {
        self.records.remove(key)
    }

    /// Returns the removal of a key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<RemovalRecord> {
        self.records.get(key).copied()
    }

    /// Returns all removals, for peers, and drops those that are out of date.
    pub fn notes(&mut self, now: Instant) -> Vec<RemovalNote> {
        let age = |r: &RemovalRecord| now.saturating_duration_since(r.read_at);
        self.records.retain(|_, record| age(record) < RECORD_TTL);
        let note = |(key, record): (&Arc<str>, &RemovalRecord)| RemovalNote {
            key: Arc::clone(key),
            age_ms: age(record).as_millis() as u32,
            may_have_lapsed: record.may_have_lapsed,
        };
        self.records.iter().map(note).collect()
    }
}

impl RemovalNote {
    /// Returns the record of a note that arrives now.
    #[must_use]
    pub fn to_record(&self, now: Instant) -> RemovalRecord {
        let age = Duration::from_millis(u64::from(self.age_ms));
        RemovalRecord {
            // A clock that started later than the removal bounds the age.
            read_at: now.checked_sub(age).unwrap_or(now),
            may_have_lapsed: self.may_have_lapsed,
        }
    }
}
