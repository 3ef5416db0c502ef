//! Fencing numbers of orders.

use std::sync::atomic::{AtomicU64, Ordering};

/// Highest fencing number seen.
#[derive(Debug, Default)]
pub(crate) struct Fencing(AtomicU64);

impl Fencing {
    /// Records a number, and whether it is the highest so far or equal to it.
    pub(crate) fn observe(&self, number: u64) -> bool {
        self.0.fetch_max(number, Ordering::Relaxed) <= number
    }
}
