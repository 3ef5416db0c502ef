//! Tasks that run for the node's lifetime.

use std::sync::Arc;
use std::time::Duration;

use briarbank_core::conf::Key;
use briarbank_core::node::Event;
use briarbank_meter::PrometheusHandle;
use tokio::sync::{mpsc, watch};
use tokio::time::{MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::control::Control;
use crate::platform::{Platform, watch as watch_value};
use crate::recorder;
use crate::server::Pool;

/// Time between two cleanups of idle connections and recorded durations.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Starts the tasks that run for the node's lifetime.
pub(crate) struct Background {
    pub(crate) control: Control,
    pub(crate) tasks: TaskTracker,
    pub(crate) end: CancellationToken,
}

impl Background {
    /// Starts the ticks, the periodic cleanup and the forwarding of reports.
    pub(crate) fn start(&self, tick: Duration, pool: Pool, reports: mpsc::Receiver<Event>) {
        self.spawn(tick_forever(self.control.clone(), tick));
        self.spawn(sweep_forever(pool, recorder::install()));
        self.spawn(forward_reports(self.control.clone(), reports));
    }

    /// Watches the platform's values while `wanted` is true.
    pub(crate) fn watch(&self, platform: &Arc<dyn Platform>, wanted: &watch::Receiver<bool>) {
        for key in Key::ALL {
            let platform = Arc::clone(platform);
            let watch = watch_value(platform, key, self.control.clone(), wanted.clone());
            self.spawn(watch);
        }
    }

    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let end = self.end.clone();
        self.tasks.spawn(async move {
            tokio::select! {
                () = end.cancelled() => {}
                () = task => {}
            }
        });
    }
}

async fn tick_forever(control: Control, period: Duration) {
    let mut ticks = interval(period);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        control.tick().await;
    }
}

async fn sweep_forever(pool: Pool, metrics: PrometheusHandle) {
    let mut ticks = interval(SWEEP_INTERVAL);
    loop {
        ticks.tick().await;
        pool.close_expired();
        // Recorded durations are buffered in memory until upkeep runs.
        metrics.run_upkeep();
    }
}

/// Sends reports to the control actor one by one, which bounds its mailbox.
async fn forward_reports(control: Control, mut reports: mpsc::Receiver<Event>) {
    while let Some(event) = reports.recv().await {
        control.send_event(event);
        control.wait_until_handled().await;
    }
}
