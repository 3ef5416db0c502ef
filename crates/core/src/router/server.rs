//! What the router knows of one server.

use std::time::Instant;

use crate::call::ServerLoad;
use crate::catalog::{Server, ServerState};
use crate::limiter::Limiter;
use crate::load::LoadView;
use crate::outlier::Health;
use crate::rendezvous;
use crate::router::options::Options;

/// Age up to which a report moves the limit, in milliseconds.
const FRESH_MS: u64 = 500;

/// One server of the list, or one that has left it with requests in flight.
#[derive(Debug)]
pub(super) struct ServerEntry {
    pub(super) server: Server,
    pub(super) name_key: u64,
    pub(super) listed: bool,
    /// Pools of the targets that it serves.
    pub(super) pools: Vec<usize>,
    pub(super) load: LoadView,
    pub(super) limiter: Limiter,
    pub(super) health: Health,
    leaving_since: Option<Instant>,
    hold_until: Option<Instant>,
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
            hold_until: None,
        }
    }

    /// Takes over a newer listing.
    pub(super) fn relist(&mut self, server: Server, nodes: usize) {
        let was_away = !self.listed || self.server.state == ServerState::Leaving;
        if was_away && server.state == ServerState::Live {
            self.leaving_since = None;
        }
        self.limiter.set_nodes(server.slots, nodes);
        self.server = server;
        self.listed = true;
    }

    /// Takes a load report; only a fresh one moves the limit.
    pub(super) fn report(&mut self, now: Instant, load: ServerLoad) {
        self.load.record_report(now, load);
        if load.age_ms <= FRESH_MS {
            self.limiter
                .record_report(now, load, self.load.own_requests());
        }
    }

    pub(super) fn leave(&mut self, now: Instant) {
        self.leaving_since = Some(now);
    }

    /// Takes no new request for a moment.
    pub(super) fn hold(&mut self, now: Instant, options: &Options) {
        self.hold_until = Some(now + options.refused_hold);
    }

    /// Whether the server stays for new requests, now or later.
    pub(super) fn stays(&self, now: Instant, options: &Options) -> bool {
        let left = |since| now.saturating_duration_since(since) < options.leaving_hold;
        let leaving = self.leaving_since.is_some_and(left);
        self.listed && !leaving && self.server.state == ServerState::Live
    }

    /// Most own requests in flight; 0 while the server is set aside.
    pub(super) fn allowed(&self, now: Instant, options: &Options) -> u32 {
        if !self.stays(now, options) || !self.health.is_available(now) {
            return 0;
        }
        let part = self.health.slow_start_ratio(now, &options.outlier);
        let limit = f64::from(self.limiter.limit()) * part;
        (limit as u32).max(1)
    }

    pub(super) fn has_room(&self, now: Instant, options: &Options) -> bool {
        let held = self.hold_until.is_some_and(|until| now < until);
        !held && self.load.own_requests() < self.allowed(now, options)
    }

    /// Expected load as a part of the slots, weighted with the slowness.
    pub(super) fn load_ratio(&self, now: Instant) -> f64 {
        let slots = f64::from(self.server.slots.max(1));
        let slowness = self.health.mean_slowness().max(1.0);
        (self.load.requests(now) + 1.0) / slots * slowness
    }

    /// Cost of reaching the server.
    pub(super) fn cost(&self, options: &Options) -> f64 {
        match &options.zone {
            Some(zone) if *zone != self.server.zone => options.zone_cost_ratio,
            _ => 0.0,
        }
    }
}
