//! One attempt of a call: its request, and the check of its answer's head.

use std::rc::Rc;

use briarbank_core::flow::{Fault, Instance};
use briarbank_net::is_final;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, Request, response};
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::caller::attempt_guard::{Execution, FailedAttempt};
use crate::caller::exchange::Exchange;
use crate::dialect::{AnswerHead, AnswerKind, ForwardContext};
use crate::server::{Connection, RequestBody, SendError, Sent, break_fault};

/// Media type of streams of events.
const EVENT_STREAM: &str = "text/event-stream";

/// An answer that may be forwarded: its heads, body and connection.
pub(crate) type AcceptedAnswer = (response::Parts, AnswerHead, Incoming, Connection);

impl Exchange {
    pub(crate) fn classify_send_error(&mut self, error: &SendError) -> FailedAttempt {
        self.record.failure_reason = Some(error.to_string());
        let fault = match error {
            SendError::Connect(_) => Fault::Unreachable,
            SendError::Full => Fault::Full,
            SendError::Evacuated => {
                metrics::counter!("briarbank_sends_withdrawn_total").increment(1);
                Fault::Cancelled
            }
            SendError::Broken(error) => break_fault(error),
        };
        let execution = if error.is_not_sent() {
            Execution::NotSent
        } else {
            Execution::Unknown
        };
        FailedAttempt { fault, execution }
    }

    /// Returns the connections that a server admits and the number of nodes sharing them.
    pub(crate) fn connection_limit(&self) -> (u32, usize) {
        let spec = self.admitted.table.service(&self.service);
        let connections_max = spec.map_or(u32::MAX, |s| s.connections_max);
        let now = std::time::Instant::now();
        (
            connections_max,
            self.shared.peers.borrow().sharing_nodes(now),
        )
    }

    pub(crate) fn build_request(&self, instance: &Instance) -> Request<RequestBody> {
        let context = ForwardContext {
            instance: instance.id.clone(),
            time_left: self.deadline.saturating_duration_since(Instant::now()),
            workspace: self.admitted.workspace.as_ref().map(|w| w.name.clone()),
            urgency: self.urgency,
            is_model: self.admitted.head.prompt.is_some(),
            last_event: self.last_event.clone(),
        };
        let mut request = Request::new(RequestBody::from(Rc::clone(&self.body)));
        *request.method_mut() = self.head.method.clone();
        let path = self.head.uri.path_and_query().cloned();
        *request.uri_mut() = path.map_or_else(|| self.head.uri.clone(), Into::into);
        *request.headers_mut() = self.shared.dialect.server_headers(&self.head, &context);
        request
    }

    /// Verifies that the answer is the server's answer to this call.
    pub(crate) fn check_answer(
        &mut self,
        instance: &Instance,
        sent: Sent,
    ) -> Result<AcceptedAnswer, FailedAttempt> {
        let (head, body) = sent.response.into_parts();
        if !is_final(head.status) {
            self.set_failure_reason("answer has no final status");
            return Err(FailedAttempt {
                fault: Fault::Malformed,
                execution: Execution::Unknown,
            });
        }
        let answer_head = self.shared.dialect.decode_answer(&head, &self.record.id);
        let is_of_instance = !matches!(
            answer_head.kind,
            AnswerKind::OtherInstance | AnswerKind::OtherCall
        );
        if is_of_instance {
            self.shared.record_notice(instance, answer_head.notice);
        }
        if answer_head.kind == AnswerKind::NotRun {
            self.shared.record_rejection(instance);
        }
        let (fault, execution, failure_reason) = match answer_head.kind {
            AnswerKind::Verified if !self.is_acceptable_type(&head) => {
                let failure_reason = "answer is not a stream of events";
                (Fault::Failed, Execution::Unknown, failure_reason)
            }
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

    /// Returns whether a success may be the stream that was asked for, or the rest of it.
    ///
    /// Servers may leave the media type out, but not in the middle of a stream that has one.
    fn is_acceptable_type(&self, head: &response::Parts) -> bool {
        if !self.admitted.route.is_stream() || !head.status.is_success() {
            return true;
        }
        media_type(&head.headers).map_or(!self.is_typed, |media_type| {
            media_type.eq_ignore_ascii_case(EVENT_STREAM)
        })
    }
}

/// Returns the media type of an answer without its parameters.
pub(crate) fn media_type(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(CONTENT_TYPE)?.to_str().ok()?;
    let media_type = value.split(';').next()?.trim();
    (!media_type.is_empty()).then_some(media_type)
}
