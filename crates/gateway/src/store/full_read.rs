//! Values that are being read page by page.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use briarbank_core::flow::{Change, Delta, EntryBound, ValueKind, era_of};

use super::reader::ReadError;
use crate::apply::Source;
use crate::dialect::{Page, ValueRange};
use crate::shared::SharedState;

/// Time after which the values so far are applied, though others are still to be read.
const APPLY_INTERVAL: Duration = Duration::from_secs(1);

/// The values of a read of all ranges, which may remain incomplete.
#[derive(Debug)]
pub(super) struct FullRead {
    /// Revision of the first page.
    revision: u64,
    documents: Vec<Change>,
    entries: HashMap<Arc<str>, Change>,
    /// Which entries are kept of those that the node doesn't have yet.
    bound: EntryBound,
    left_out: usize,
    complete: Vec<ValueRange>,
    applied_at: Instant,
}

impl FullRead {
    pub(super) fn start() -> Self {
        Self {
            revision: 0,
            documents: Vec::new(),
            entries: HashMap::new(),
            bound: EntryBound::default(),
            left_out: 0,
            complete: Vec::new(),
            applied_at: Instant::now(),
        }
    }

    /// Adds a page.
    ///
    /// # Errors
    ///
    /// The store came back from an earlier copy since the first page.
    pub(super) fn add(&mut self, shared: &SharedState, mut page: Page) -> Result<(), ReadError> {
        if self.revision == 0 {
            // Later pages may be newer; the watch continues from the first page's revision.
            self.revision = page.delta.revision;
        }
        if era_of(page.delta.revision) != era_of(self.revision) {
            return Err(ReadError::HistoryLost);
        }
        shared.retain_usable(&mut page.delta.changes);
        for change in page.delta.changes {
            if shared.kind_of(&change.key) == ValueKind::Document {
                self.documents.push(change);
            } else {
                self.add_entry(shared, change);
            }
        }
        Ok(())
    }

    /// Adds an entry; one that the node has is not left out.
    fn add_entry(&mut self, shared: &SharedState, entry: Change) {
        let known = shared.values.borrow().get(&entry.key).cloned();
        if known.is_none() {
            self.bound.insert(&entry, shared.is_needed(&entry));
        }
        let known = known.filter(|known| known.revision == entry.revision);
        let entry = known.unwrap_or(entry);
        self.entries.insert(Arc::clone(&entry.key), entry);
        for key in self.bound.evict() {
            self.left_out += 1;
            self.entries.remove(&key);
        }
    }

    /// Records that all pages of a range were added.
    pub(super) fn finish(&mut self, shared: &SharedState, range: ValueRange) {
        self.complete.push(range);
        if range == ValueRange::Config {
            // Which entries are kept depends on it.
            self.apply_documents(shared);
        }
    }

    pub(super) fn is_complete(&self) -> bool {
        ValueRange::ALL.iter().all(|r| self.complete.contains(r))
    }

    /// Applies the values so far if others take long.
    pub(super) fn apply_if_slow(&mut self, shared: &SharedState) {
        if self.applied_at.elapsed() >= APPLY_INTERVAL {
            self.apply(shared);
        }
    }

    /// Applies the values so far; values are removed only of kinds that are complete.
    pub(super) fn apply(&mut self, shared: &SharedState) {
        self.applied_at = Instant::now();
        if self.is_complete() {
            let changes = [self.documents.as_slice(), &self.entries()].concat();
            let all = self.delta(true, changes);
            shared.record_left_out(std::mem::take(&mut self.left_out));
            shared.apply(&all, None, Source::Store);
            return;
        }
        self.apply_documents(shared);
        // Servers must not be known before the evacuations of their zones, and whether an entry
        // came back with an earlier copy shows only in all of them.
        let known = shared.values.borrow().mirror(ValueKind::Entry).revision();
        let is_same_era = known == 0 || era_of(known) == era_of(self.revision);
        if self.complete.contains(&ValueRange::Evacuations) && is_same_era {
            let entries = self.delta(false, self.entries());
            shared.apply(&entries, Some(ValueKind::Entry), Source::Store);
        }
    }

    fn apply_documents(&self, shared: &SharedState) {
        let is_whole = self.complete.contains(&ValueRange::Config);
        if is_whole || !self.documents.is_empty() {
            let documents = self.delta(is_whole, self.documents.clone());
            shared.apply(&documents, Some(ValueKind::Document), Source::Store);
        }
    }

    fn entries(&self) -> Vec<Change> {
        self.entries.values().cloned().collect()
    }

    /// Returns changes as a delta, with the revision only if no others follow.
    fn delta(&self, is_whole: bool, changes: Vec<Change>) -> Delta {
        Delta {
            revision: if is_whole { self.revision } else { 0 },
            is_whole,
            changes,
            removals: Vec::new(),
        }
    }
}
