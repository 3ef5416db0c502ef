//! When a call that waits for its answer is also sent to a second server.

use std::time::Duration;

use briarbank_core::flow::{CallKind, HedgeReason, HedgeRefusal, Instance, Placement, WaitingCall};
use tokio::time::Instant;

use crate::caller::attempt_guard::AttemptGuard;
use crate::caller::exchange::Exchange;
use crate::caller::pending::Attempts;
use crate::caller::received::ReadAhead;
use crate::log_lines::LineKind;

/// An open hedge; counted as cancelled when dropped.
pub(crate) struct OpenHedge {
    is_open: bool,
}

impl OpenHedge {
    fn new() -> Self {
        metrics::counter!("briarbank_hedges_sent_total").increment(1);
        Self { is_open: true }
    }

    /// Records that the hedge has failed, or that the caller gets its answer.
    pub(crate) fn record_end(mut self, is_won: bool) {
        self.is_open = false;
        if is_won {
            metrics::counter!("briarbank_hedges_won_total").increment(1);
        }
    }
}

impl Drop for OpenHedge {
    fn drop(&mut self) {
        if self.is_open {
            metrics::counter!("briarbank_hedges_cancelled_total").increment(1);
        }
    }
}

impl Exchange {
    /// Counts the call among those that may be hedged, once it has arrived.
    pub(crate) fn record_hedgeable(&mut self) {
        let mut hedging = self.shared.hedging.borrow_mut();
        if !hedging.is_on() || !self.admitted.route.is_repeatable() {
            return;
        }
        hedging.record_call(std::time::Instant::now());
        let prompt = self.admitted.head.prompt.as_ref();
        let size = prompt.map_or(self.body.len() as u64, |p| u64::from(p.tokens));
        self.hedge_kind = Some(CallKind::new(&self.admitted.route.name, size));
    }

    /// Returns how much of an answer decides between attempts of this call.
    pub(crate) fn read_ahead(&self) -> ReadAhead {
        match &self.hedge_kind {
            None => ReadAhead::Head,
            Some(_) if self.admitted.route.is_stream() => ReadAhead::FirstEvents,
            Some(_) => ReadAhead::Whole,
        }
    }

    /// Returns when to consider a hedge of a call that has just been sent.
    pub(crate) fn hedge_time(&self, sent_at: Instant) -> Option<Instant> {
        let kind = self.hedge_kind.as_ref()?;
        if self.has_hedged || !self.has_attempt_left() {
            return None;
        }
        let hedging = self.shared.hedging.borrow();
        let age = sent_at - self.began_at;
        let trigger = hedging.trigger(sent_at.into_std(), kind, age, self.objective());
        trigger.map(|trigger| sent_at + trigger)
    }

    /// Decides about a hedge whose time has come, and sends it.
    pub(crate) async fn hedge(&mut self, attempts: &mut Attempts) {
        attempts.hedge_at = None;
        let reason = match self.decide_hedge(attempts) {
            Ok(reason) => reason,
            Err(HedgeRefusal::NoBenefit { recheck_after }) => {
                attempts.hedge_at = Some(Instant::now() + recheck_after);
                return;
            }
            Err(HedgeRefusal::Limit) => {
                metrics::counter!("briarbank_hedges_limited_total").increment(1);
                return;
            }
            Err(_) => return,
        };
        let Ok(placement) = self.place(&attempts.pending).await else {
            return;
        };
        let guard = AttemptGuard::new(&self.shared, &placement);
        // Other calls may have used the limit up while the homes of servers were asked.
        if !self.withdraw_hedge() {
            metrics::counter!("briarbank_hedges_limited_total").increment(1);
            return;
        }
        self.log_hedge(attempts, &placement, &reason);
        self.send_hedge(attempts, guard, &placement);
    }

    fn send_hedge(&mut self, attempts: &mut Attempts, guard: AttemptGuard, placement: &Placement) {
        let Some(first) = attempts.pending.last_mut() else {
            return;
        };
        first.is_left = true;
        self.tried.push(first.guard.instance.id.clone());
        self.record.sends += 1;
        self.has_hedged = true;
        self.record.server = Some(placement.instance.id.clone());
        self.record.expected_ms = Some(placement.expected_latency.as_millis() as u64);
        let mut attempt = self.begin_attempt(guard, placement);
        attempt.hedge = Some(OpenHedge::new());
        attempts.pending.push(attempt);
    }

    fn decide_hedge(&self, attempts: &Attempts) -> Result<HedgeReason, HedgeRefusal> {
        let kind = self.hedge_kind.as_ref().ok_or(HedgeRefusal::Unknown)?;
        let [first] = attempts.pending.as_slice() else {
            return Err(HedgeRefusal::Unknown);
        };
        let now = Instant::now();
        let mut avoid = self.tried.clone();
        avoid.push(first.guard.instance.id.clone());
        let call = self.call_to_dispatch(now);
        let mut dispatcher = self.shared.dispatcher.borrow_mut();
        let offer = dispatcher.hedge_offer(now.into_std(), &call, &avoid);
        drop(dispatcher);
        let waiting = WaitingCall {
            elapsed: now - first.sent_at,
            age: now - self.began_at,
            objective: self.objective(),
        };
        let hedging = self.shared.hedging.borrow();
        hedging.decide(now.into_std(), kind, &waiting, &offer?)
    }

    /// Withdraws a hedge from the limit and from the retry budget.
    fn withdraw_hedge(&self) -> bool {
        let now = std::time::Instant::now();
        let mut dispatcher = self.shared.dispatcher.borrow_mut();
        let mut hedging = self.shared.hedging.borrow_mut();
        hedging.allows(now)
            && dispatcher.withdraw_hedge(now, &self.service)
            && hedging.withdraw(now)
    }

    /// Lets the first attempt go on alone when a hedge has ended without winning.
    ///
    /// The send that was counted for the first attempt is then that of the hedge.
    pub(crate) fn restore_first(&mut self, attempts: &mut Attempts, hedged: &Instance) {
        self.tried.push(hedged.id.clone());
        if let Some(first) = attempts.pending.last_mut() {
            first.is_left = false;
            self.record.server = Some(first.guard.instance.id.clone());
        }
    }

    /// Records the time since the first attempt, which is still open if it was overtaken.
    pub(crate) fn record_answer_time(&self, sent_at: Instant, is_overtaken: bool) {
        let Some(kind) = &self.hedge_kind else {
            return;
        };
        let (now, elapsed) = (std::time::Instant::now(), sent_at.elapsed());
        let mut hedging = self.shared.hedging.borrow_mut();
        if is_overtaken {
            hedging.record_overtaken(now, kind, elapsed);
        } else {
            hedging.record_time(now, kind, elapsed);
        }
    }

    fn objective(&self) -> Duration {
        Duration::from_millis(u64::from(self.admitted.route.target_ms))
    }

    fn log_hedge(&self, attempts: &Attempts, placement: &Placement, reason: &HedgeReason) {
        if !self.shared.log_lines.take(LineKind::Hedge) {
            return;
        }
        let Some(first) = attempts.pending.last() else {
            return;
        };
        let (calls, hedges) = self.shared.hedging.borrow().used(std::time::Instant::now());
        tracing::info!(
            id = %self.record.id, route = %self.record.route, first = %first.guard.instance.id,
            server = %placement.instance.id, waited_ms = first.sent_at.elapsed().as_millis() as u64,
            trigger_ms = reason.trigger.as_millis() as u64,
            first_left_ms = reason.first_left.as_millis() as u64,
            expected_ms = reason.second.as_millis() as u64, calls, hedges, "call: hedged"
        );
    }
}
