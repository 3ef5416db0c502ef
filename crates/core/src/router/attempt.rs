//! Events of attempts, disconnected callers and leaving servers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::call::{Call, Failure, Outcome, Reason};
use crate::ids::{AttemptId, CallId, ServerName, TargetName};
use crate::router::entry::{RunningAttempt, SpeedSample};
use crate::router::event::{Action, AttemptEvent};
use crate::router::state::Router;

/// Tokens over which the time between tokens is averaged.
const SAMPLE_TOKENS: u32 = 16;
/// Maximum number of dispatches of one call, including those that a server refused.
pub(super) const DISPATCHES_MAX: u32 = 16;

impl Router {
    pub(super) fn handle_caller_gone(
        &mut self,
        now: Instant,
        id: CallId,
        actions: &mut Vec<Action>,
    ) {
        self.dequeue(id);
        let Some(mut entry) = self.remove_call(id) else {
            self.counters.dropped += 1;
            return;
        };
        let outcome = entry.outcome();
        let open = [entry.running.take(), entry.trial.take()];
        for open in open.iter().flatten() {
            self.release_attempt(now, &entry.call, open);
            actions.push(open.cancel());
        }
        actions.push(Action::End { call: id, outcome });
        for open in open.iter().flatten() {
            self.serve_server(now, &open.server, actions);
        }
    }

    pub(super) fn handle_attempt(
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
        if self.is_trial(id, attempt) {
            match event {
                AttemptEvent::Failed(failure) => {
                    self.handle_trial_failure(now, id, failure, actions);
                    return;
                }
                AttemptEvent::Silent => {
                    self.handle_trial_silence(now, id, actions);
                    return;
                }
                AttemptEvent::Accepted | AttemptEvent::Progress { .. } | AttemptEvent::Done => {
                    self.adopt_trial(now, id, actions);
                }
            }
        }
        match event {
            AttemptEvent::Accepted => self.record_heard(id),
            AttemptEvent::Silent => self.handle_silence(now, id, actions),
            AttemptEvent::Progress { tokens } => {
                self.handle_progress(now, id, tokens, actions);
            }
            AttemptEvent::Done => self.handle_done(now, id, actions),
            AttemptEvent::Failed(failure) => self.handle_failure(now, id, failure, actions),
        }
    }

    fn record_heard(&mut self, id: CallId) {
        let running = self.calls.get(&id).and_then(|e| e.running.as_ref());
        if let Some(running) = running {
            self.servers.record_heard(&running.server);
        }
    }

    /// Moves the call if another server takes it; otherwise the attempt goes on.
    fn handle_silence(&mut self, now: Instant, id: CallId, actions: &mut Vec<Action>) {
        let entry = self.calls.get_mut(&id);
        let Some(running) = entry.and_then(|e| e.running.as_mut()) else {
            return;
        };
        running.silent = true;
        let server = running.server.clone();
        self.record_failure(now, &server, Failure::Silent);
        self.migrate_silent(now, id, actions);
    }

    fn handle_progress(
        &mut self,
        now: Instant,
        id: CallId,
        tokens: u32,
        actions: &mut Vec<Action>,
    ) {
        self.record_heard(id);
        if self.calls.get(&id).is_none_or(|e| tokens <= e.tokens) {
            return;
        }
        self.cancel_trial(now, id, actions);
        let Some(entry) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(running) = entry.running.as_mut() else {
            return;
        };
        entry.tokens = tokens;
        let version = || Arc::clone(&running.version);
        entry.version.get_or_insert_with(version);
        running.last_progress = now;
        running.silent = false;
        let server = running.server.clone();
        let target = entry.call.target.clone();
        let next_sample = SpeedSample {
            started: now,
            tokens,
        };
        let Some(sample) = running.sample else {
            running.sample = Some(next_sample);
            running.first_token = Some(now);
            let time = now.saturating_duration_since(running.started);
            self.record_first_token(now, &server, &target, time);
            return;
        };
        let sampled = tokens - sample.tokens;
        if sampled >= SAMPLE_TOKENS {
            running.sample = Some(next_sample);
            let time = now.saturating_duration_since(sample.started) / sampled;
            self.record_between_tokens(now, &server, &target, time);
        }
    }

    fn record_first_token(
        &mut self,
        now: Instant,
        server: &ServerName,
        target: &TargetName,
        time: Duration,
    ) {
        let expected = self.estimator.first_token(target, 0.5);
        self.estimator.record_first_token(target, time);
        let Some(entry) = self.servers.get_mut(server) else {
            return;
        };
        entry.health.record_success();
        if let Some(expected) = expected {
            entry
                .limiter
                .record_first_token(now, time, expected, entry.load.own_requests());
            entry.health.record_slowness(slowness_ratio(time, expected));
        }
        self.servers.eject_if_outlier(now, &self.options, server);
    }

    fn record_between_tokens(
        &mut self,
        now: Instant,
        server: &ServerName,
        target: &TargetName,
        time: Duration,
    ) {
        let expected = self.estimator.between_tokens(target, 0.5);
        self.estimator.record_between_tokens(target, time);
        let Some(entry) = self.servers.get_mut(server) else {
            return;
        };
        entry.health.record_success();
        if let Some(expected) = expected {
            entry.health.record_slowness(slowness_ratio(time, expected));
        }
        self.servers.eject_if_outlier(now, &self.options, server);
    }

    fn handle_done(&mut self, now: Instant, id: CallId, actions: &mut Vec<Action>) {
        self.cancel_trial(now, id, actions);
        let Some(mut entry) = self.remove_call(id) else {
            return;
        };
        let Some(running) = entry.running.take() else {
            return;
        };
        self.servers.record_heard(&running.server);
        self.release_attempt(now, &entry.call, &running);
        let call = &entry.call;
        if call.max_tokens == 0 {
            let time = now.saturating_duration_since(running.started);
            self.record_first_token(now, &running.server, &call.target, time);
        } else {
            self.estimator
                .record_length(&call.profile, &call.target, entry.tokens);
        }
        let outcome = Outcome::Completed;
        actions.push(Action::End { call: id, outcome });
        self.serve_server(now, &running.server, actions);
    }

    fn handle_failure(
        &mut self,
        now: Instant,
        id: CallId,
        failure: Failure,
        actions: &mut Vec<Action>,
    ) {
        let Some(entry) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(running) = entry.running.take() else {
            return;
        };
        let proven_not_run = failure.proves_not_run();
        entry.may_have_run |= !proven_not_run || entry.tokens > 0;
        let may_retry = entry.is_idempotent() || !entry.may_have_run;
        if is_uncounted(failure) {
            entry.attempts -= 1;
        }
        let has_attempts_left =
            entry.attempts < self.options.attempts_max && entry.dispatches < DISPATCHES_MAX;
        if !entry.tried.contains(&running.server) {
            entry.tried.push(running.server.clone());
        }
        let call = entry.call.clone();
        self.release_attempt(now, &call, &running);
        // Its silence was recorded when it was reported.
        if failure != Failure::Silent || !running.silent {
            self.record_failure(now, &running.server, failure);
        }
        if self.promote_trial(id) {
            // The trial goes on in its place.
        } else if !may_retry || !has_attempts_left {
            self.give_up(id, Reason::ServerFailed, actions);
        } else if !is_uncounted(failure) && !self.retry_budget(&call.profile).withdraw() {
            self.give_up(id, Reason::RetryBudget, actions);
        } else {
            self.enqueue(now, id);
            self.serve_enqueued(now, id, actions);
        }
        self.serve_server(now, &running.server, actions);
    }

    /// Records a failed attempt at its server.
    pub(super) fn record_failure(&mut self, now: Instant, server: &ServerName, failure: Failure) {
        let Some(entry) = self.servers.get_mut(server) else {
            return;
        };
        match failure {
            Failure::Preempted => {}
            Failure::Leaving => entry.set_leaving(now),
            Failure::Full => {
                entry.limiter.record_refusal(now);
                entry.back_off(now, &self.options);
            }
            Failure::NotSent => {
                entry.health.record_failure();
                entry.back_off(now, &self.options);
            }
            Failure::Broken | Failure::Silent | Failure::Malformed | Failure::ServerError => {
                entry.health.record_failure();
            }
        }
        self.servers.eject_if_outlier(now, &self.options, server);
    }

    pub(super) fn handle_server_leaving(
        &mut self,
        now: Instant,
        server: &ServerName,
        actions: &mut Vec<Action>,
    ) {
        if let Some(entry) = self.servers.get_mut(server) {
            entry.set_leaving(now);
        }
        self.serve_all(now, actions);
    }

    /// Settles the queue charge and frees the server load of an attempt that ended.
    pub(super) fn release_attempt(&mut self, now: Instant, call: &Call, running: &RunningAttempt) {
        self.attempts.remove(&running.attempt);
        let slot_time_us = self.slot_time(now, call, running).as_micros() as u64;
        if let Some(queue) = self.queues.get_mut(&call.target) {
            queue.settle(&call.profile, running.charge, slot_time_us);
        }
        if let Some(entry) = self.servers.get_mut(&running.server) {
            entry.load.record_end();
        }
    }

    /// Time for which the attempt held a slot, without queueing at the server.
    fn slot_time(&self, now: Instant, call: &Call, running: &RunningAttempt) -> Duration {
        let until_first = running.first_token.unwrap_or(now);
        let waited = until_first.saturating_duration_since(running.started);
        if call.max_tokens == 0 {
            return waited;
        }
        let expected = self.estimator.first_token(&call.target, 0.5);
        waited.min(expected.unwrap_or(waited)) + now.saturating_duration_since(until_first)
    }

    /// Serves the targets of a server that may have capacity again.
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

/// Whether a failure counts neither as an attempt nor against the retry budget.
pub(super) fn is_uncounted(failure: Failure) -> bool {
    matches!(
        failure,
        Failure::Full | Failure::Leaving | Failure::Preempted
    )
}

fn slowness_ratio(time: Duration, expected: Duration) -> f64 {
    time.as_secs_f64() / expected.as_secs_f64().max(1e-6)
}
