//! Dispatch: who is sent where.

use std::time::Instant;

use crate::call::{Dispatch, Reason};
use crate::ids::{AttemptId, CallId, ServerName, TargetName};
use crate::queue::{AdmissionQueue, Charge, QueuedCall};
use crate::router::entry::Running;
use crate::router::event::Action;
use crate::router::state::Router;

/// A server for a call.
struct Choice {
    server: ServerName,
    /// Whether no other server of the target had room.
    is_only: bool,
}

impl Router {
    /// Serves the target of a call that was just put into its queue.
    pub(super) fn serve(&mut self, now: Instant, id: CallId, actions: &mut Vec<Action>) {
        let Some(entry) = self.calls.get(&id) else {
            return;
        };
        let target = entry.call.target.clone();
        let class = entry.class.options.name.clone();
        self.serve_target(now, &target, actions);
        let given_up = self.queues.get_mut(&target).and_then(|q| q.trim(&class));
        self.shed(given_up, actions);
        if self.waiting > self.options.queue_limit {
            let given_up = self.shed_lowest();
            self.shed(given_up, actions);
        }
    }

    /// Serves all targets, and gives up calls whose target has lost its servers.
    pub(super) fn serve_all(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.servers.refresh();
        let waiting = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        let targets: Vec<TargetName> = waiting.map(|(name, _)| name.clone()).collect();
        for target in targets {
            self.serve_target(now, &target, actions);
        }
    }

    /// Sends waiting calls of a target while a server has room.
    pub(super) fn serve_target(
        &mut self,
        now: Instant,
        target: &TargetName,
        actions: &mut Vec<Action>,
    ) {
        while let Some(id) = self.next_call(target) {
            if !self.servers.any_stays(now, &self.options, target) {
                self.give_up(id, Reason::NoServer, actions);
                continue;
            }
            if self.servers.is_full(target) {
                return;
            }
            if self.is_late(now, id) {
                self.give_up(id, Reason::DeadlineUnreachable, actions);
                continue;
            }
            let Some(choice) = self.choose(now, id) else {
                self.servers.set_full(now, &self.options, target);
                return;
            };
            let queue = self.queues.get_mut(target);
            let popped = queue.and_then(AdmissionQueue::pop_charged);
            let charge = popped.map(|p| p.charge).unwrap_or_default();
            self.left_queue(id);
            self.start(now, id, choice.server.clone(), charge, actions);
            if choice.is_only && !self.servers.has_room(now, &self.options, &choice.server) {
                self.servers.set_full(now, &self.options, target);
            }
        }
    }

    fn next_call(&self, target: &TargetName) -> Option<CallId> {
        Some(self.queues.get(target)?.peek()?.call)
    }

    /// Whether the answer would be late if the call started now.
    fn is_late(&self, now: Instant, id: CallId) -> bool {
        self.calls.get(&id).is_some_and(|entry| {
            let needed = self.needed(&entry.class, &entry.call, entry.tokens);
            now + needed > entry.deadline
        })
    }

    fn choose(&mut self, now: Instant, id: CallId) -> Option<Choice> {
        let entry = self.calls.get(&id)?;
        let call = &entry.call;
        let candidates = self
            .servers
            .candidates(now, &self.options, &call.target, &entry.tried);
        let index = self.balancer.choose(call.prefix_key, &candidates)?;
        Some(Choice {
            server: self.servers.at(index)?.server.name.clone(),
            is_only: candidates.len() == 1 && entry.tried.is_empty(),
        })
    }

    pub(super) fn start(
        &mut self,
        now: Instant,
        id: CallId,
        server: ServerName,
        charge: Charge,
        actions: &mut Vec<Action>,
    ) {
        let Some(entry) = self.calls.get_mut(&id) else {
            return;
        };
        self.next_attempt += 1;
        let attempt = AttemptId {
            incarnation: self.incarnation,
            number: self.next_attempt,
        };
        entry.dispatches += 1;
        entry.attempts += 1;
        entry.running = Some(Running {
            attempt,
            server: server.clone(),
            started: now,
            first_token: None,
            last_progress: now,
            charge,
            sample: None,
        });
        let resume = entry.tokens > 0;
        let first = entry.dispatches == 1;
        let dispatch = Dispatch {
            call: id,
            attempt,
            server,
            tier: entry.class.profile.tier,
            resume,
        };
        let profile = entry.call.profile.clone();
        if let Some(server) = self.servers.get_mut(&dispatch.server) {
            server.load.record_start();
        }
        if first {
            self.budget(&profile).deposit();
        }
        self.attempts.insert(attempt, id);
        self.counters.dispatched += 1;
        self.counters.resumed += u64::from(resume);
        actions.push(Action::Dispatch(dispatch));
    }

    /// Takes a call of the lowest tier that waits anywhere out of its queue.
    fn shed_lowest(&mut self) -> Option<QueuedCall> {
        let queues = self.queues.values_mut();
        let lowest = queues.max_by_key(|queue| (queue.lowest_tier(), queue.len()))?;
        lowest.shed_lowest()
    }

    fn shed(&mut self, item: Option<QueuedCall>, actions: &mut Vec<Action>) {
        let Some(item) = item else {
            return;
        };
        self.left_queue(item.call);
        self.give_up(item.call, Reason::QueueFull, actions);
    }
}
