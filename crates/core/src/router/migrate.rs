//! Migration of slow streams to other servers.

use std::time::{Duration, Instant};

use crate::ids::{CallId, ServerName};
use crate::queue::Charge;
use crate::router::entry::{CallEntry, RunningAttempt};
use crate::router::event::Action;
use crate::router::state::Router;

/// Multiple of the expected time after which a stream counts as stalled.
const STALL_RATIO: u32 = 3;
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
            self.migrate(now, id, actions);
        }
    }

    fn is_slow(&self, now: Instant, entry: &CallEntry) -> bool {
        let Some(running) = &entry.running else {
            return false;
        };
        if !entry.is_idempotent() || entry.call.max_tokens == 0 {
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

    /// Cancels the attempt and dispatches the call to another server.
    fn migrate(&mut self, now: Instant, id: CallId, actions: &mut Vec<Action>) {
        let Some(server) = self.migration_server(now, id) else {
            return;
        };
        let Some(entry) = self.calls.get(&id) else {
            return;
        };
        let call = entry.call.clone();
        if !self.retry_budget(&call.profile).withdraw() {
            return;
        }
        let Some(entry) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(running) = entry.running.take() else {
            return;
        };
        entry.may_have_run = true;
        entry.tried.push(running.server.clone());
        self.release_attempt(now, &call, &running);
        if let Some(slow) = self.servers.get_mut(&running.server) {
            slow.health.record_failure();
        }
        self.counters.migrated += 1;
        actions.push(Action::Cancel {
            attempt: running.attempt,
            server: running.server,
        });
        self.dispatch(now, id, server, Charge::default(), actions);
    }

    /// Chooses an untried server with capacity, if the call would finish in time.
    fn migration_server(&mut self, now: Instant, id: CallId) -> Option<ServerName> {
        let entry = self.calls.get(&id)?;
        let running = entry.running.as_ref()?;
        let service_time = self.predict(&entry.class, &entry.call, entry.tokens);
        if entry.attempts >= self.options.attempts_max || now + service_time > entry.deadline {
            return None;
        }
        let mut tried = entry.tried.clone();
        tried.push(running.server.clone());
        let mut candidates = self.servers.candidates(now, &self.options, entry, &tried);
        candidates.retain(|c| {
            let server = self.servers.get_at(c.index).map(|e| &e.server.name);
            server.is_some_and(|name| !tried.contains(name))
        });
        let index = self.balancer.choose(entry.call.prefix_key, &candidates)?;
        Some(self.servers.get_at(index)?.server.name.clone())
    }
}
