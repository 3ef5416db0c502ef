//! Streams that fall behind are moved to another server.

use std::time::{Duration, Instant};

use crate::ids::CallId;
use crate::router::entry::{Entry, Running};
use crate::router::event::Action;
use crate::router::state::Router;

/// Multiple of the usual time after which a stream counts as slow.
const SLOW_RATIO: u32 = 3;
/// Silence that is never held against a server.
const SILENCE_MIN: Duration = Duration::from_millis(500);

impl Router {
    /// Moves streams that are slow, may be repeated and would be in time elsewhere.
    pub(super) fn watch(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let slow: Vec<CallId> = self
            .attempts
            .values()
            .filter(|id| self.calls.get(id).is_some_and(|e| self.is_slow(now, e)))
            .copied()
            .collect();
        for id in slow {
            self.move_away(now, id, actions);
        }
    }

    fn is_slow(&self, now: Instant, entry: &Entry) -> bool {
        let Some(running) = &entry.running else {
            return false;
        };
        if !entry.is_idempotent() || entry.call.max_tokens == 0 {
            return false;
        }
        self.is_silent(now, entry, running) || self.is_on_outlier(now, running)
    }

    fn is_silent(&self, now: Instant, entry: &Entry, running: &Running) -> bool {
        let target = &entry.call.target;
        let usual = if running.sample.is_some() {
            self.estimator.between_tokens(target, 0.9)
        } else {
            self.estimator.first_token(target, 0.9)
        };
        let Some(usual) = usual else {
            return false;
        };
        let silence = now.saturating_duration_since(running.last_progress);
        silence > (usual * SLOW_RATIO).max(SILENCE_MIN)
    }

    fn is_on_outlier(&self, now: Instant, running: &Running) -> bool {
        let server = self.servers.get(&running.server);
        server.is_some_and(|e| !e.health.is_available(now))
    }

    fn move_away(&mut self, now: Instant, id: CallId, actions: &mut Vec<Action>) {
        if !self.is_better_elsewhere(now, id) {
            return;
        }
        let Some(entry) = self.calls.get(&id) else {
            return;
        };
        let profile = entry.call.profile.clone();
        if !self.budget(&profile).withdraw() {
            return;
        }
        let Some(entry) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(running) = entry.running.take() else {
            return;
        };
        entry.maybe_run = true;
        entry.tried.push(running.server.clone());
        self.release(&running);
        if let Some(server) = self.servers.get_mut(&running.server) {
            server.health.failure();
        }
        self.counters.moved += 1;
        actions.push(Action::Cancel {
            attempt: running.attempt,
            server: running.server,
        });
        self.enqueue(now, id);
        self.serve(now, id, actions);
    }

    /// Whether another server has room and would end in time.
    fn is_better_elsewhere(&self, now: Instant, id: CallId) -> bool {
        let Some(entry) = self.calls.get(&id) else {
            return false;
        };
        let Some(running) = &entry.running else {
            return false;
        };
        let mut tried = entry.tried.clone();
        tried.push(running.server.clone());
        let target = &entry.call.target;
        let room = self
            .servers
            .of(target)
            .any(|(_, e)| e.has_room(now, &self.options) && !tried.contains(&e.server.name));
        let service = self.predict(&entry.class, &entry.call, entry.tokens);
        room && entry.attempts < self.options.attempts_max && now + service <= entry.deadline
    }
}
