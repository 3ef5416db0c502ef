//! Arrivals, and calls that are refused.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;

use crate::call::{Call, Outcome, Reason, Refusal};
use crate::ids::CallId;
use crate::router::entry::Entry;
use crate::router::event::Action;
use crate::router::index::{Class, WorkspaceTerms};
use crate::router::state::Router;

/// Quantile of the length that nearly no answer exceeds.
const LENGTH_QUANTILE: f64 = 0.99;

impl Router {
    pub(super) fn arrive(&mut self, now: Instant, call: Call, actions: &mut Vec<Action>) {
        if self.calls.contains_key(&call.id) {
            self.counters.dropped += 1;
            return;
        }
        let id = call.id;
        match self.admit(now, &call) {
            Ok((class, terms)) => {
                self.enter(now, call, class, terms);
                self.enqueue(now, id);
                self.serve(now, id, actions);
            }
            Err(reason) => {
                let wait = self.drain_time(&call);
                self.refuse(id, reason, Outcome::NotRun, wait, actions);
            }
        }
    }

    fn admit(&self, now: Instant, call: &Call) -> Result<(Arc<Class>, WorkspaceTerms), Reason> {
        let index = self.index.as_ref().ok_or(Reason::NoConfiguration)?;
        let (class, terms) = index.terms(call)?;
        let limit = terms.in_flight_limit.div_ceil(self.nodes);
        let in_flight = self.workspaces.get(&call.workspace).copied();
        if in_flight.unwrap_or(0) >= limit {
            return Err(Reason::WorkspaceLimit);
        }
        if !self.servers.any_stays(now, &self.options, &call.target) {
            return Err(Reason::NoServer);
        }
        if self.is_deadline_unreachable(now, call, &class) {
            return Err(Reason::DeadlineUnreachable);
        }
        Ok((class, terms))
    }

    /// Whether the answer would be late even if the queue moves as expected.
    fn is_deadline_unreachable(&self, now: Instant, call: &Call, class: &Class) -> bool {
        let wait = self.wait(call, class);
        let service = self.needed(class, call, 0);
        now + wait + service > deadline(call, class)
    }

    /// Expected wait of a call that would join its class now.
    pub(super) fn wait(&self, call: &Call, class: &Class) -> Duration {
        let Some(queue) = self.queues.get(&call.target) else {
            return Duration::ZERO;
        };
        if queue.is_empty() {
            return Duration::ZERO;
        }
        let capacity = self.servers.capacity(&call.target);
        let work_us = queue.wait(&class.options).work();
        Duration::from_micros((work_us / f64::from(capacity.max(1))) as u64)
    }

    pub(super) fn drain_time(&self, call: &Call) -> Duration {
        let class = self.index.as_ref().and_then(|i| i.terms(call).ok());
        class.map_or(Duration::ZERO, |(class, _)| self.wait(call, &class))
    }

    /// Time that a call is expected to take, at the median of its length.
    pub(super) fn predict(&self, class: &Class, call: &Call, done_tokens: u32) -> Duration {
        self.predict_at(0.5, class, call, done_tokens)
    }

    /// Time that a call must have left to be started.
    ///
    /// That is enough for most lengths, but never more than a fixed part of the
    /// target, nor more than the median for what the caller already has a part of.
    pub(super) fn needed(&self, class: &Class, call: &Call, done_tokens: u32) -> Duration {
        let quantiles = &self.options.length_quantiles;
        let tier = usize::from(class.profile.tier);
        let quantile = quantiles.get(tier).copied().unwrap_or(LENGTH_QUANTILE);
        self.needed_at(quantile, class, call, done_tokens)
    }

    fn needed_at(&self, quantile: f64, class: &Class, call: &Call, done_tokens: u32) -> Duration {
        let median = self.predict(class, call, done_tokens);
        if done_tokens > 0 {
            return median;
        }
        let whole = Duration::from_millis(class.profile.whole_ms);
        let most = self.predict_at(quantile, class, call, done_tokens);
        median.max(most.min(whole.mul_f64(self.options.start_ratio)))
    }

    /// When a waiting call should start to have time for nearly any length.
    pub(super) fn due(&self, now: Instant, entry: &Entry) -> Instant {
        let needed = self.needed_at(LENGTH_QUANTILE, &entry.class, &entry.call, entry.tokens);
        entry.deadline.checked_sub(needed).unwrap_or(now)
    }

    pub(super) fn predict_at(
        &self,
        quantile: f64,
        class: &Class,
        call: &Call,
        done_tokens: u32,
    ) -> Duration {
        let remaining = crate::estimate::Remaining {
            max_tokens: call.max_tokens,
            done_tokens,
        };
        self.estimator
            .predict(&class.profile.name, &call.target, remaining, quantile)
    }

    fn enter(&mut self, now: Instant, call: Call, class: Arc<Class>, terms: WorkspaceTerms) {
        *self.workspaces.entry(call.workspace.clone()).or_default() += 1;
        let entry = Entry {
            deadline: deadline(&call, &class),
            latest_start: now,
            due: now,
            weight: terms.weight,
            class,
            dispatches: 0,
            attempts: 0,
            preemptions: 0,
            maybe_run: false,
            running: None,
            tokens: 0,
            tried: Vec::new(),
            call,
        };
        self.calls.insert(entry.call.id, entry);
    }

    pub(super) fn refuse(
        &mut self,
        call: CallId,
        reason: Reason,
        outcome: Outcome,
        wait: Duration,
        actions: &mut Vec<Action>,
    ) {
        match reason {
            Reason::QueueFull => self.counters.shed += 1,
            Reason::DeadlineUnreachable => self.counters.deadline_unreachable += 1,
            _ => {}
        }
        let bounds = (self.options.retry_after, self.options.retry_after_max);
        let base = wait.clamp(bounds.0, bounds.1.max(bounds.0));
        let spread = 1.0 + self.rng.random::<f64>() / 2.0;
        let refusal = Refusal {
            reason,
            outcome,
            retry_after: base.mul_f64(spread),
        };
        actions.push(Action::Refuse { call, refusal });
    }
}

fn deadline(call: &Call, class: &Class) -> Instant {
    call.received + Duration::from_millis(class.profile.whole_ms)
}
