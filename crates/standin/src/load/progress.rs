//! Progress of a load that runs.

use std::fmt;
use std::time::Duration;

/// Figures so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Time since the begin.
    pub elapsed: Duration,
    /// Calls that arrived.
    pub offered: u64,
    /// Calls that ended.
    pub ended: u64,
    /// Calls that attained their targets.
    pub attained: u64,
    /// Calls in flight.
    pub in_flight: usize,
}

impl fmt::Display for Progress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:>5.0} s: {} offered, {} ended, {} attained, {} in flight",
            self.elapsed.as_secs_f64(),
            self.offered,
            self.ended,
            self.attained,
            self.in_flight
        )
    }
}
