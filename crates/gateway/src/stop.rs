//! State of a planned stop.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

/// Time after the signal in which connections and calls are still accepted.
///
/// The balancer checks readiness once a second and leaves a node out after two failures.
pub(crate) const ACCEPT_PERIOD: Duration = Duration::from_millis(2_900);

/// Whether and since when the node is stopping.
#[derive(Debug, Default)]
pub(crate) struct Stop {
    since: Cell<Option<Instant>>,
    begun: Notify,
}

impl Stop {
    pub(crate) fn begin(&self) {
        if self.since.get().is_none() {
            self.since.set(Some(Instant::now()));
            self.begun.notify_waiters();
        }
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.since.get().is_some()
    }

    /// Returns whether new calls are refused because they could not finish in time.
    pub(crate) fn is_closed(&self) -> bool {
        self.since
            .get()
            .is_some_and(|at| at.elapsed() > ACCEPT_PERIOD)
    }

    /// Completes when new calls are refused.
    pub(crate) async fn closed(&self) {
        let begun = self.begun.notified();
        if self.since.get().is_none() {
            begun.await;
        }
        let since = self.since.get().unwrap_or_else(Instant::now);
        sleep_until(since + ACCEPT_PERIOD).await;
    }
}
