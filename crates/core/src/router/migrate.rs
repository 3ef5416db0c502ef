//! Migration of slow streams to other servers.

use std::time::{Duration, Instant};

use crate::ids::{CallId, ServerName};
use crate::queue::Charge;
use crate::router::attempt;
use crate::router::entry::{CallEntry, RunningAttempt};
use crate::router::event::Action;
use crate::router::state::Router;

/// Multiple of the expected time after which a stream counts as stalled.
const STALL_RATIO: u32 = 3;
/// Maximum number of dispatches after which a call still moves to another server.
///
/// Leaves some for the failure of the last server.
const DISPATCHES_MAX: u32 = attempt::DISPATCHES_MAX / 2;
/// Shorter pauses never count as a stall.
const STALL_MIN: Duration = Duration::from_millis(500);

impl Router {
    /// Migrates slow streams that may be retried and would finish in time elsewhere.
    pub(super) fn migrate_slow_streams(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let slow: Vec<CallId> = self
            .attempts
            .values()
            .filter(|id| self.calls.get(id).is_some_and(|e| self.is_slow(now, e)))
            .copied()
            .collect();
        for id in slow {
            self.migrate(now, id, false, actions);
        }
    }

    /// Moves a call whose server was reported as silent, if another one takes it.
    ///
    /// Servers that were tried may be tried again, since a new connection may work.
    pub(super) fn migrate_silent(&mut self, now: Instant, id: CallId, actions: &mut Vec<Action>) {
        if self.calls.get(&id).is_some_and(|e| self.is_slow(now, e)) {
            self.migrate(now, id, true, actions);
        }
    }

    fn is_slow(&self, now: Instant, entry: &CallEntry) -> bool {
        let Some(running) = &entry.running else {
            return false;
        };
        if !entry.is_idempotent() || entry.trial.is_some() {
            return false;
        }
        if running.silent {
            return true;
        }
        if entry.call.max_tokens == 0 {
            return false;
        }
        self.is_stalled(now, entry, running) || self.is_on_ejected_server(now, running)
    }

    fn is_stalled(&self, now: Instant, entry: &CallEntry, running: &RunningAttempt) -> bool {
        let target = &entry.call.target;
        let expected = if running.sample.is_some() {
            self.estimator.between_tokens(target, 0.9)
        } else {
            self.estimator.first_token(target, 0.9)
        };
        let Some(expected) = expected else {
            return false;
        };
        let stall = now.saturating_duration_since(running.last_progress);
        stall > (expected * STALL_RATIO).max(STALL_MIN)
    }

    fn is_on_ejected_server(&self, now: Instant, running: &RunningAttempt) -> bool {
        let server = self.servers.get(&running.server);
        server.is_some_and(|e| !e.health.is_available(now))
    }

    /// Moves a slow call to another server.
    ///
    /// A stalled attempt goes on until the other server accepts the call. One that makes
    /// slow progress ends at once, since the other server resumes the answer from here.
    fn migrate(&mut self, now: Instant, id: CallId, may_repeat: bool, actions: &mut Vec<Action>) {
        let Some(server) = self.migration_server(now, id, may_repeat) else {
            return;
        };
        let Some(entry) = self.calls.get(&id) else {
            return;
        };
        let makes_progress = entry.running.as_ref().is_some_and(|running| {
            running.sample.is_some() && !running.silent && !self.is_stalled(now, entry, running)
        });
        let profile = entry.call.profile.clone();
        if !self.retry_budget(&profile).withdraw() {
            return;
        }
        if makes_progress {
            self.leave_server(now, id, actions);
        }
        self.dispatch(now, id, server, Charge::default(), actions);
    }

    fn leave_server(&mut self, now: Instant, id: CallId, actions: &mut Vec<Action>) {
        let Some(entry) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(running) = entry.running.take() else {
            return;
        };
        entry.may_have_run = true;
        entry.tried.push(running.server.clone());
        let call = entry.call.clone();
        self.release_attempt(now, &call, &running);
        self.counters.migrated += 1;
        actions.push(running.cancel());
    }

    /// Chooses a server with capacity, if an attempt is left.
    ///
    /// A call whose server is not silent moves only if it would finish in time.
    fn migration_server(
        &mut self,
        now: Instant,
        id: CallId,
        may_repeat: bool,
    ) -> Option<ServerName> {
        let entry = self.calls.get(&id)?;
        let running = entry.running.as_ref()?;
        if entry.attempts >= self.options.attempts_max || entry.dispatches >= DISPATCHES_MAX {
            return None;
        }
        let service_time = self.predict(&entry.class, &entry.call, entry.tokens);
        if !running.silent && now + service_time > entry.deadline {
            return None;
        }
        let mut tried = entry.tried.clone();
        tried.push(running.server.clone());
        let mut candidates = self.servers.candidates(now, &self.options, entry, &tried);
        candidates.retain(|c| {
            let server = self.servers.get_at(c.index).map(|e| &e.server.name);
            may_repeat || server.is_some_and(|name| !tried.contains(name))
        });
        let index = self.balancer.choose(entry.call.prefix_key, &candidates)?;
        Some(self.servers.get_at(index)?.server.name.clone())
    }
}
