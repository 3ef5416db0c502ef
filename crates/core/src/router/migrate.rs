//! Streams that fall behind are moved to another server.

use std::time::{Duration, Instant};

use crate::ids::{CallId, ServerName};
use crate::queue::Charge;
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

    /// Cancels the attempt and starts the next one elsewhere at once.
    fn move_away(&mut self, now: Instant, id: CallId, actions: &mut Vec<Action>) {
        let Some(server) = self.better_server(now, id) else {
            return;
        };
        let Some(entry) = self.calls.get(&id) else {
            return;
        };
        let call = entry.call.clone();
        if !self.budget(&call.profile).withdraw() {
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
        self.release(now, &call, &running);
        if let Some(slow) = self.servers.get_mut(&running.server) {
            slow.health.record_failure();
        }
        self.counters.moved += 1;
        actions.push(Action::Cancel {
            attempt: running.attempt,
            server: running.server,
        });
        self.start(now, id, server, Charge::default(), actions);
    }

    /// Another server that has room and would end in time.
    fn better_server(&mut self, now: Instant, id: CallId) -> Option<ServerName> {
        let entry = self.calls.get(&id)?;
        let running = entry.running.as_ref()?;
        let service = self.predict(&entry.class, &entry.call, entry.tokens);
        if entry.attempts >= self.options.attempts_max || now + service > entry.deadline {
            return None;
        }
        let mut tried = entry.tried.clone();
        tried.push(running.server.clone());
        let target = &entry.call.target;
        let mut candidates = self.servers.candidates(now, &self.options, target, &tried);
        candidates.retain(|c| {
            let server = self.servers.at(c.index).map(|e| &e.server.name);
            server.is_some_and(|name| !tried.contains(name))
        });
        let index = self.balancer.choose(entry.call.prefix_key, &candidates)?;
        Some(self.servers.at(index)?.server.name.clone())
    }
}
