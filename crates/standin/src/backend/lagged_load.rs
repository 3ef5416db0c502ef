//! Load reports that lag behind the true load.

use std::sync::Mutex;
use std::time::Duration;

use tokio::time::Instant;

use super::control::locked;
use super::switches::ReportedLoad;

#[derive(Debug)]
struct Snapshot {
    running: u32,
    waiting: u32,
    taken_at: Instant,
}

/// Snapshot of the load that is refreshed only after the lag.
#[derive(Debug)]
pub(crate) struct LaggedLoad {
    lag: Duration,
    snapshot: Mutex<Snapshot>,
}

impl LaggedLoad {
    pub(crate) fn new(lag: Duration) -> Self {
        let snapshot = Snapshot {
            running: 0,
            waiting: 0,
            taken_at: Instant::now(),
        };
        Self {
            lag,
            snapshot: Mutex::new(snapshot),
        }
    }

    /// Returns the load to report, given the true load.
    pub(crate) fn report(&self, running: u32, waiting: u32) -> ReportedLoad {
        let now = Instant::now();
        let mut snapshot = locked(&self.snapshot);
        let age = now.saturating_duration_since(snapshot.taken_at);
        let report = ReportedLoad {
            running: snapshot.running,
            waiting: snapshot.waiting,
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        };
        if age < self.lag {
            return report;
        }
        *snapshot = Snapshot {
            running,
            waiting,
            taken_at: now,
        };
        ReportedLoad {
            running,
            waiting,
            age_ms: 0,
        }
    }
}
