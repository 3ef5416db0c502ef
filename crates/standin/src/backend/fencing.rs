//! Fencing numbers of calls.

use std::sync::atomic::{AtomicU64, Ordering};

/// Highest fencing number received.
#[derive(Debug, Default)]
pub(crate) struct Fencing(AtomicU64);

impl Fencing {
    /// Records a number and returns whether no higher one was received before.
    pub(crate) fn observe(&self, number: u64) -> bool {
        self.0.fetch_max(number, Ordering::Relaxed) <= number
    }
}
