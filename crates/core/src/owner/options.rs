//! Fixed choices of ownership.

use std::time::Duration;

/// Fixed choices of ownership; equal on all nodes of a fleet.
#[derive(Clone, Debug)]
pub struct Options {
    /// How long a committee member's confirmation counts for the owner.
    pub lease: Duration,
    /// Time between two requests for confirmation.
    pub ask_every: Duration,
    /// Time between two requests while a slot is not yet confirmed.
    pub ask_again: Duration,
    /// How long a request id is remembered; the promised retry window.
    pub retry_window: Duration,
    /// How far a caller's clock may be ahead.
    pub caller_clock_error: Duration,
    /// How far two nodes' clocks may differ; others are not counted.
    pub node_clock_error: Duration,
    /// Most request ids remembered.
    pub records_limit: usize,
    /// Most bytes of answers kept; further answers are not kept.
    pub answers_limit_bytes: usize,
    /// When callers refused for want of an owner are asked to come back.
    pub retry_after: Duration,
    /// How long a planned stop waits for a host list that names it leaving.
    pub stop_wait: Duration,
}

impl Options {
    /// How long a committee member stands by a confirmation, by its own clock.
    ///
    /// Longer than the lease by more than two clocks drift apart.
    pub(crate) fn promise(&self) -> Duration {
        self.lease + self.lease / 20
    }

    /// How much later than the start of an owner's records an id must be born to run.
    #[must_use]
    pub fn birth_margin(&self) -> Duration {
        self.caller_clock_error + 2 * self.node_clock_error
    }
}

impl Default for Options {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(5),
            ask_every: Duration::from_secs(2),
            ask_again: Duration::from_millis(200),
            retry_window: Duration::from_mins(2),
            caller_clock_error: Duration::from_secs(2),
            node_clock_error: Duration::from_secs(1),
            records_limit: 200_000,
            answers_limit_bytes: 64 << 20,
            retry_after: Duration::from_secs(2),
            stop_wait: Duration::from_secs(5),
        }
    }
}
