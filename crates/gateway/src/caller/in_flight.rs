//! Number of calls in flight.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Counts the calls whose answers have not been written.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallCount(Arc<AtomicUsize>);

/// Counts a call as in flight until dropped.
#[derive(Debug)]
pub(crate) struct InFlight(CallCount);

impl CallCount {
    pub(crate) fn start(&self) -> InFlight {
        self.0.fetch_add(1, Ordering::Relaxed);
        InFlight(self.clone())
    }

    pub(crate) fn get(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}
