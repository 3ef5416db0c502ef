//! State of one server in the router.

use std::time::{Duration, Instant};

use crate::call::ServerLoad;
use crate::catalog::{Server, ServerState};
use crate::limiter::Limiter;
use crate::load::LoadView;
use crate::outlier::Health;
use crate::rendezvous;
use crate::router::options::Options;

/// Maximum age of load reports that change the limit.
const REPORT_AGE_MAX_MS: u64 = 500;
/// Silence of a whole server that counts as a failure; a sound one may pause for less.
const SILENCE_MIN: Duration = Duration::from_secs(2);

/// A listed server, or a removed one with requests in flight.
#[derive(Debug)]
pub(super) struct ServerEntry {
    pub(super) server: Server,
    pub(super) name_key: u64,
    pub(super) listed: bool,
    /// Indices of the pools of its targets.
    pub(super) pools: Vec<usize>,
    pub(super) load: LoadView,
    pub(super) limiter: Limiter,
    pub(super) health: Health,
    leaving_since: Option<Instant>,
    backoff_until: Option<Instant>,
    /// First dispatch since the server was last heard.
    silent_since: Option<Instant>,
}

impl ServerEntry {
    pub(super) fn new(server: Server, nodes: usize, health: Health) -> Self {
        Self {
            name_key: rendezvous::key(server.name.as_str().as_bytes()),
            limiter: Limiter::new(server.slots, nodes),
            server,
            listed: true,
            pools: Vec::new(),
            load: LoadView::default(),
            health,
            leaving_since: None,
            backoff_until: None,
            silent_since: None,
        }
    }

    /// Applies a newer listing.
    pub(super) fn update_listing(&mut self, server: Server, nodes: usize) {
        let was_unavailable = !self.listed || self.server.state == ServerState::Leaving;
        if was_unavailable && server.state == ServerState::Live {
            self.leaving_since = None;
        }
        self.limiter.set_nodes(server.slots, nodes);
        self.server = server;
        self.listed = true;
    }

    /// Records a load report; only a fresh one changes the limit.
    pub(super) fn record_report(&mut self, now: Instant, load: ServerLoad) {
        self.record_heard();
        self.load.record_report(now, load);
        if load.age_ms <= REPORT_AGE_MAX_MS {
            self.limiter
                .record_report(now, load, self.load.own_requests());
        }
    }

    /// Records that a request was sent.
    pub(super) fn record_start(&mut self, now: Instant) {
        self.load.record_start();
        self.silent_since.get_or_insert(now);
    }

    /// Records that the server gave a sign of life.
    pub(super) fn record_heard(&mut self) {
        self.silent_since = None;
    }

    /// Whether the whole server, not just one of its streams, is silent.
    pub(super) fn is_silent(&self, now: Instant) -> bool {
        let silence = self.silent_since.map(|s| now.saturating_duration_since(s));
        silence.is_some_and(|silence| silence >= SILENCE_MIN)
    }

    pub(super) fn set_leaving(&mut self, now: Instant) {
        self.leaving_since = Some(now);
    }

    /// Sends no new requests for the backoff time.
    pub(super) fn back_off(&mut self, now: Instant, options: &Options) {
        self.backoff_until = Some(now + options.refusal_backoff);
    }

    /// Whether the server accepts new requests, perhaps after a backoff or ejection.
    pub(super) fn is_in_service(&self, now: Instant, options: &Options) -> bool {
        let is_recent = |since| now.saturating_duration_since(since) < options.leaving_period;
        let leaving = self.leaving_since.is_some_and(is_recent);
        self.listed && !leaving && self.server.state == ServerState::Live
    }

    /// Maximum number of own requests in flight; 0 while the server is ejected.
    pub(super) fn concurrency_limit(&self, now: Instant, options: &Options) -> u32 {
        if !self.is_in_service(now, options) || !self.health.is_available(now) {
            return 0;
        }
        let slow_start = self.health.slow_start_ratio(now, &options.outlier);
        let limit = f64::from(self.limiter.limit()) * slow_start;
        (limit as u32).max(1)
    }

    pub(super) fn has_capacity(&self, now: Instant, options: &Options) -> bool {
        let is_backing_off = self.backoff_until.is_some_and(|until| now < until);
        !is_backing_off && self.load.own_requests() < self.concurrency_limit(now, options)
    }

    /// Expected load as a fraction of the slots, weighted by the slowness.
    pub(super) fn load_ratio(&self, now: Instant) -> f64 {
        let slots = f64::from(self.server.slots.max(1));
        let slowness = self.health.mean_slowness().max(1.0);
        (self.load.requests(now) + 1.0) / slots * slowness
    }

    /// Extra cost of a server in another availability zone.
    pub(super) fn cost(&self, options: &Options) -> f64 {
        match &options.zone {
            Some(zone) if *zone != self.server.zone => options.zone_cost_ratio,
            _ => 0.0,
        }
    }
}
