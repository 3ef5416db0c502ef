//! Task that runs the steps of the batch in real time.

use std::convert::Infallible;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use briarbank_config::EngineSettings;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::batch::{Batch, BatchCounters, Job};
use crate::backend::{Gate, locked};

/// Longest delay that later steps compensate for.
const CATCH_UP_MAX: Duration = Duration::from_millis(200);

/// Batch and the schedule of its steps.
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

    /// Queues a job; returns `false` if the queue is full.
    pub(crate) fn enqueue(&self, job: Job) -> bool {
        let is_queued = locked(&self.batch).enqueue(job);
        self.queued.notify_one();
        is_queued
    }

    /// Drops all jobs and cached prefixes.
    pub(crate) fn clear(&self) {
        locked(&self.batch).clear();
    }

    pub(crate) fn counters(&self) -> BatchCounters {
        locked(&self.batch).counters()
    }

    /// Runs the steps of the batch forever.
    pub(crate) async fn run(self: Arc<Self>) -> Infallible {
        let mut next_step_at = Instant::now();
        loop {
            self.gate.wait_while_frozen().await;
            let factor = self.gate.switches().straggle_factor;
            let now = Instant::now();
            let step = locked(&self.batch).step(now, factor);
            let Some(step) = step else {
                self.queued.notified().await;
                next_step_at = Instant::now();
                continue;
            };
            next_step_at = (next_step_at + step).max(now.checked_sub(CATCH_UP_MAX).unwrap_or(now));
            if next_step_at > now {
                tokio::time::sleep_until(next_step_at).await;
            } else {
                tokio::task::yield_now().await;
            }
        }
    }
}
