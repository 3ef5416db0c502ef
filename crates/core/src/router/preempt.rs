//! Preemption of lower-tier streams for calls that are about to miss their deadline.
//!
//! Only streams of idempotent calls are preempted. They keep the tokens that were
//! delivered, return to the queue and are resumed later; the chosen stream has time
//! for that.

use std::time::{Duration, Instant};

use crate::ids::CallId;
use crate::queue::Charge;
use crate::router::entry::CallEntry;
use crate::router::event::Action;
use crate::router::state::Router;

/// How long before its preferred start a queued call may preempt a stream.
const START_MARGIN: Duration = Duration::from_millis(500);
/// Maximum number of queued calls that preempt streams in one tick.
const CALLS_PER_TICK_MAX: usize = 8;
/// Maximum number of preemptions of one call.
const PREEMPTIONS_MAX: u32 = 2;
/// Multiple of the predicted remaining time that a preempted stream must have left.
const SLACK_RATIO: f64 = 3.0;
/// Multiple of its share of the running calls that a class keeps.
const RESERVED_RATIO: f64 = 1.5;
/// Quantile of the output length that predicts the remaining time of a stream.
const REMAINING_QUANTILE: f64 = 0.9;

impl Router {
    /// Preempts streams for queued calls of higher tiers that would otherwise be refused.
    pub(super) fn preempt(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let until = (now + START_MARGIN, CallId(u64::MAX));
        let due: Vec<CallId> = self
            .preferred_starts
            .range(..=until)
            .take(CALLS_PER_TICK_MAX)
            .map(|(_, id)| *id)
            .collect();
        for id in due {
            if let Some(victim) = self.victim(now, id) {
                self.preempt_stream(now, victim, id, actions);
            }
        }
    }

    /// Finds the stream of the lowest tier with the most spare time.
    fn victim(&self, now: Instant, id: CallId) -> Option<CallId> {
        let waiting = self.calls.get(&id)?;
        let running = || self.attempts.values().filter_map(|id| self.calls.get(id));
        let same_target = |e: &&CallEntry| e.call.target == waiting.call.target;
        let total = running().filter(same_target).count();
        let victims = running().filter(same_target).filter_map(|entry| {
            let class = running()
                .filter(same_target)
                .filter(|e| e.call.profile == entry.call.profile);
            if !can_spare_one(entry, class.count(), total) {
                return None;
            }
            let time_left = self.spare_time(now, waiting, entry)?;
            Some((entry.class.profile.tier, time_left, entry.call.id))
        });
        victims.max().map(|(_, _, id)| id)
    }

    /// Spare time of a stream after preemption, or `None` if not allowed.
    fn spare_time(&self, now: Instant, waiting: &CallEntry, entry: &CallEntry) -> Option<Duration> {
        let is_lower_tier = entry.class.profile.tier > waiting.class.profile.tier;
        let resumable = entry.is_idempotent() && entry.tokens > 0;
        if entry.trial.is_some()
            || !is_lower_tier
            || !resumable
            || entry.preemptions >= PREEMPTIONS_MAX
        {
            return None;
        }
        let running = entry.running.as_ref()?;
        if !waiting.fits(&running.version) {
            return None;
        }
        let server = self.servers.get(&running.server)?;
        let is_within_limit =
            server.concurrency_limit(now, &self.options) >= server.load.own_requests();
        if !is_within_limit {
            return None;
        }
        let remaining =
            self.predict_at_quantile(REMAINING_QUANTILE, &entry.class, &entry.call, entry.tokens);
        let time_left = entry.deadline.saturating_duration_since(now);
        time_left.checked_sub(remaining.mul_f64(SLACK_RATIO))
    }

    /// Preempts a stream, dispatches the queued call in its place and queues the stream.
    fn preempt_stream(
        &mut self,
        now: Instant,
        victim: CallId,
        waiting: CallId,
        actions: &mut Vec<Action>,
    ) {
        let Some(entry) = self.calls.get_mut(&victim) else {
            return;
        };
        let Some(running) = entry.running.take() else {
            return;
        };
        entry.may_have_run = true;
        entry.preemptions += 1;
        entry.attempts -= 1;
        let call = entry.call.clone();
        self.release_attempt(now, &call, &running);
        self.counters.preempted += 1;
        actions.push(running.cancel());
        self.dequeue(waiting);
        self.dispatch(now, waiting, running.server, Charge::default(), actions);
        self.enqueue(now, victim);
    }
}

/// Whether a class keeps its share of the running calls after losing one.
fn can_spare_one(entry: &CallEntry, class: usize, total: usize) -> bool {
    let reserved = entry.class.profile.share_ratio * RESERVED_RATIO * total as f64;
    class as f64 - 1.0 >= reserved
}
