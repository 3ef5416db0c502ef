//! Sends a call to servers and verifies the heads of their answers.

use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use briarbank_core::flow::{Fault, Instance, Placement};
use bytes::Bytes;
use futures_util::future::select_all;
use http::{Request, response};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use crate::caller::attempt_guard::{AttemptGuard, Execution, FailedAttempt, StartedAnswer};
use crate::caller::exchange::Exchange;
use crate::caller::outcome::Outcome;
use crate::dialect::{AnswerHead, AnswerKind, ForwardContext};
use crate::loads;
use crate::log_lines::LineKind;
use crate::server::{Connection, SendError, Sent};

/// An answer that may be forwarded: its heads, body and connection.
type AcceptedAnswer = (response::Parts, AnswerHead, Incoming, Connection);

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
    /// A server that is silent is given up only when another one has started to answer.
    pub(crate) async fn start_answer(&mut self) -> Result<StartedAnswer, Outcome> {
        let mut pending = Vec::new();
        loop {
            match self.place().await {
                Ok(placement) => pending.push(self.begin_attempt(&placement)),
                Err(outcome) if pending.is_empty() => return Err(outcome),
                // A silent server may still answer.
                Err(_) => {}
            }
            match self.wait_for_answer(&mut pending).await {
                Step::Started(started) => return Ok(*started),
                Step::Send => {}
                Step::End => return Err(self.final_outcome()),
            }
        }
    }

    /// Chooses the server for the next attempt.
    async fn place(&mut self) -> Result<Placement, Outcome> {
        let now = Instant::now();
        if now >= self.deadline {
            return Err(self.final_outcome());
        }
        let call = self.call_to_dispatch(now);
        loads::query(&self.shared, &call, &self.tried).await;
        let dispatched = {
            let mut dispatcher = self.shared.dispatcher.borrow_mut();
            dispatcher.dispatch(std::time::Instant::now(), &call, &self.tried)
        };
        loads::report_changes(&self.shared);
        let placement = dispatched.map_err(|refusal| self.refusal_outcome(refusal))?;
        self.record.server = Some(placement.instance.id.clone());
        self.record.expected_ms = Some(placement.expected_latency.as_millis() as u64);
        Ok(placement)
    }

    /// Sends the call to the chosen server.
    fn begin_attempt(&self, placement: &Placement) -> PendingAttempt {
        let request = self.build_request(&placement.instance);
        let (connections_max, sharing_nodes) = self.connection_limit();
        let (shared, instance) = (Rc::clone(&self.shared), Arc::clone(&placement.instance));
        let sending = async move {
            let pool = &shared.pool;
            let sending = pool.send(&instance, request, connections_max, sharing_nodes);
            sending.await
        };
        let (sent_at, silence_max) = (Instant::now(), self.silence_max(placement));
        PendingAttempt {
            guard: AttemptGuard::new(&self.shared, placement),
            sending: Box::pin(sending),
            sent_at,
            silence_max,
            check_at: sent_at + silence_max,
            is_left: false,
        }
    }

    /// Waits until a server answers or another one is to be asked.
    async fn wait_for_answer(&mut self, pending: &mut Vec<PendingAttempt>) -> Step {
        while let Some(newest) = pending.last() {
            let until = newest.check_at.min(self.deadline);
            let sending = select_all(pending.iter_mut().map(|a| a.sending.as_mut()));
            let step = match timeout_at(until, sending).await {
                Ok((sent, index, _)) => {
                    let attempt = pending.remove(index);
                    self.end_attempt(attempt, sent)
                }
                Err(_) if Instant::now() >= self.deadline => {
                    self.give_up(pending);
                    Some(Step::End)
                }
                Err(_) => self.look_for_another(pending).then_some(Step::Send),
            };
            match step {
                Some(Step::Started(started)) => {
                    self.give_up(pending);
                    self.record.server = Some(started.guard.instance.id.clone());
                    return Step::Started(started);
                }
                Some(step) => return step,
                None => {}
            }
        }
        Step::End
    }

    /// Ends an attempt; returns `None` if other attempts decide what follows.
    fn end_attempt(
        &mut self,
        attempt: PendingAttempt,
        sent: Result<Sent, SendError>,
    ) -> Option<Step> {
        let guard = attempt.guard;
        let instance = Arc::clone(&guard.instance);
        let checked = match sent {
            Ok(sent) => self.check_answer(&instance, sent),
            Err(error) => Err(self.classify_send_error(&error)),
        };
        let failed = match checked {
            Ok((head, answer_head, body, connection)) => {
                return Some(Step::Started(Box::new(StartedAnswer {
                    guard,
                    connection,
                    head,
                    answer_head,
                    body,
                })));
            }
            Err(failed) => failed,
        };
        guard.record_failure(failed.fault);
        self.log_failed_attempt(&instance, failed.fault);
        let may_send = !attempt.is_left && self.may_retry(failed.execution, &instance);
        may_send.then_some(Step::Send)
    }

    /// Ends the attempts that have not been answered.
    fn give_up(&mut self, pending: &mut Vec<PendingAttempt>) {
        for attempt in pending.drain(..) {
            self.may_have_run = true;
            let fault = attempt.unanswered_fault();
            self.set_failure_reason("server was silent");
            self.log_failed_attempt(&attempt.guard.instance, fault);
            attempt.guard.record_failure(fault);
        }
    }

    /// Returns whether another server is to be asked beside one that is silent.
    fn look_for_another(&mut self, pending: &mut [PendingAttempt]) -> bool {
        let Some(newest) = pending.last_mut() else {
            return false;
        };
        newest.check_at = Instant::now() + newest.silence_max;
        let instance = Arc::clone(&newest.guard.instance);
        if !self.can_leave(&instance) {
            return false;
        }
        newest.is_left = true;
        self.set_failure_reason("server was silent");
        self.may_retry(Execution::Unknown, &instance)
    }

    fn log_failed_attempt(&self, instance: &Instance, fault: Fault) {
        if self.shared.log_lines.take(LineKind::Attempt) {
            tracing::info!(
                id = %self.record.id, server = %instance.id, ?fault,
                trouble = self.record.failure_reason.as_deref(), "call: attempt failed"
            );
        }
    }

    fn classify_send_error(&mut self, error: &SendError) -> FailedAttempt {
        self.record.failure_reason = Some(error.to_string());
        let fault = match error {
            SendError::Connect(_) => Fault::Unreachable,
            SendError::Full => Fault::Full,
            SendError::Broken(_) => Fault::Broken,
        };
        let execution = if error.is_not_sent() {
            Execution::NotSent
        } else {
            Execution::Unknown
        };
        FailedAttempt { fault, execution }
    }

    /// Returns the connections that a server admits and the number of nodes sharing them.
    fn connection_limit(&self) -> (u32, usize) {
        let spec = self.admitted.table.service(&self.service);
        let connections_max = spec.map_or(u32::MAX, |s| s.connections_max);
        let now = std::time::Instant::now();
        (
            connections_max,
            self.shared.peers.borrow().sharing_nodes(now),
        )
    }

    fn build_request(&self, instance: &Instance) -> Request<Full<Bytes>> {
        let context = ForwardContext {
            instance: instance.id.clone(),
            time_left: self.deadline.saturating_duration_since(Instant::now()),
            workspace: self.admitted.workspace.as_ref().map(|w| w.name.clone()),
            urgency: self.urgency,
            is_model: self.admitted.head.prompt.is_some(),
            last_event: self.last_event.clone(),
        };
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        let path = self.head.uri.path_and_query().cloned();
        *request.uri_mut() = path.map_or_else(|| self.head.uri.clone(), Into::into);
        *request.headers_mut() = self.shared.dialect.server_headers(&self.head, &context);
        request
    }

    /// Verifies that the answer is the server's answer to this call.
    fn check_answer(
        &mut self,
        instance: &Instance,
        sent: Sent,
    ) -> Result<AcceptedAnswer, FailedAttempt> {
        let (head, body) = sent.response.into_parts();
        let answer_head = self.shared.dialect.decode_answer(&head, &self.record.id);
        let is_of_instance = !matches!(
            answer_head.kind,
            AnswerKind::OtherInstance | AnswerKind::OtherCall
        );
        if is_of_instance {
            self.shared.record_notice(instance, answer_head.notice);
        }
        let (fault, execution, failure_reason) = match answer_head.kind {
            AnswerKind::Verified => return Ok((head, answer_head, body, sent.connection)),
            AnswerKind::Unverified if !head.status.is_success() => {
                return Ok((head, answer_head, body, sent.connection));
            }
            AnswerKind::Unverified | AnswerKind::OtherCall => {
                let failure_reason = "answer is not the server's answer to this call";
                (Fault::Malformed, Execution::Unknown, failure_reason)
            }
            AnswerKind::NotRun => (Fault::Full, Execution::NotRun, "server had no room"),
            AnswerKind::OtherInstance => {
                let failure_reason = "another server has the address";
                (Fault::OtherInstance, Execution::NotRun, failure_reason)
            }
        };
        self.set_failure_reason(failure_reason);
        Err(FailedAttempt { fault, execution })
    }
}
