//! Timer that is polled with the current time.

use std::time::{Duration, Instant};

/// A point in time at which work is due; a new timer is due at once.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Timer(Option<Instant>);

impl Timer {
    /// Whether the timer is due.
    pub(crate) fn is_due(self, now: Instant) -> bool {
        self.0.is_none_or(|at| now >= at)
    }

    /// Schedules the timer after `pause`.
    pub(crate) fn schedule(&mut self, now: Instant, pause: Duration) {
        self.0 = Some(now + pause);
    }

    /// Makes the timer due at once.
    pub(crate) fn make_due(&mut self) {
        self.0 = None;
    }
}
