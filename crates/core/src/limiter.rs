//! Adaptive concurrency limit of one node at one server.
//!
//! Each node starts with an equal share of the slots of the server. While the server
//! answers promptly and the limit is in use, the limit grows in steps, so that shares
//! left idle by other nodes are used. Late first tokens, refusals and a queue at the
//! server cut it by a factor. The nodes share no counter.

use std::time::{Duration, Instant};

use crate::call::ServerLoad;

const CUT_RATIO: f64 = 0.85;
const CUT_INTERVAL: Duration = Duration::from_millis(500);
/// Increase of the limit per `limit` answers.
const GROWTH: f64 = 0.5;
/// Multiple of the expected time after which a first token counts as late.
const LATE_RATIO: f64 = 2.5;
/// Lower bound of the limit, as a fraction of the equal share.
const FLOOR_RATIO: f64 = 0.5;

/// Limit with additive increase and multiplicative decrease; see the module documentation.
///
/// # Examples
///
/// ```
/// use std::time::Instant;
/// use briarbank_core::limiter::Limiter;
///
/// let mut limiter = Limiter::new(16, 4);
/// assert_eq!(limiter.limit(), 4);
/// limiter.record_refusal(Instant::now());
/// assert_eq!(limiter.limit(), 3);
/// limiter.set_nodes(16, 1);
/// assert_eq!(limiter.limit(), 16);
/// ```
#[derive(Clone, Debug)]
pub struct Limiter {
    limit: f64,
    share: f64,
    ceiling: f64,
    last_cut: Option<Instant>,
}

impl Limiter {
    /// Creates a limiter for one of `nodes` equal nodes at a server with `slots`.
    #[must_use]
    pub fn new(slots: u32, nodes: usize) -> Self {
        let ceiling = f64::from(slots.max(1));
        let share = equal_share(ceiling, nodes);
        Self {
            limit: share,
            share,
            ceiling,
            last_cut: None,
        }
    }

    /// Maximum number of requests in flight, at least 1.
    #[must_use]
    pub fn limit(&self) -> u32 {
        (self.limit as u32).max(1)
    }

    /// Resets the limit if the equal share or the number of slots has changed.
    pub fn set_nodes(&mut self, slots: u32, nodes: usize) {
        let fresh = Self::new(slots, nodes);
        let differs = |a: f64, b: f64| (a - b).abs() >= f64::EPSILON;
        let same = !differs(fresh.share, self.share) && !differs(fresh.ceiling, self.ceiling);
        if !same {
            *self = fresh;
        }
    }

    /// Records the time to a first token and the expected time.
    pub fn record_first_token(
        &mut self,
        now: Instant,
        time: Duration,
        expected: Duration,
        in_flight: u32,
    ) {
        if time > expected.mul_f64(LATE_RATIO) {
            self.cut(now);
        } else if in_flight >= self.limit() {
            self.grow();
        }
    }

    /// Records a fresh report: a queue cuts the limit, a free slot lets it grow.
    pub fn record_report(&mut self, now: Instant, load: ServerLoad, in_flight: u32) {
        if load.waiting > 0 {
            self.cut(now);
        } else if f64::from(load.running) < self.ceiling && in_flight >= self.limit() {
            self.grow();
        }
    }

    fn grow(&mut self) {
        self.limit = (self.limit + GROWTH / self.limit).min(self.ceiling);
    }

    /// Records that the server refused a request because it is full.
    pub fn record_refusal(&mut self, now: Instant) {
        self.cut(now);
    }

    fn cut(&mut self, now: Instant) {
        let recent = |cut: Instant| now.saturating_duration_since(cut) < CUT_INTERVAL;
        if self.last_cut.is_some_and(recent) {
            return;
        }
        self.last_cut = Some(now);
        let floor = (self.share * FLOOR_RATIO).max(1.0);
        self.limit = (self.limit * CUT_RATIO).max(floor);
    }
}

fn equal_share(slots: f64, nodes: usize) -> f64 {
    (slots / nodes.max(1) as f64).max(1.0)
}
