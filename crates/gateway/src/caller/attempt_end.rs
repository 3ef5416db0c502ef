//! How attempts of a call end, and what follows for the others.

use std::sync::Arc;

use briarbank_core::flow::{Fault, Instance};

use crate::caller::attempt::AcceptedAnswer;
use crate::caller::attempt_guard::{Execution, FailedAttempt, StartedAnswer};
use crate::caller::exchange::Exchange;
use crate::caller::framing::Framing;
use crate::caller::outcome::means_not_run;
use crate::caller::pending::{Attempts, PendingAttempt, Step};
use crate::caller::received::Received;
use crate::log_lines::LineKind;
use crate::server::{SendError, Sent};

impl Exchange {
    /// Ends all other attempts of a call that has its answer.
    pub(crate) fn end_search_with(
        &mut self,
        attempts: Attempts,
        started: Box<StartedAnswer>,
    ) -> StartedAnswer {
        if let Some(sent_at) = attempts.first_sent_at
            && started.head.status.is_success()
        {
            let first = attempts.pending.first();
            let is_overtaken = first.is_some_and(|first| first.sent_at == sent_at);
            self.record_answer_time(sent_at, is_overtaken);
        }
        let is_silent = |a: &PendingAttempt| a.is_silent() || !self.has_hedged;
        let (silent, overtaken): (Vec<_>, Vec<_>) =
            attempts.pending.into_iter().partition(is_silent);
        for attempt in overtaken {
            self.may_have_run = true;
            attempt.guard.record_overtaken();
        }
        self.give_up(silent);
        if let Some(error) = attempts.error {
            error.guard.record_failure(Fault::Failed);
        }
        self.record.server = Some(started.guard.instance.id.clone());
        *started
    }

    /// Ends an attempt; returns `None` if other attempts decide what follows.
    pub(crate) fn end_attempt(
        &mut self,
        attempts: &mut Attempts,
        index: usize,
        sent: Result<(Sent, Received), SendError>,
    ) -> Option<Step> {
        let mut attempt = attempts.pending.remove(index);
        let instance = Arc::clone(&attempt.guard.instance);
        let checked = match sent {
            Ok((sent, received)) => self.check_received(&instance, sent, received),
            Err(error) => Err(self.classify_send_error(&error)),
        };
        match checked {
            Ok((accepted, received)) => {
                let (head, answer_head, body, connection) = accepted;
                attempt.guard.record_connection(&connection);
                // A refusal must not replace the answer of the other attempt of a hedged call.
                let is_hedged =
                    attempt.hedge.is_some() || attempts.pending.iter().any(|a| a.hedge.is_some());
                let is_refusal = is_hedged && means_not_run(head.status);
                let is_error = head.status.is_server_error() || is_refusal;
                let is_beside = is_error && !attempts.pending.is_empty();
                let hedge = attempt.hedge.take();
                if is_beside && hedge.is_some() && !attempt.is_left {
                    self.restore_first(attempts, &instance);
                }
                if let Some(hedge) = hedge {
                    hedge.record_end(!is_error);
                }
                let started = Box::new(StartedAnswer {
                    guard: attempt.guard,
                    connection,
                    framing: Framing::of(&self.head.method, head.status, &head.headers),
                    head,
                    answer_head,
                    body,
                    received,
                });
                if is_beside {
                    attempts.error.get_or_insert(started);
                    return None;
                }
                Some(Step::Started(started))
            }
            Err(failed) => self.end_failed_attempt(attempts, attempt, &failed),
        }
    }

    /// Ends an attempt that failed; returns `None` if other attempts decide what follows.
    fn end_failed_attempt(
        &mut self,
        attempts: &mut Attempts,
        mut attempt: PendingAttempt,
        failed: &FailedAttempt,
    ) -> Option<Step> {
        let instance = Arc::clone(&attempt.guard.instance);
        let (hedge, is_left) = (attempt.hedge.take(), attempt.is_left);
        attempt.guard.record_failure(failed.fault);
        self.log_failed_attempt(&instance, failed.fault);
        let is_beside = hedge.is_some() && !attempts.pending.is_empty();
        if (is_beside || is_left) && failed.execution == Execution::Unknown {
            self.may_have_run = true;
        }
        if let Some(hedge) = hedge {
            hedge.record_end(false);
        }
        if is_beside && !is_left {
            if failed.execution == Execution::NotSent {
                self.record.sends = self.record.sends.saturating_sub(1);
            }
            self.restore_first(attempts, &instance);
            return None;
        }
        let may_send = !is_left && self.may_retry(failed.execution, &instance);
        may_send.then_some(Step::Send)
    }

    /// Verifies an answer and what was read of its body.
    fn check_received(
        &mut self,
        instance: &Instance,
        sent: Sent,
        received: Received,
    ) -> Result<(AcceptedAnswer, Received), FailedAttempt> {
        let accepted = self.check_answer(instance, sent)?;
        let Received::Broken(fault, reason) = received else {
            return Ok((accepted, received));
        };
        self.set_failure_reason(&reason);
        Err(FailedAttempt {
            fault,
            execution: Execution::Unknown,
        })
    }

    /// Ends attempts that have not been answered.
    pub(crate) fn give_up(&mut self, pending: Vec<PendingAttempt>) {
        for attempt in pending {
            self.may_have_run = true;
            let fault = attempt.unanswered_fault();
            self.set_failure_reason("server was silent");
            self.log_failed_attempt(&attempt.guard.instance, fault);
            attempt.guard.record_failure(fault);
        }
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
