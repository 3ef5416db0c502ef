//! Log lines whose number would grow with what callers send.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use briarbank_core::log_budget::LogLineBudget;

const PERIOD: Duration = Duration::from_secs(1);

/// Largest number of lines in a second.
const LINES_MAX: u32 = 20;

/// Lets a bounded number of lines pass in each second.
#[derive(Debug)]
pub(crate) struct LogGate(Mutex<(Instant, LogLineBudget)>);

impl Default for LogGate {
    fn default() -> Self {
        let budget = LogLineBudget::new(LINES_MAX);
        Self(Mutex::new((Instant::now(), budget)))
    }
}

impl LogGate {
    /// Counts a line and returns whether it may be written.
    pub(crate) fn take(&self) -> bool {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let (began_at, budget) = &mut *state;
        if began_at.elapsed() >= PERIOD {
            *began_at = Instant::now();
            let count = budget.end_period();
            if count > 0 {
                tracing::info!(count, "log: lines left out");
            }
        }
        budget.try_take()
    }
}
