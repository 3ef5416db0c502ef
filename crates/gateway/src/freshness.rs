//! Whether the node sees changes of published values as they happen.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// Time without proof of up-to-date values after which the next changes may be old.
///
/// Six heartbeat intervals: a node that hears of a change fetches it within one or two.
const GAP_MIN: Duration = Duration::from_millis(500);

/// Time after a gap in which changes may still arrive that the node has missed.
const CATCH_UP_TIME: Duration = Duration::from_secs(1);

/// When the node's values were last as new as those of the store and of its peers.
#[derive(Debug, Default)]
pub(crate) struct Freshness {
    current_at: Cell<Option<Instant>>,
    checked_at: Cell<Option<Instant>>,
    catches_up_until: Cell<Option<Instant>>,
}

impl Freshness {
    /// Records that changes may have been missed until now.
    pub(crate) fn record_gap(&self, now: Instant) {
        self.catches_up_until.set(Some(now + CATCH_UP_TIME));
    }

    /// Records a regular check of whether the values are as new as those of others.
    ///
    /// A check that is late means that the process stood still.
    pub(crate) fn record_check(&self, now: Instant, is_current: bool) {
        let checked_at = self.checked_at.replace(Some(now));
        if checked_at.is_none_or(|at| now.saturating_duration_since(at) >= GAP_MIN) {
            self.record_gap(now);
        }
        if is_current {
            self.current_at.set(Some(now));
        }
    }

    /// Returns whether a change that arrives now has just been made.
    pub(crate) fn is_following(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < GAP_MIN;
        let has_caught_up = self
            .catches_up_until
            .get()
            .is_some_and(|until| now >= until);
        // A process that stood still may handle a change before the next check.
        has_caught_up
            && self.checked_at.get().is_some_and(is_recent)
            && self.current_at.get().is_some_and(is_recent)
    }
}
