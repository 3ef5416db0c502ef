//! Attempts at another server while the running one is stalled.
//!
//! The stalled attempt goes on until the other server accepts the call. A pause of a
//! sound server then costs nothing when the other one refuses or fails.

use std::time::Instant;

use crate::call::Failure;
use crate::ids::{AttemptId, CallId, ServerName};
use crate::router::attempt::is_uncounted;
use crate::router::event::Action;
use crate::router::state::Router;

impl Router {
    pub(super) fn is_trial(&self, id: CallId, attempt: AttemptId) -> bool {
        let trial = self.calls.get(&id).and_then(|e| e.trial.as_ref());
        trial.is_some_and(|trial| trial.attempt == attempt)
    }

    /// Replaces the stalled attempt by the trial, whose server accepted the call.
    pub(super) fn adopt_trial(&mut self, now: Instant, id: CallId, actions: &mut Vec<Action>) {
        let Some(entry) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(trial) = entry.trial.take() else {
            return;
        };
        let Some(stalled) = entry.running.replace(trial) else {
            return;
        };
        entry.may_have_run = true;
        entry.tried.push(stalled.server.clone());
        let call = entry.call.clone();
        self.release_attempt(now, &call, &stalled);
        self.record_stall(now, &stalled.server);
        self.counters.migrated += 1;
        actions.push(stalled.cancel());
    }

    /// Blames a server for a stalled attempt only if all of its attempts are.
    fn record_stall(&mut self, now: Instant, server: &ServerName) {
        let Some(entry) = self.servers.get_mut(server) else {
            return;
        };
        if entry.is_silent(now) {
            self.record_failure(now, server, Failure::Silent);
        }
    }

    /// Cancels the trial of a call whose first attempt went on, as if not sent.
    pub(super) fn cancel_trial(&mut self, now: Instant, id: CallId, actions: &mut Vec<Action>) {
        let Some(entry) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(trial) = entry.trial.take() else {
            return;
        };
        entry.attempts -= 1;
        entry.dispatches -= 1;
        entry.may_have_run = true;
        let call = entry.call.clone();
        self.release_attempt(now, &call, &trial);
        actions.push(trial.cancel());
    }

    /// Lets the trial take the place of a running attempt that failed.
    pub(super) fn promote_trial(&mut self, id: CallId) -> bool {
        let Some(entry) = self.calls.get_mut(&id) else {
            return false;
        };
        entry.running = entry.trial.take();
        entry.running.is_some()
    }

    /// Records a failed trial; the stalled attempt goes on.
    pub(super) fn handle_trial_failure(
        &mut self,
        now: Instant,
        id: CallId,
        failure: Failure,
        actions: &mut Vec<Action>,
    ) {
        let Some(entry) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(trial) = entry.trial.take() else {
            return;
        };
        entry.may_have_run |= !failure.proves_not_run();
        if is_uncounted(failure) {
            entry.attempts -= 1;
        }
        if !entry.tried.contains(&trial.server) {
            entry.tried.push(trial.server.clone());
        }
        let call = entry.call.clone();
        if is_uncounted(failure) {
            self.retry_budget(&call.profile).refund();
        }
        self.release_attempt(now, &call, &trial);
        self.record_failure(now, &trial.server, failure);
        self.serve_server(now, &trial.server, actions);
    }

    /// Cancels a trial whose server is silent as well, so that another can be tried.
    pub(super) fn handle_trial_silence(
        &mut self,
        now: Instant,
        id: CallId,
        actions: &mut Vec<Action>,
    ) {
        let entry = self.calls.get(&id);
        let Some(cancel) = entry.and_then(|e| Some(e.trial.as_ref()?.cancel())) else {
            return;
        };
        actions.push(cancel);
        self.handle_trial_failure(now, id, Failure::Silent, actions);
    }
}
