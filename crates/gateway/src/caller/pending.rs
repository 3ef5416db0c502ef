//! Attempts of a call that wait for the heads of their answers.

use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use briarbank_core::flow::{Fault, Instance, Placement};
use futures_util::future::select_all;
use tokio::time::{Instant, timeout_at};

use crate::caller::attempt_guard::{AttemptGuard, Execution, StartedAnswer};
use crate::caller::exchange::Exchange;
use crate::caller::outcome::Outcome;
use crate::caller::silence::OVERLAP_MAX;
use crate::loads;
use crate::log_lines::LineKind;
use crate::server::{SendError, Sent};

/// An attempt that waits for the head of its answer.
struct PendingAttempt {
    guard: AttemptGuard,
    sending: Pin<Box<dyn Future<Output = Result<Sent, SendError>>>>,
    sent_at: Instant,
    /// Time without a head after which the server counts as silent.
    silence_max: Duration,
    /// When to look for another server next.
    check_at: Instant,
    /// Whether another server was asked since; the attempt counts as used then.
    is_left: bool,
}

impl PendingAttempt {
    /// Returns the fault of a server that has not answered until now.
    fn unanswered_fault(&self) -> Fault {
        if self.sent_at.elapsed() >= self.silence_max {
            Fault::Silent
        } else {
            Fault::Cancelled
        }
    }
}

/// Attempts of one call that have not led to an answer.
#[derive(Default)]
struct Attempts {
    /// In the order of their sends.
    pending: Vec<PendingAttempt>,
    /// Error of a server, to be forwarded if no silent server answers.
    error: Option<Box<StartedAnswer>>,
}

/// What follows when attempts have been waited for.
enum Step {
    Started(Box<StartedAnswer>),
    /// Another server is to be asked.
    Send,
    /// No attempt is left.
    End,
}

impl Exchange {
    /// Sends the call until a server starts to answer.
    ///
    /// A server that is silent is given up only when another one has started to answer,
    /// or has a stream for a moment without refusing it.
    pub(crate) async fn start_answer(&mut self) -> Result<StartedAnswer, Outcome> {
        let mut attempts = Attempts::default();
        loop {
            if let Err(outcome) = self.send_next(&mut attempts).await
                && attempts.pending.is_empty()
            {
                return attempts.error.take().map(|e| *e).ok_or(outcome);
            }
            match self.wait_for_answer(&mut attempts).await {
                Step::Started(started) => {
                    self.give_up(attempts.pending);
                    if let Some(error) = attempts.error {
                        error.guard.record_failure(Fault::Failed);
                    }
                    self.record.server = Some(started.guard.instance.id.clone());
                    return Ok(*started);
                }
                Step::Send => {}
                Step::End => {
                    self.give_up(attempts.pending);
                    let error = attempts.error.take().map(|e| *e);
                    return error.ok_or_else(|| self.final_outcome());
                }
            }
        }
    }

    /// Sends the call to the next server.
    async fn send_next(&mut self, attempts: &mut Attempts) -> Result<(), Outcome> {
        let uncounted = self.uncounted.take();
        let placement = self.place(&attempts.pending).await?;
        let guard = AttemptGuard::new(&self.shared, &placement);
        if let Some(silent) = uncounted {
            if !self.may_retry(Execution::Unknown, &silent) {
                return Err(self.final_outcome());
            }
            if let Some(newest) = attempts.pending.last_mut() {
                newest.is_left = true;
            }
        }
        self.record.server = Some(placement.instance.id.clone());
        self.record.expected_ms = Some(placement.expected_latency.as_millis() as u64);
        let attempt = self.begin_attempt(guard, &placement);
        attempts.pending.push(attempt);
        Ok(())
    }

    /// Chooses the server for the next attempt, not one that has the call already.
    async fn place(&mut self, pending: &[PendingAttempt]) -> Result<Placement, Outcome> {
        let now = Instant::now();
        if now >= self.deadline {
            return Err(self.final_outcome());
        }
        let call = self.call_to_dispatch(now);
        let has_silent = self.silent_server.is_some() || !pending.is_empty();
        let mut avoid = self.tried.clone();
        avoid.extend(self.silent_server.clone());
        avoid.extend(pending.iter().map(|a| a.guard.instance.id.clone()));
        loads::query(&self.shared, &call, &avoid).await;
        let dispatched = {
            let now = std::time::Instant::now();
            let mut dispatcher = self.shared.dispatcher.borrow_mut();
            if has_silent && !dispatcher.can_move(now, &call, &avoid) {
                return Err(self.final_outcome());
            }
            dispatcher.dispatch(now, &call, &avoid)
        };
        loads::report_changes(&self.shared);
        dispatched.map_err(|refusal| self.refusal_outcome(refusal))
    }

    /// Sends the call to the chosen server.
    fn begin_attempt(&self, guard: AttemptGuard, placement: &Placement) -> PendingAttempt {
        let request = self.build_request(&placement.instance);
        let (connections_max, sharing_nodes) = self.connection_limit();
        let (shared, instance) = (Rc::clone(&self.shared), Arc::clone(&placement.instance));
        let sending = async move {
            let is_evacuated = || {
                let dispatcher = shared.dispatcher.borrow();
                dispatcher.is_evacuated(std::time::Instant::now(), &instance)
            };
            let pool = &shared.pool;
            let sending = pool.send(
                &instance,
                request,
                connections_max,
                sharing_nodes,
                is_evacuated,
            );
            sending.await
        };
        let (sent_at, silence_max) = (Instant::now(), self.silence_max(placement));
        self.sent_at.set(sent_at);
        PendingAttempt {
            guard,
            sending: Box::pin(sending),
            sent_at,
            silence_max,
            check_at: sent_at + silence_max,
            is_left: false,
        }
    }

    /// Waits until a server answers or another one is to be asked.
    async fn wait_for_answer(&mut self, attempts: &mut Attempts) -> Step {
        while let Some(newest) = attempts.pending.last() {
            let overlap_end = self.overlap_end(&attempts.pending);
            let until = newest.check_at.min(self.deadline);
            let until = overlap_end.map_or(until, |end| end.min(until));
            let pending = attempts.pending.iter_mut();
            let sending = select_all(pending.map(|a| a.sending.as_mut()));
            let waited = timeout_at(until, sending).await;
            let now = Instant::now();
            let step = match waited {
                Ok((sent, index, _)) => self.end_attempt(attempts, index, sent),
                Err(_) if now >= self.deadline => Some(Step::End),
                Err(_) if overlap_end.is_some_and(|end| now >= end) => {
                    let newest = attempts.pending.pop();
                    self.give_up(std::mem::take(&mut attempts.pending));
                    attempts.pending.extend(newest);
                    None
                }
                Err(_) => self.look_for_another(attempts),
            };
            if let Some(step) = step {
                return step;
            }
        }
        Step::End
    }

    /// Returns when silent servers of a stream are given up, as another one has it.
    fn overlap_end(&self, pending: &[PendingAttempt]) -> Option<Instant> {
        let newest = pending.last()?;
        let has_others = pending.len() > 1 && !newest.is_left;
        let is_bounded = self.admitted.route.is_stream() && has_others;
        is_bounded.then(|| newest.sent_at + OVERLAP_MAX)
    }

    /// Ends an attempt; returns `None` if other attempts decide what follows.
    fn end_attempt(
        &mut self,
        attempts: &mut Attempts,
        index: usize,
        sent: Result<Sent, SendError>,
    ) -> Option<Step> {
        let attempt = attempts.pending.remove(index);
        let (guard, is_left) = (attempt.guard, attempt.is_left);
        let instance = Arc::clone(&guard.instance);
        let checked = match sent {
            Ok(sent) => self.check_answer(&instance, sent),
            Err(error) => Err(self.classify_send_error(&error)),
        };
        let failed = match checked {
            Ok((head, answer_head, body, connection)) => {
                guard.record_connection(&connection);
                let started = Box::new(StartedAnswer {
                    guard,
                    connection,
                    head,
                    answer_head,
                    body,
                });
                let is_error = started.head.status.is_server_error();
                if is_error && !attempts.pending.is_empty() {
                    attempts.error.get_or_insert(started);
                    return None;
                }
                return Some(Step::Started(started));
            }
            Err(failed) => failed,
        };
        guard.record_failure(failed.fault);
        self.log_failed_attempt(&instance, failed.fault);
        let may_send = !is_left && self.may_retry(failed.execution, &instance);
        may_send.then_some(Step::Send)
    }

    /// Ends attempts that have not been answered.
    fn give_up(&mut self, pending: Vec<PendingAttempt>) {
        for attempt in pending {
            self.may_have_run = true;
            let fault = attempt.unanswered_fault();
            self.set_failure_reason("server was silent");
            self.log_failed_attempt(&attempt.guard.instance, fault);
            attempt.guard.record_failure(fault);
        }
    }

    /// Looks for another server to ask beside one that is silent.
    fn look_for_another(&mut self, attempts: &mut Attempts) -> Option<Step> {
        let newest = attempts.pending.last_mut()?;
        newest.check_at = Instant::now() + newest.silence_max;
        let instance = Arc::clone(&newest.guard.instance);
        if newest.is_left || !self.can_leave(&instance) {
            return None;
        }
        self.set_failure_reason("server was silent");
        self.uncounted = Some(instance);
        Some(Step::Send)
    }

    fn log_failed_attempt(&self, instance: &Instance, fault: Fault) {
        if self.shared.log_lines.take(LineKind::Attempt) {
            tracing::info!(
                id = %self.record.id, server = %instance.id, ?fault,
                trouble = self.record.failure_reason.as_deref(), "call: attempt failed"
            );
        }
    }
}
