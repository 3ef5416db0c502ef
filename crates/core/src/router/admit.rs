//! Admission and refusal of arriving calls.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;

use crate::call::{Call, Outcome, Reason, Refusal};
use crate::ids::CallId;
use crate::router::entry::CallEntry;
use crate::router::event::Action;
use crate::router::index::{Class, WorkspaceLimits};
use crate::router::state::Router;

/// Quantile of the output length that few answers exceed.
const LENGTH_QUANTILE: f64 = 0.99;

impl Router {
    pub(super) fn handle_arrival(&mut self, now: Instant, call: Call, actions: &mut Vec<Action>) {
        if self.calls.contains_key(&call.id) {
            self.counters.dropped += 1;
            return;
        }
        let id = call.id;
        match self.admit(now, &call) {
            Ok((class, limits)) => {
                self.insert_call(now, call, class, limits);
                self.enqueue(now, id);
                self.serve_enqueued(now, id, actions);
            }
            Err(reason) => {
                let wait = self.drain_time(&call);
                self.refuse(id, reason, Outcome::NotRun, wait, actions);
            }
        }
    }

    fn admit(&self, now: Instant, call: &Call) -> Result<(Arc<Class>, WorkspaceLimits), Reason> {
        let index = self.index.as_ref().ok_or(Reason::NoConfiguration)?;
        let (class, limits) = index.look_up(call)?;
        let limit = limits.in_flight_limit.div_ceil(self.nodes);
        let in_flight = self.workspaces.get(&call.workspace).copied();
        if in_flight.unwrap_or(0) >= limit {
            return Err(Reason::WorkspaceLimit);
        }
        if !self
            .servers
            .any_in_service(now, &self.options, &call.target, None)
        {
            return Err(Reason::NoServer);
        }
        if self.is_deadline_unreachable(now, call, &class) {
            return Err(Reason::DeadlineUnreachable);
        }
        Ok((class, limits))
    }

    /// Whether the answer would be late even if the queue drains as predicted.
    fn is_deadline_unreachable(&self, now: Instant, call: &Call, class: &Class) -> bool {
        let wait = self.expected_wait(call, class);
        let service_time = self.time_needed(class, call, 0);
        now + wait + service_time > deadline(call, class)
    }

    /// Expected queueing time of a call that joins its class now.
    pub(super) fn expected_wait(&self, call: &Call, class: &Class) -> Duration {
        let Some(queue) = self.queues.get(&call.target) else {
            return Duration::ZERO;
        };
        if queue.is_empty() {
            return Duration::ZERO;
        }
        let capacity = self.servers.capacity(&call.target);
        let work_us = queue.work_ahead(&class.options).cost();
        Duration::from_micros((work_us / f64::from(capacity.max(1))) as u64)
    }

    /// Expected queueing time of a call, or zero if its names are unknown.
    pub(super) fn drain_time(&self, call: &Call) -> Duration {
        let class = self.index.as_ref().and_then(|i| i.look_up(call).ok());
        class.map_or(Duration::ZERO, |(class, _)| {
            self.expected_wait(call, &class)
        })
    }

    /// Predicted service time of a call at the median output length.
    pub(super) fn predict(&self, class: &Class, call: &Call, done_tokens: u32) -> Duration {
        self.predict_at_quantile(0.5, class, call, done_tokens)
    }

    /// Time that a call must have left before its deadline to be dispatched.
    ///
    /// Enough for most output lengths, but at least the median and otherwise at most a
    /// fixed fraction of the objective; a call with delivered tokens needs only the median.
    pub(super) fn time_needed(&self, class: &Class, call: &Call, done_tokens: u32) -> Duration {
        let quantiles = &self.options.length_quantiles;
        let tier = usize::from(class.profile.tier);
        let quantile = quantiles.get(tier).copied().unwrap_or(LENGTH_QUANTILE);
        self.time_needed_at(quantile, class, call, done_tokens)
    }

    fn time_needed_at(
        &self,
        quantile: f64,
        class: &Class,
        call: &Call,
        done_tokens: u32,
    ) -> Duration {
        let median = self.predict(class, call, done_tokens);
        if done_tokens > 0 {
            return median;
        }
        let whole = Duration::from_millis(class.profile.whole_ms);
        let long = self.predict_at_quantile(quantile, class, call, done_tokens);
        median.max(long.min(whole.mul_f64(self.options.start_reserve_ratio)))
    }

    /// Dispatch time that leaves time for nearly any output length.
    pub(super) fn preferred_start(&self, now: Instant, entry: &CallEntry) -> Instant {
        let time_needed =
            self.time_needed_at(LENGTH_QUANTILE, &entry.class, &entry.call, entry.tokens);
        entry.deadline.checked_sub(time_needed).unwrap_or(now)
    }

    /// Predicted service time of a call at a quantile of the output length.
    pub(super) fn predict_at_quantile(
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

    fn insert_call(
        &mut self,
        now: Instant,
        call: Call,
        class: Arc<Class>,
        limits: WorkspaceLimits,
    ) {
        *self.workspaces.entry(call.workspace.clone()).or_default() += 1;
        let entry = CallEntry {
            deadline: deadline(&call, &class),
            latest_start: now,
            preferred_start: now,
            weight: limits.weight,
            class,
            dispatches: 0,
            attempts: 0,
            preemptions: 0,
            may_have_run: false,
            running: None,
            trial: None,
            tokens: 0,
            version: None,
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
        let jitter = 1.0 + self.rng.random::<f64>() / 2.0;
        let refusal = Refusal {
            reason,
            outcome,
            retry_after: base.mul_f64(jitter),
        };
        actions.push(Action::Refuse { call, refusal });
    }
}

fn deadline(call: &Call, class: &Class) -> Instant {
    call.received + Duration::from_millis(class.profile.whole_ms)
}
