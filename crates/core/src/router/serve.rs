//! Dispatch of queued calls to servers.

use std::sync::Arc;
use std::time::Instant;

use crate::call::{Dispatch, Reason};
use crate::ids::{AttemptId, CallId, ServerName, TargetName};
use crate::queue::{AdmissionQueue, Charge, QueuedCall};
use crate::router::entry::RunningAttempt;
use crate::router::event::Action;
use crate::router::state::Router;

/// Server chosen for a call.
struct Choice {
    server: ServerName,
    /// Whether it was the only server of the target with capacity.
    is_only: bool,
}

impl Router {
    /// Serves the target of a call that was just queued, then sheds over-limit calls.
    pub(super) fn serve_enqueued(&mut self, now: Instant, id: CallId, actions: &mut Vec<Action>) {
        let Some(entry) = self.calls.get(&id) else {
            return;
        };
        let target = entry.call.target.clone();
        let class = entry.class.options.name.clone();
        self.serve_target(now, &target, actions);
        let shed_call = self.queues.get_mut(&target).and_then(|q| q.trim(&class));
        self.refuse_shed(shed_call, actions);
        if self.waiting > self.options.queue_limit {
            let shed_call = self.shed_lowest();
            self.refuse_shed(shed_call, actions);
        }
    }

    /// Serves all targets and refuses calls whose target has no servers left.
    pub(super) fn serve_all(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.servers.refresh();
        let waiting = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        let targets: Vec<TargetName> = waiting.map(|(name, _)| name.clone()).collect();
        for target in targets {
            self.serve_target(now, &target, actions);
        }
    }

    /// Dispatches queued calls of a target while a server has capacity.
    pub(super) fn serve_target(
        &mut self,
        now: Instant,
        target: &TargetName,
        actions: &mut Vec<Action>,
    ) {
        while let Some(id) = self.next_call(target) {
            let version = self.calls.get(&id).and_then(|e| e.version.as_deref());
            if !self
                .servers
                .any_in_service(now, &self.options, target, version)
            {
                self.give_up(id, Reason::NoServer, actions);
                continue;
            }
            if self.servers.is_full(target) {
                return;
            }
            if self.would_be_late(now, id) {
                self.give_up(id, Reason::DeadlineUnreachable, actions);
                continue;
            }
            let Some(choice) = self.choose_server(now, id) else {
                self.servers.mark_full(now, &self.options, target);
                return;
            };
            let queue = self.queues.get_mut(target);
            let popped = queue.and_then(AdmissionQueue::pop_charged);
            let charge = popped.map(|p| p.charge).unwrap_or_default();
            self.record_dequeued(id);
            self.dispatch(now, id, choice.server.clone(), charge, actions);
            if choice.is_only
                && !self
                    .servers
                    .has_capacity(now, &self.options, &choice.server)
            {
                self.servers.mark_full(now, &self.options, target);
            }
        }
    }

    fn next_call(&self, target: &TargetName) -> Option<CallId> {
        Some(self.queues.get(target)?.peek()?.id)
    }

    /// Whether the answer would be late if the call were dispatched now.
    fn would_be_late(&self, now: Instant, id: CallId) -> bool {
        self.calls.get(&id).is_some_and(|entry| {
            let time_needed = self.time_needed(&entry.class, &entry.call, entry.tokens);
            now + time_needed > entry.deadline
        })
    }

    fn choose_server(&mut self, now: Instant, id: CallId) -> Option<Choice> {
        let entry = self.calls.get(&id)?;
        let call = &entry.call;
        let mut candidates = self
            .servers
            .candidates(now, &self.options, entry, &entry.tried);
        if candidates.is_empty() && entry.version.is_some() {
            candidates = self.servers.candidates_for_rest(now, &self.options, entry);
        }
        let index = self.balancer.choose(call.prefix_key, &candidates)?;
        Some(Choice {
            server: self.servers.get_at(index)?.server.name.clone(),
            is_only: candidates.len() == 1 && entry.tried.is_empty() && entry.version.is_none(),
        })
    }

    /// Starts a new attempt of a call at a server.
    ///
    /// It is a trial if another attempt of the call is running.
    pub(super) fn dispatch(
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
        let listed = self.servers.get(&server);
        let version = listed.map(|e| Arc::clone(&e.server.version));
        self.next_attempt += 1;
        let attempt = AttemptId {
            incarnation: self.incarnation,
            number: self.next_attempt,
        };
        entry.dispatches += 1;
        entry.attempts += 1;
        let trial = entry.running.is_some();
        let started = Some(RunningAttempt {
            attempt,
            server: server.clone(),
            version: version.unwrap_or_default(),
            started: now,
            first_token: None,
            last_progress: now,
            charge,
            sample: None,
            silent: false,
        });
        if trial {
            entry.trial = started;
        } else {
            entry.running = started;
        }
        let resume = entry.tokens > 0;
        let first = entry.dispatches == 1;
        let dispatch = Dispatch {
            call: id,
            attempt,
            server,
            tier: entry.class.profile.tier,
            resume,
            trial,
        };
        let profile = entry.call.profile.clone();
        if let Some(server) = self.servers.get_mut(&dispatch.server) {
            server.record_start(now);
        }
        if first {
            self.retry_budget(&profile).deposit();
        }
        self.attempts.insert(attempt, id);
        self.counters.dispatched += 1;
        self.counters.resumed += u64::from(resume);
        actions.push(Action::Dispatch(dispatch));
    }

    /// Removes a queued call of the lowest tier over all targets.
    fn shed_lowest(&mut self) -> Option<QueuedCall> {
        let queues = self.queues.values_mut();
        let lowest = queues.max_by_key(|queue| (queue.lowest_tier(), queue.len()))?;
        lowest.shed_lowest()
    }

    fn refuse_shed(&mut self, queued: Option<QueuedCall>, actions: &mut Vec<Action>) {
        let Some(queued) = queued else {
            return;
        };
        self.record_dequeued(queued.id);
        self.give_up(queued.id, Reason::QueueFull, actions);
    }
}
