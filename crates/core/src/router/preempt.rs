//! Preemption: a call about to be late takes the slot of a stream of a lower tier.
//!
//! Only streams that may be repeated are preempted. They keep what the caller
//! already has, wait again and are resumed; one is chosen that has time for that.

use std::time::{Duration, Instant};

use crate::ids::CallId;
use crate::queue::Charge;
use crate::router::entry::Entry;
use crate::router::event::Action;
use crate::router::state::Router;

/// How long before a waiting call should have started a slot is sought for it.
const MARGIN: Duration = Duration::from_millis(500);
/// Most calls helped at once.
const HELPED_MAX: usize = 8;
/// Most preemptions of one call.
const PREEMPTIONS_MAX: u32 = 2;
/// Multiple of the expected time that a preempted stream must have left.
const SLACK_RATIO: f64 = 3.0;
/// Multiple of its share of the running requests that a class keeps.
const KEPT_RATIO: f64 = 1.5;
/// Quantile of the length by which the rest of a stream is judged.
const REST_QUANTILE: f64 = 0.9;

impl Router {
    /// Preempts streams for waiting calls of higher tiers that would be given up.
    pub(super) fn preempt(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let until = (now + MARGIN, CallId(u64::MAX));
        let due: Vec<CallId> = self
            .dues
            .range(..=until)
            .take(HELPED_MAX)
            .map(|(_, id)| *id)
            .collect();
        for id in due {
            if let Some(victim) = self.victim(now, id) {
                self.replace(now, victim, id, actions);
            }
        }
    }

    /// The stream of the lowest tier with the most time left.
    fn victim(&self, now: Instant, id: CallId) -> Option<CallId> {
        let waiting = self.calls.get(&id)?;
        let running = || self.attempts.values().filter_map(|id| self.calls.get(id));
        let same = |e: &&Entry| e.call.target == waiting.call.target;
        let total = running().filter(same).count();
        let victims = running().filter(same).filter_map(|entry| {
            let class = running()
                .filter(same)
                .filter(|e| e.call.profile == entry.call.profile);
            if !has_spare(entry, class.count(), total) {
                return None;
            }
            let left = self.spare_time(now, waiting, entry)?;
            Some((entry.class.profile.tier, left, entry.call.id))
        });
        victims.max().map(|(_, _, id)| id)
    }

    /// Time that a stream has left over if it gives way, or `None` if it may not.
    fn spare_time(&self, now: Instant, waiting: &Entry, entry: &Entry) -> Option<Duration> {
        let lower = entry.class.profile.tier > waiting.class.profile.tier;
        let resumable = entry.is_idempotent() && entry.tokens > 0;
        if !lower || !resumable || entry.preemptions >= PREEMPTIONS_MAX {
            return None;
        }
        let running = entry.running.as_ref()?;
        let server = self.servers.get(&running.server)?;
        let takes_work = server.allowed(now, &self.options) >= server.load.own_requests();
        if !takes_work {
            return None;
        }
        let rest = self.predict_at(REST_QUANTILE, &entry.class, &entry.call, entry.tokens);
        let left = entry.deadline.saturating_duration_since(now);
        left.checked_sub(rest.mul_f64(SLACK_RATIO))
    }

    fn replace(
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
        entry.maybe_run = true;
        entry.preemptions += 1;
        entry.attempts -= 1;
        let call = entry.call.clone();
        self.release(now, &call, &running);
        self.counters.preempted += 1;
        actions.push(Action::Cancel {
            attempt: running.attempt,
            server: running.server.clone(),
        });
        self.dequeue(waiting);
        self.start(now, waiting, running.server, Charge::default(), actions);
        self.enqueue(now, victim);
    }
}

/// Whether a class keeps its share of the running requests without one of them.
fn has_spare(entry: &Entry, class: usize, total: usize) -> bool {
    let kept = entry.class.profile.share_ratio * KEPT_RATIO * total as f64;
    class as f64 - 1.0 >= kept
}
