//! What servers say of themselves in their answers.

use std::time::Instant;

use briarbank_core::flow::{Instance, LimitStatement};

use crate::dialect::ServerNotice;
use crate::log_lines::LineKind;
use crate::shared::SharedState;

impl SharedState {
    /// Records what a server said of itself.
    pub(crate) fn record_notice(&self, instance: &Instance, notice: ServerNotice) {
        let now = Instant::now();
        if !self.dispatcher.borrow().is_listed(instance) {
            return;
        }
        if let Some(limit_per_s) = notice.limit_per_s {
            metrics::counter!("briarbank_limited_answers_total").increment(1);
            if self.log_lines.take(LineKind::Notice) {
                tracing::info!(server = %instance.id, limit_per_s, "server: names its limit");
            }
        }
        if let Some(slowness) = notice.load.and_then(|load| load.slowness) {
            let mut dispatcher = self.dispatcher.borrow_mut();
            dispatcher.record_slowness(&instance.id, slowness);
        }
        if notice.is_leaving {
            if self.log_lines.take(LineKind::Notice) {
                tracing::info!(server = %instance.id, "server: leaves");
            }
            self.dispatcher
                .borrow_mut()
                .record_leaving(now, &instance.id);
        }
        if let Some(time) = notice.cold {
            let turned_cold = self
                .dispatcher
                .borrow_mut()
                .record_cold(now, &instance.id, time);
            if turned_cold {
                self.divide_cold(now);
            }
        }
        if let Some(time) = notice.refusal {
            self.dispatcher
                .borrow_mut()
                .record_refusal(now, &instance.id, time);
        }
        let Some(server_key) = self.dispatcher.borrow().server_key(&instance.id) else {
            return;
        };
        self.record_brittleness(now, instance, server_key, notice.rejections_per_s);
        let mut limits = self.limits.borrow_mut();
        let is_changed = limits.record(now, server_key, notice.limit_per_s);
        drop(limits);
        if is_changed {
            self.divide_limits(now);
        }
    }

    fn record_brittleness(
        &self,
        now: Instant,
        instance: &Instance,
        server_key: u32,
        rejections_per_s: Option<u16>,
    ) {
        let mut brittle = self.brittle.borrow_mut();
        if !brittle.record(now, server_key, rejections_per_s) {
            return;
        }
        drop(brittle);
        self.apply_brittle(now);
        if self.log_lines.take(LineKind::Notice) {
            tracing::info!(server = %instance.id, rejections_per_s, "server: brittleness changed");
        }
    }

    /// Records that a server rejected a call for want of room.
    pub(crate) fn record_rejection(&self, instance: &Instance) {
        let now = Instant::now();
        let Some(server_key) = self.dispatcher.borrow().server_key(&instance.id) else {
            return;
        };
        let mut brittle = self.brittle.borrow_mut();
        let Some(pause) = brittle.record_rejection(now, server_key) else {
            return;
        };
        drop(brittle);
        metrics::counter!("briarbank_brittle_rejections_total").increment(1);
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.record_refusal(now, &instance.id, pause);
    }

    /// Applies what is known of brittle servers to the choice of servers.
    pub(crate) fn apply_brittle(&self, now: Instant) {
        let pauses = self.brittle.borrow().pauses(now);
        let peers = self.peers.borrow();
        let slot_share = |key, slots| peers.slot_share(now, key, slots);
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.set_brittle(&pauses, slot_share);
    }

    /// Records the limits of servers that a peer passes on.
    pub(crate) fn receive_limits(&self, statements: &[LimitStatement]) {
        let now = Instant::now();
        if self.limits.borrow_mut().receive(now, statements) {
            self.divide_limits(now);
        }
    }

    /// Ends the limit of a server whose process is another one than before.
    pub(crate) fn record_process(&self, now: Instant, instance: &Instance) {
        let Some(server_key) = self.dispatcher.borrow().server_key(&instance.id) else {
            return;
        };
        let mut limits = self.limits.borrow_mut();
        let is_ended = limits.record_process(now, server_key, instance.born_ms);
        drop(limits);
        if is_ended {
            self.divide_limits(now);
        }
    }

    /// Applies this node's parts of the limits of servers.
    pub(crate) fn divide_limits(&self, now: Instant) {
        let rates = self.limits.borrow().rates_per_s(now);
        let peers = self.peers.borrow();
        let share = |(key, per_s): (u32, f64)| (key, peers.limit_share(now, key, per_s));
        let shares: Vec<(u32, f64)> = rates.into_iter().map(share).collect();
        self.dispatcher.borrow_mut().set_limits(now, &shares);
    }
}
