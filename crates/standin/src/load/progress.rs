//! Progress of a running load.

use std::fmt;
use std::time::Duration;

/// Counts of calls since the start of the load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Time since the start of the load.
    pub elapsed: Duration,
    /// Number of calls that arrived.
    pub offered: u64,
    /// Number of calls that ended.
    pub ended: u64,
    /// Number of calls that attained their objectives.
    pub attained: u64,
    /// Number of calls in flight.
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
