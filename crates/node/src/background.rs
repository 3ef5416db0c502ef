//! Tasks that run as long as the node does.

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

/// Time between two sweeps of idle connections and recorded times.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Tasks that run as long as the node does.
pub(crate) struct Background {
    pub(crate) control: Control,
    pub(crate) tasks: TaskTracker,
    pub(crate) end: CancellationToken,
}

impl Background {
    /// Starts the ticks, the sweeps and the hand-over of reports.
    pub(crate) fn start(&self, tick: Duration, pool: Pool, reports: mpsc::Receiver<Event>) {
        self.spawn(tick_forever(self.control.clone(), tick));
        self.spawn(sweep_forever(pool, recorder::install()));
        self.spawn(report_forever(self.control.clone(), reports));
    }

    /// Watches the platform's values for as long as `wanted` says so.
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
        pool.sweep();
        // Recorded times wait in memory until this.
        metrics.run_upkeep();
    }
}

/// Hands reports to the control actor one by one, so that few wait there.
async fn report_forever(control: Control, mut reports: mpsc::Receiver<Event>) {
    while let Some(event) = reports.recv().await {
        control.event(event);
        control.settle().await;
    }
}
