//! Adaptive limit of one node's requests in flight at one server.
//!
//! Each node begins with its part of the server's slots. While the server
//! answers promptly and the limit is in use, the limit grows step by step, so
//! that parts left idle by other nodes are used; late first tokens, refusals
//! and a queue at the server cut it by a factor. No counter is shared among the nodes.

use std::time::{Duration, Instant};

use crate::call::ServerLoad;

const CUT_RATIO: f64 = 0.85;
const CUT_INTERVAL: Duration = Duration::from_millis(500);
const GROWTH: f64 = 0.5;
const TOLERANCE: f64 = 2.5;
const FLOOR_RATIO: f64 = 0.5;

/// Additive increase, multiplicative decrease; see the module's page.
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
    part: f64,
    ceiling: f64,
    last_cut: Option<Instant>,
}

impl Limiter {
    /// The part of one of `nodes` equal nodes in a server with `slots`.
    #[must_use]
    pub fn new(slots: u32, nodes: usize) -> Self {
        let ceiling = f64::from(slots.max(1));
        let part = part(ceiling, nodes);
        Self {
            limit: part,
            part,
            ceiling,
            last_cut: None,
        }
    }

    /// Most requests in flight, at least 1.
    #[must_use]
    pub fn limit(&self) -> u32 {
        (self.limit as u32).max(1)
    }

    /// Begins anew when the server's slots or the number of nodes changed.
    pub fn set_nodes(&mut self, slots: u32, nodes: usize) {
        let fresh = Self::new(slots, nodes);
        let same = (fresh.part - self.part).abs() < f64::EPSILON;
        if !same {
            *self = fresh;
        }
    }

    /// Takes the time to a first token, against the usual one.
    pub fn record_first_token(
        &mut self,
        now: Instant,
        time: Duration,
        usual: Duration,
        in_flight: u32,
    ) {
        if time > usual.mul_f64(TOLERANCE) {
            self.cut(now);
        } else if in_flight >= self.limit() {
            self.grow();
        }
    }

    /// Takes a fresh report: a queue at the server cuts, a free slot lets grow.
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

    /// The server refused a request since it is full.
    pub fn record_refusal(&mut self, now: Instant) {
        self.cut(now);
    }

    fn cut(&mut self, now: Instant) {
        let recent = |cut: Instant| now.saturating_duration_since(cut) < CUT_INTERVAL;
        if self.last_cut.is_some_and(recent) {
            return;
        }
        self.last_cut = Some(now);
        let floor = (self.part * FLOOR_RATIO).max(1.0);
        self.limit = (self.limit * CUT_RATIO).max(floor);
    }
}

fn part(slots: f64, nodes: usize) -> f64 {
    (slots / nodes.max(1) as f64).max(1.0)
}
