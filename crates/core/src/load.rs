//! Load of a server as estimated by one node.
//!
//! The node knows its own requests exactly. Requests of other nodes appear only in
//! reports, which lag, so their number decays as the report ages.

use std::time::{Duration, Instant};

use crate::call::ServerLoad;

/// Half-life of the requests of other nodes in the last report.
const HALF_LIFE: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug)]
struct Report {
    others: f64,
    measured: Instant,
}

/// Own requests and the last report; see the module documentation.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use briarbank_core::call::ServerLoad;
/// use briarbank_core::load::LoadView;
///
/// let now = Instant::now();
/// let mut view = LoadView::default();
/// view.record_start();
/// view.record_report(now, ServerLoad { running: 5, waiting: 0, age_ms: 0 });
/// assert!((view.requests(now) - 5.0).abs() < 1e-9);
/// let later = now + Duration::from_secs(2);
/// assert!((view.requests(later) - 3.0).abs() < 1e-9);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadView {
    own_requests: u32,
    report: Option<Report>,
}

impl LoadView {
    /// Records that a request was sent.
    pub fn record_start(&mut self) {
        self.own_requests += 1;
    }

    /// Records that a request ended.
    pub fn record_end(&mut self) {
        self.own_requests = self.own_requests.saturating_sub(1);
    }

    /// Number of own requests in flight.
    #[must_use]
    pub fn own_requests(&self) -> u32 {
        self.own_requests
    }

    /// Records a report, unless it is older than the last one.
    pub fn record_report(&mut self, now: Instant, load: ServerLoad) {
        let age = Duration::from_millis(load.age_ms);
        let measured = now.checked_sub(age).unwrap_or(now);
        if self.report.is_some_and(|last| last.measured > measured) {
            return;
        }
        let total = load.running.saturating_add(load.waiting);
        let others = f64::from(total.saturating_sub(self.own_requests));
        self.report = Some(Report { others, measured });
    }

    /// Expected number of requests at the server, including own ones.
    #[must_use]
    pub fn requests(&self, now: Instant) -> f64 {
        f64::from(self.own_requests) + self.others(now)
    }

    fn others(&self, now: Instant) -> f64 {
        let Some(report) = self.report else {
            return 0.0;
        };
        let age = now.saturating_duration_since(report.measured);
        let half_lives = age.as_secs_f64() / HALF_LIFE.as_secs_f64();
        report.others * (-half_lives).exp2()
    }
}
