//! Sends a call to one server and verifies the head of its answer.

use briarbank_core::flow::{Fault, Instance, Placement};
use bytes::Bytes;
use http::{Request, response};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::error::Elapsed;
use tokio::time::{Instant, timeout_at};

use crate::caller::attempt_guard::{AttemptGuard, Execution, FailedAttempt, StartedAnswer};
use crate::caller::exchange::Exchange;
use crate::dialect::{AnswerHead, AnswerKind, ForwardContext};
use crate::server::{Connection, SendError, Sent};

/// An answer that may be forwarded: its heads, body and connection.
type AcceptedAnswer = (response::Parts, AnswerHead, Incoming, Connection);

impl Exchange {
    /// Sends the call to the chosen server and waits for an answer head.
    pub(crate) async fn attempt(
        &mut self,
        placement: Placement,
    ) -> Result<StartedAnswer, FailedAttempt> {
        let guard = AttemptGuard::new(&self.shared, &placement);
        let failed = match self.send(&placement).await {
            Ok(Ok(sent)) => match self.check_answer(&placement.instance, sent) {
                Ok((head, answer_head, body, connection)) => {
                    return Ok(StartedAnswer {
                        guard,
                        connection,
                        head,
                        answer_head,
                        body,
                    });
                }
                Err(failed) => failed,
            },
            Ok(Err(error)) => self.classify_send_error(&error),
            Err(_) => {
                self.set_failure_reason("server was silent");
                FailedAttempt {
                    fault: Fault::Silent,
                    execution: Execution::Unknown,
                }
            }
        };
        guard.record_failure(failed.fault);
        Err(failed)
    }

    /// Sends the call and waits for a head, for as long as no other server can take it.
    async fn send(&self, placement: &Placement) -> Result<Result<Sent, SendError>, Elapsed> {
        let request = self.build_request(&placement.instance);
        let (connections_max, sharing_nodes) = self.connection_limit();
        let pool = &self.shared.pool;
        let sending = pool.send(&placement.instance, request, connections_max, sharing_nodes);
        tokio::pin!(sending);
        loop {
            let until = self.silence_deadline(placement);
            let sent = timeout_at(until, sending.as_mut()).await;
            let is_expired = Instant::now() >= self.deadline;
            if sent.is_ok() || is_expired || self.can_leave(&placement.instance) {
                return sent;
            }
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
