//! Task that steps the batch in real time.

use std::convert::Infallible;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use briarbank_config::EngineSettings;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::batch::{Batch, BatchCounters, Job};
use crate::backend::{Gate, locked};

/// Longest delay that steps make up for.
const CATCH_UP: Duration = Duration::from_millis(200);

/// The batch, and the schedule of its steps.
pub(crate) struct Stepper {
    batch: Mutex<Batch>,
    queued: Notify,
    gate: Arc<Gate>,
}

impl Stepper {
    pub(crate) fn new(settings: &EngineSettings, gate: Arc<Gate>) -> Arc<Self> {
        Arc::new(Self {
            batch: Mutex::new(Batch::new(settings)),
            queued: Notify::new(),
            gate,
        })
    }

    /// Puts a job into the queue, or `false` if the queue is full.
    pub(crate) fn push(&self, job: Job) -> bool {
        let pushed = locked(&self.batch).push(job);
        self.queued.notify_one();
        pushed
    }

    /// Drops all jobs.
    pub(crate) fn clear(&self) {
        locked(&self.batch).clear();
    }

    pub(crate) fn counters(&self) -> BatchCounters {
        locked(&self.batch).counters()
    }

    /// Steps the batch for ever.
    pub(crate) async fn run(self: Arc<Self>) -> Infallible {
        let mut due = Instant::now();
        loop {
            self.gate.thawed().await;
            let factor = self.gate.switches().straggle_factor;
            let now = Instant::now();
            let step = locked(&self.batch).step(now, factor);
            let Some(step) = step else {
                self.queued.notified().await;
                due = Instant::now();
                continue;
            };
            due = (due + step).max(now.checked_sub(CATCH_UP).unwrap_or(now));
            if due > now {
                tokio::time::sleep_until(due).await;
            } else {
                tokio::task::yield_now().await;
            }
        }
    }
}
