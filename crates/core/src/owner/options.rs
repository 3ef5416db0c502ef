//! Options of ownership.

use std::time::Duration;

/// Options of ownership; they must be equal on all nodes of a fleet.
#[derive(Clone, Debug)]
pub struct Options {
    /// Time for which an owner may rely on a committee member's confirmation.
    ///
    /// Bounds how long a new owner has to wait for one that failed.
    pub lease: Duration,
    /// Time between two requests to confirm the slots that are held.
    pub renew_interval: Duration,
    /// Time between two requests to confirm a slot that is not yet held.
    pub acquire_interval: Duration,
    /// Time for which request ids are recorded; the promised retry window.
    pub retry_window: Duration,
    /// Maximum time by which a caller's clock may be ahead.
    pub caller_clock_error: Duration,
    /// Maximum difference of two nodes' clocks.
    ///
    /// Confirmations of members whose clocks differ by more are ignored.
    pub node_clock_error: Duration,
    /// Maximum number of recorded request ids.
    pub records_limit: usize,
    /// Maximum bytes of stored answers; further answers are not stored.
    pub answers_limit_bytes: usize,
    /// Time after which callers refused for lack of an owner may retry.
    pub retry_after: Duration,
    /// Time that a graceful shutdown waits for its slots to be handed over.
    ///
    /// They move when a host list names this host as leaving.
    pub stop_timeout: Duration,
}

impl Options {
    /// Time for which a confirmation binds a committee member, by its own clock.
    ///
    /// Exceeds the lease by more than two clocks drift apart in that time.
    pub(crate) fn promise_duration(&self) -> Duration {
        self.lease + self.lease / 20
    }

    /// Minimum time from the start of an owner's records to a new id's creation.
    ///
    /// An earlier id may have been used before the records began.
    #[must_use]
    pub fn creation_margin(&self) -> Duration {
        self.caller_clock_error + 2 * self.node_clock_error
    }
}

impl Default for Options {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(5),
            renew_interval: Duration::from_secs(2),
            acquire_interval: Duration::from_millis(200),
            retry_window: Duration::from_mins(2),
            caller_clock_error: Duration::from_secs(2),
            node_clock_error: Duration::from_secs(1),
            records_limit: 200_000,
            answers_limit_bytes: 64 << 20,
            retry_after: Duration::from_secs(2),
            stop_timeout: Duration::from_secs(5),
        }
    }
}
