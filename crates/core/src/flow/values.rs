//! All published values, replicated in two kinds.
//!
//! A change of a few bytes must not wait for one of a megabyte: entries of servers change
//! often and at once for their callers, as do evacuations of zones, documents such as the
//! configuration are large.
//! Nodes tell each other the newest change of each kind that they have, and fetch the
//! kinds apart.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::flow::mirror::{Change, Delta, Mirror};

/// Kind of a published value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ValueKind {
    /// The entry of a server or the evacuation of a zone: small.
    Entry,
    /// All others, such as the configuration: perhaps large.
    Document,
}

impl ValueKind {
    /// All kinds.
    pub const ALL: [Self; 2] = [Self::Entry, Self::Document];
}

/// What a node says of its values in heartbeats.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ValuesStatement {
    /// Revision of the newest change of an entry.
    pub entry_revision: u64,
    /// Revision of the newest change of a document.
    pub document_revision: u64,
    /// Rate of the node's own link in Mbit/s, 0 if unknown.
    pub link_mbps: u32,
}

impl ValuesStatement {
    /// Returns the revision of the newest change of a kind.
    #[must_use]
    pub fn revision_of(&self, kind: ValueKind) -> u64 {
        match kind {
            ValueKind::Entry => self.entry_revision,
            ValueKind::Document => self.document_revision,
        }
    }
}

/// Replica of all published values.
///
/// # Examples
///
/// ```
/// use briarbank_core::flow::{Change, Delta, ValueKind, Values};
///
/// let kind_of = |key: &str| match key {
///     "config" => ValueKind::Document,
///     _ => ValueKind::Entry,
/// };
/// let change = |key: &str, revision| Change { key: key.into(), revision, value: b"{}"[..].into() };
/// let mut values = Values::default();
/// for (key, revision) in [("config", 7), ("server", 8)] {
///     let changes = vec![change(key, revision)];
///     values.apply(&Delta { revision, changes, ..Delta::default() }, kind_of);
/// }
/// assert_eq!(values.changes_since(ValueKind::Entry, 7).changes, [change("server", 8)]);
/// assert!(values.changes_since(ValueKind::Document, 7).changes.is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Values {
    entries: Mirror,
    documents: Mirror,
}

impl Values {
    /// Returns the revision up to which all values are complete, 0 before the first read.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.entries.revision().min(self.documents.revision())
    }

    /// Returns the replica of one kind.
    #[must_use]
    pub fn mirror(&self, kind: ValueKind) -> &Mirror {
        match kind {
            ValueKind::Entry => &self.entries,
            ValueKind::Document => &self.documents,
        }
    }

    fn mirror_mut(&mut self, kind: ValueKind) -> &mut Mirror {
        match kind {
            ValueKind::Entry => &mut self.entries,
            ValueKind::Document => &mut self.documents,
        }
    }

    /// Returns the value of a key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&Change> {
        self.documents.get(key).or_else(|| self.entries.get(key))
    }

    /// Applies changes of all kinds and returns the keys that were changed or removed.
    pub fn apply(
        &mut self,
        delta: &Delta,
        kind_of: impl Fn(&str) -> ValueKind,
    ) -> BTreeSet<Arc<str>> {
        let mut changed = BTreeSet::new();
        for kind in ValueKind::ALL {
            let part = Delta {
                changes: select(&delta.changes, |c| kind_of(&c.key) == kind),
                removals: select(&delta.removals, |r| kind_of(&r.key) == kind),
                ..*delta
            };
            changed.extend(self.apply_kind(kind, &part));
        }
        changed
    }

    /// Applies changes of one kind and returns the keys that were changed or removed.
    pub fn apply_kind(&mut self, kind: ValueKind, delta: &Delta) -> BTreeSet<Arc<str>> {
        self.mirror_mut(kind).apply(delta)
    }

    /// Leaves out an entry, though it was not removed.
    pub fn leave_out(&mut self, key: &str) {
        self.entries.leave_out(key);
    }

    /// Returns whether no change is missing that a peer has by its statement.
    #[must_use]
    pub fn has_all_of(&self, statement: &ValuesStatement) -> bool {
        let has_all = |kind| {
            let own = self.mirror(kind).revision();
            own > 0 && own >= statement.revision_of(kind)
        };
        ValueKind::ALL.into_iter().all(has_all)
    }

    /// Takes over that nothing has changed up to `revision` beyond what a peer states.
    pub fn advance(&mut self, revision: u64, statement: &ValuesStatement) {
        if self.has_all_of(statement) {
            for kind in ValueKind::ALL {
                self.mirror_mut(kind).advance(revision);
            }
        }
    }

    /// Returns the changes of one kind after `revision`, or all values of the kind.
    #[must_use]
    pub fn changes_since(&self, kind: ValueKind, revision: u64) -> Delta {
        self.mirror(kind).changes_since(revision)
    }

    /// Returns the changes of all kinds after `revision`, or all values.
    #[must_use]
    pub fn all_changes_since(&self, revision: u64) -> Delta {
        let parts = ValueKind::ALL.map(|kind| self.changes_since(kind, revision));
        let is_whole = parts.iter().any(|part| part.is_whole);
        // A list that is whole for one kind must hold all of the other kind as well.
        let since = if is_whole { 0 } else { revision };
        let [entries, documents] = ValueKind::ALL.map(|kind| self.changes_since(kind, since));
        Delta {
            revision: self.revision(),
            is_whole,
            changes: [entries.changes, documents.changes].concat(),
            removals: [entries.removals, documents.removals].concat(),
        }
    }

    /// Returns what to say of the values in heartbeats.
    #[must_use]
    pub fn statement(&self, link_mbps: u32) -> ValuesStatement {
        ValuesStatement {
            entry_revision: self.entries.changed_revision(),
            document_revision: self.documents.changed_revision(),
            link_mbps,
        }
    }
}

fn select<T: Clone>(items: &[T], is_selected: impl Fn(&T) -> bool) -> Vec<T> {
    let selected = items.iter().filter(|item| is_selected(item));
    selected.cloned().collect()
}
