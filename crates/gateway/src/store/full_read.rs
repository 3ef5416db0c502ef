//! Values that are being read page by page.

use std::time::{Duration, Instant};

use briarbank_core::flow::{Delta, ValueKind, era_of};

use super::reader::ReadError;
use crate::apply::Source;
use crate::dialect::{Page, ValueRange};
use crate::shared::SharedState;

/// Time after which the values so far are applied, though others are still to be read.
const APPLY_INTERVAL: Duration = Duration::from_secs(1);

/// The values of a read of all ranges, which may remain incomplete.
#[derive(Debug)]
pub(super) struct FullRead {
    /// All values so far, at the revision of the first page.
    values: Delta,
    complete: Vec<ValueRange>,
    applied_at: Instant,
}

impl FullRead {
    pub(super) fn start() -> Self {
        Self {
            values: Delta {
                is_whole: true,
                ..Delta::default()
            },
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
        if self.values.revision == 0 {
            // Later pages may be newer; the watch continues from the first page's revision.
            self.values.revision = page.delta.revision;
        }
        if era_of(page.delta.revision) != era_of(self.values.revision) {
            return Err(ReadError::HistoryLost);
        }
        shared.retain_usable(&mut page.delta.changes);
        self.values.changes.extend(page.delta.changes);
        Ok(())
    }

    /// Records that all pages of a range were added.
    pub(super) fn finish(&mut self, range: ValueRange) {
        self.complete.push(range);
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
            shared.apply(&self.values, None, Source::Store);
            return;
        }
        if self.values.changes.is_empty() {
            return;
        }
        let partial = Delta {
            revision: 0,
            is_whole: false,
            changes: self.values.changes.clone(),
            removals: Vec::new(),
        };
        let documents = if self.complete.contains(&ValueRange::Config) {
            &self.values
        } else {
            &partial
        };
        shared.apply(documents, Some(ValueKind::Document), Source::Store);
        // Servers must not be known before the evacuations of their zones, and whether an entry
        // came back with an earlier copy shows only in all of them.
        let known = shared.values.borrow().mirror(ValueKind::Entry).revision();
        let is_same_era = known == 0 || era_of(known) == era_of(self.values.revision);
        if self.complete.contains(&ValueRange::Evacuations) && is_same_era {
            shared.apply(&partial, Some(ValueKind::Entry), Source::Store);
        }
    }
}
