//! Queueing of calls by target.

use std::time::Instant;

use crate::call::Reason;
use crate::ids::CallId;
use crate::queue::QueuedCall;
use crate::router::event::Action;
use crate::router::state::Router;

/// Slot time of a call without a prediction, in microseconds.
const DEFAULT_COST_US: u64 = 100_000;
const COST_MIN_US: u64 = 1_000;

impl Router {
    /// Adds a registered call to the queue of its target.
    pub(super) fn enqueue(&mut self, now: Instant, id: CallId) {
        let Some(entry) = self.calls.get(&id) else {
            return;
        };
        let service_time = self.predict(&entry.class, &entry.call, entry.tokens);
        let time_needed = self.time_needed(&entry.class, &entry.call, entry.tokens);
        let latest_start = entry.deadline.checked_sub(time_needed).unwrap_or(now);
        let cost = if service_time.is_zero() {
            DEFAULT_COST_US
        } else {
            (service_time.as_micros() as u64).max(COST_MIN_US)
        };
        let queued = QueuedCall {
            id,
            workspace: entry.call.workspace.clone(),
            weight: entry.weight,
            deadline: entry.deadline,
            cost,
        };
        let queue = self.queues.entry(entry.call.target.clone()).or_default();
        queue.push(&entry.class.options, queued);
        self.waiting += 1;
        let preferred_start = self.preferred_start(now, entry);
        self.latest_starts.insert((latest_start, id));
        self.preferred_starts.insert((preferred_start, id));
        if let Some(entry) = self.calls.get_mut(&id) {
            entry.latest_start = latest_start;
            entry.preferred_start = preferred_start;
        }
    }

    /// Removes a call from its queue, if it is queued.
    pub(super) fn dequeue(&mut self, id: CallId) {
        let Some(entry) = self.calls.get(&id) else {
            return;
        };
        let queue = self.queues.get_mut(&entry.call.target);
        if queue.and_then(|q| q.remove(id)).is_some() {
            self.record_dequeued(id);
        }
    }

    /// Updates the counts and timers for a call that left its queue.
    pub(super) fn record_dequeued(&mut self, id: CallId) {
        self.waiting = self.waiting.saturating_sub(1);
        if let Some(entry) = self.calls.get(&id) {
            self.latest_starts.remove(&(entry.latest_start, id));
            self.preferred_starts.remove(&(entry.preferred_start, id));
        }
    }

    /// Refuses queued calls that can no longer meet their deadline.
    pub(super) fn refuse_expired(&mut self, now: Instant, actions: &mut Vec<Action>) {
        while let Some((latest_start, id)) = self.latest_starts.first().copied() {
            if latest_start >= now {
                return;
            }
            self.latest_starts.pop_first();
            self.give_up(id, Reason::DeadlineUnreachable, actions);
        }
    }

    /// Removes a call that is not running and refuses it.
    pub(super) fn give_up(&mut self, id: CallId, reason: Reason, actions: &mut Vec<Action>) {
        self.dequeue(id);
        let Some(entry) = self.remove_call(id) else {
            return;
        };
        let wait = self.expected_wait(&entry.call, &entry.class);
        self.refuse(id, reason, entry.outcome(), wait, actions);
    }
}
