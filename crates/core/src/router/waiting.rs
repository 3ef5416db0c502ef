//! Calls that wait in the queue of their target.

use std::time::Instant;

use crate::call::Reason;
use crate::ids::CallId;
use crate::queue::QueuedCall;
use crate::router::event::Action;
use crate::router::state::Router;

/// Cost of a call of which nothing is known, in microseconds of a slot.
const COST_UNKNOWN_US: u64 = 100_000;
const COST_MIN_US: u64 = 1_000;

impl Router {
    /// Puts a call that is known into the queue of its target.
    pub(super) fn enqueue(&mut self, now: Instant, id: CallId) {
        let Some(entry) = self.calls.get(&id) else {
            return;
        };
        let service = self.predict(&entry.class, &entry.call, entry.tokens);
        let needed = self.needed(&entry.class, &entry.call, entry.tokens);
        let latest_start = entry.deadline.checked_sub(needed).unwrap_or(now);
        let cost = if service.is_zero() {
            COST_UNKNOWN_US
        } else {
            (service.as_micros() as u64).max(COST_MIN_US)
        };
        let item = QueuedCall {
            call: id,
            workspace: entry.call.workspace.clone(),
            weight: entry.weight,
            deadline: entry.deadline,
            cost,
        };
        let queue = self.queues.entry(entry.call.target.clone()).or_default();
        queue.push(&entry.class.options, item);
        self.waiting += 1;
        let due = self.due(now, entry);
        self.expiries.insert((latest_start, id));
        self.dues.insert((due, id));
        if let Some(entry) = self.calls.get_mut(&id) {
            entry.latest_start = latest_start;
            entry.due = due;
        }
    }

    /// Takes a call out of its queue, if it waits.
    pub(super) fn dequeue(&mut self, id: CallId) {
        let Some(entry) = self.calls.get(&id) else {
            return;
        };
        let queue = self.queues.get_mut(&entry.call.target);
        if queue.and_then(|q| q.remove(id)).is_some() {
            self.left_queue(id);
        }
    }

    /// Counts out a call that its queue has given up.
    pub(super) fn left_queue(&mut self, id: CallId) {
        self.waiting = self.waiting.saturating_sub(1);
        if let Some(entry) = self.calls.get(&id) {
            self.expiries.remove(&(entry.latest_start, id));
            self.dues.remove(&(entry.due, id));
        }
    }

    /// Gives up calls that wait and can't be in time any more.
    pub(super) fn expire(&mut self, now: Instant, actions: &mut Vec<Action>) {
        while let Some((latest_start, id)) = self.expiries.first().copied() {
            if latest_start >= now {
                return;
            }
            self.expiries.pop_first();
            self.give_up(id, Reason::DeadlineUnreachable, actions);
        }
    }

    /// Ends a call that waits with a refusal.
    pub(super) fn give_up(&mut self, id: CallId, reason: Reason, actions: &mut Vec<Action>) {
        self.dequeue(id);
        let Some(entry) = self.remove(id) else {
            return;
        };
        let wait = self.wait(&entry.call, &entry.class);
        self.refuse(id, reason, entry.outcome(), wait, actions);
    }
}
