//! News of attempts, and calls whose callers went away.

use std::time::{Duration, Instant};

use crate::call::{Call, Failure, Outcome, Reason};
use crate::ids::{AttemptId, CallId, ServerName, TargetName};
use crate::router::entry::{Running, Sample};
use crate::router::event::{Action, AttemptEvent};
use crate::router::state::Router;

/// Tokens over which the speed of a stream is taken.
const SAMPLE_TOKENS: u32 = 16;
/// Dispatches of one call, also those that a server refused.
const DISPATCHES_MAX: u32 = 16;

impl Router {
    pub(super) fn caller_gone(&mut self, now: Instant, id: CallId, actions: &mut Vec<Action>) {
        self.dequeue(id);
        let Some(mut entry) = self.remove(id) else {
            self.counters.dropped += 1;
            return;
        };
        let outcome = entry.outcome();
        let running = entry.running.take();
        if let Some(running) = &running {
            self.release(now, &entry.call, running);
            actions.push(Action::Cancel {
                attempt: running.attempt,
                server: running.server.clone(),
            });
        }
        actions.push(Action::End { call: id, outcome });
        if let Some(running) = running {
            self.serve_server(now, &running.server, actions);
        }
    }

    pub(super) fn attempt(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        event: AttemptEvent,
        actions: &mut Vec<Action>,
    ) {
        let Some(id) = self.attempts.get(&attempt).copied() else {
            self.counters.dropped += 1;
            return;
        };
        match event {
            AttemptEvent::Progress { tokens } => self.progress(now, id, tokens),
            AttemptEvent::Done => self.done(now, id, actions),
            AttemptEvent::Failed(failure) => self.failed(now, id, failure, actions),
        }
    }

    fn progress(&mut self, now: Instant, id: CallId, tokens: u32) {
        let Some(entry) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(running) = entry.running.as_mut() else {
            return;
        };
        if tokens <= entry.tokens {
            return;
        }
        entry.tokens = tokens;
        running.last_progress = now;
        let server = running.server.clone();
        let target = entry.call.target.clone();
        let here = Sample { from: now, tokens };
        let Some(sample) = running.sample else {
            running.sample = Some(here);
            running.first_token = Some(now);
            let time = now.saturating_duration_since(running.started);
            self.first_token(now, &server, &target, time);
            return;
        };
        let sampled = tokens - sample.tokens;
        if sampled >= SAMPLE_TOKENS {
            running.sample = Some(here);
            let time = now.saturating_duration_since(sample.from) / sampled;
            self.between_tokens(now, &server, &target, time);
        }
    }

    fn first_token(
        &mut self,
        now: Instant,
        server: &ServerName,
        target: &TargetName,
        time: Duration,
    ) {
        let usual = self.estimator.first_token(target, 0.5);
        self.estimator.record_first_token(target, time);
        let Some(entry) = self.servers.get_mut(server) else {
            return;
        };
        entry.health.record_success();
        if let Some(usual) = usual {
            entry
                .limiter
                .record_first_token(now, time, usual, entry.load.own_requests());
            entry.health.record_slowness(ratio(time, usual));
        }
        self.servers.judge(now, &self.options, server);
    }

    fn between_tokens(
        &mut self,
        now: Instant,
        server: &ServerName,
        target: &TargetName,
        time: Duration,
    ) {
        let usual = self.estimator.between_tokens(target, 0.5);
        self.estimator.record_between_tokens(target, time);
        let Some(entry) = self.servers.get_mut(server) else {
            return;
        };
        entry.health.record_success();
        if let Some(usual) = usual {
            entry.health.record_slowness(ratio(time, usual));
        }
        self.servers.judge(now, &self.options, server);
    }

    fn done(&mut self, now: Instant, id: CallId, actions: &mut Vec<Action>) {
        let Some(mut entry) = self.remove(id) else {
            return;
        };
        let Some(running) = entry.running.take() else {
            return;
        };
        self.release(now, &entry.call, &running);
        let call = &entry.call;
        if call.max_tokens == 0 {
            let time = now.saturating_duration_since(running.started);
            self.first_token(now, &running.server, &call.target, time);
        } else {
            self.estimator
                .record_length(&call.profile, &call.target, entry.tokens);
        }
        let outcome = Outcome::Completed;
        actions.push(Action::End { call: id, outcome });
        self.serve_server(now, &running.server, actions);
    }

    fn failed(&mut self, now: Instant, id: CallId, failure: Failure, actions: &mut Vec<Action>) {
        let Some(entry) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(running) = entry.running.take() else {
            return;
        };
        let proven = failure.proves_not_run();
        entry.maybe_run |= !proven || entry.tokens > 0;
        let may_repeat = entry.is_idempotent() || !entry.maybe_run;
        if is_free(failure) {
            entry.attempts -= 1;
        }
        let left = entry.attempts < self.options.attempts_max && entry.dispatches < DISPATCHES_MAX;
        if !entry.tried.contains(&running.server) {
            entry.tried.push(running.server.clone());
        }
        let call = entry.call.clone();
        self.release(now, &call, &running);
        self.blame(now, &running.server, failure);
        if !may_repeat || !left {
            self.give_up(id, Reason::ServerFailed, actions);
        } else if !is_free(failure) && !self.budget(&call.profile).withdraw() {
            self.give_up(id, Reason::RetryBudget, actions);
        } else {
            self.enqueue(now, id);
            self.serve(now, id, actions);
        }
        self.serve_server(now, &running.server, actions);
    }

    /// Takes a failure into account at its server.
    fn blame(&mut self, now: Instant, server: &ServerName, failure: Failure) {
        let Some(entry) = self.servers.get_mut(server) else {
            return;
        };
        match failure {
            Failure::Preempted => {}
            Failure::Leaving => entry.leave(now),
            Failure::Full => {
                entry.limiter.record_refusal(now);
                entry.hold(now, &self.options);
            }
            Failure::NotSent => {
                entry.health.record_failure();
                entry.hold(now, &self.options);
            }
            Failure::Broken | Failure::Silent | Failure::Malformed | Failure::ServerError => {
                entry.health.record_failure();
            }
        }
        self.servers.judge(now, &self.options, server);
    }

    pub(super) fn server_leaving(
        &mut self,
        now: Instant,
        server: &ServerName,
        actions: &mut Vec<Action>,
    ) {
        if let Some(entry) = self.servers.get_mut(server) {
            entry.leave(now);
        }
        self.serve_all(now, actions);
    }

    /// Counts out an attempt that is over for this node.
    pub(super) fn release(&mut self, now: Instant, call: &Call, running: &Running) {
        self.attempts.remove(&running.attempt);
        let took_us = self.slot_time(now, call, running).as_micros() as u64;
        if let Some(queue) = self.queues.get_mut(&call.target) {
            queue.settle(&call.profile, running.charge, took_us);
        }
        if let Some(entry) = self.servers.get_mut(&running.server) {
            entry.load.record_end();
        }
    }

    /// Time for which the attempt had a slot, without its wait at the server.
    fn slot_time(&self, now: Instant, call: &Call, running: &Running) -> Duration {
        let until_first = running.first_token.unwrap_or(now);
        let waited = until_first.saturating_duration_since(running.started);
        if call.max_tokens == 0 {
            return waited;
        }
        let usual = self.estimator.first_token(&call.target, 0.5);
        waited.min(usual.unwrap_or(waited)) + now.saturating_duration_since(until_first)
    }

    /// Serves the targets of a server that may have room again.
    pub(super) fn serve_server(
        &mut self,
        now: Instant,
        server: &ServerName,
        actions: &mut Vec<Action>,
    ) {
        let targets = self.servers.get(server).map(|e| e.server.targets.clone());
        for target in targets.unwrap_or_default() {
            self.serve_target(now, &target, actions);
        }
    }
}

/// Whether a failure costs neither an attempt nor the retry budget.
fn is_free(failure: Failure) -> bool {
    matches!(
        failure,
        Failure::Full | Failure::Leaving | Failure::Preempted
    )
}

fn ratio(time: Duration, usual: Duration) -> f64 {
    time.as_secs_f64() / usual.as_secs_f64().max(1e-6)
}
