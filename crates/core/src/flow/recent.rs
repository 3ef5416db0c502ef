//! A sum in which what was added counts less as it ages.

use std::time::{Duration, Instant};

/// Part of a value that is left at an age, when 1/e is left after `life`.
pub(crate) fn part_left(age: Duration, life: Duration) -> f64 {
    (-age.as_secs_f64() / life.as_secs_f64()).exp()
}

/// An exponentially weighted sum over about the last `window`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RecentSum {
    sum: f64,
    at: Instant,
    window: Duration,
}

impl RecentSum {
    /// Begins with an amount.
    pub(crate) fn new(now: Instant, window: Duration, amount: f64) -> Self {
        Self {
            sum: amount,
            at: now,
            window,
        }
    }

    /// The sum as it counts now.
    pub(crate) fn get(&self, now: Instant) -> f64 {
        self.sum * part_left(now.saturating_duration_since(self.at), self.window)
    }

    /// Adds to the sum.
    pub(crate) fn add(&mut self, now: Instant, amount: f64) {
        *self = Self::new(now, self.window, self.get(now) + amount);
    }

    /// When something was last added.
    pub(crate) fn at(&self) -> Instant {
        self.at
    }
}
