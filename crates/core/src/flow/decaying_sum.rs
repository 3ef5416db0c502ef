//! An exponentially decaying sum.

use std::time::{Duration, Instant};

/// Returns the fraction of a value left at an age; 1/e is left after `lifetime`.
pub(crate) fn decay_factor(age: Duration, lifetime: Duration) -> f64 {
    (-age.as_secs_f64() / lifetime.as_secs_f64()).exp()
}

/// Exponentially weighted sum over about the last `window`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DecayingSum {
    sum: f64,
    updated_at: Instant,
    window: Duration,
}

impl DecayingSum {
    /// Creates a sum with a first amount.
    pub(crate) fn new(now: Instant, window: Duration, amount: f64) -> Self {
        Self {
            sum: amount,
            updated_at: now,
            window,
        }
    }

    /// Returns the sum, decayed to the given time.
    pub(crate) fn get(&self, now: Instant) -> f64 {
        self.sum * decay_factor(now.saturating_duration_since(self.updated_at), self.window)
    }

    /// Adds an amount.
    pub(crate) fn add(&mut self, now: Instant, amount: f64) {
        *self = Self::new(now, self.window, self.get(now) + amount);
    }

    /// Returns when an amount was last added.
    pub(crate) fn updated_at(&self) -> Instant {
        self.updated_at
    }
}
