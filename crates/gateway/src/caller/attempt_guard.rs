//! State and end of one attempt of a call.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use briarbank_core::flow::{AttemptId, Fault, Instance, Placement};
use http::response;
use hyper::body::Incoming;

use crate::caller::framing::Framing;
use crate::caller::received::Received;
use crate::dialect::AnswerHead;
use crate::loads;
use crate::server::Connection;
use crate::shared::SharedState;

/// Reports the end of an attempt to the dispatcher, as cancelled when dropped.
pub(crate) struct AttemptGuard {
    shared: Rc<SharedState>,
    attempt: Option<AttemptId>,
    pub(crate) instance: Arc<Instance>,
}

impl AttemptGuard {
    pub(crate) fn new(shared: &Rc<SharedState>, placement: &Placement) -> Self {
        Self {
            shared: Rc::clone(shared),
            attempt: Some(placement.attempt),
            instance: Arc::clone(&placement.instance),
        }
    }

    /// Records the connection on which the answer arrives.
    pub(crate) fn record_connection(&self, connection: &Connection) {
        if let Some(attempt) = self.attempt {
            let mut dispatcher = self.shared.dispatcher.borrow_mut();
            dispatcher.record_connection(attempt, connection.opened_at);
        }
    }

    pub(crate) fn record_first_event(&self) {
        if let Some(attempt) = self.attempt {
            let now = Instant::now();
            self.shared
                .dispatcher
                .borrow_mut()
                .record_first_event(now, attempt);
            loads::report_changes(&self.shared);
        }
    }

    /// Records the end of an answer; `is_whole` tells whether it is known to be complete.
    pub(crate) fn record_success(mut self, is_whole: bool) {
        if let Some(attempt) = self.attempt.take() {
            let now = Instant::now();
            let mut dispatcher = self.shared.dispatcher.borrow_mut();
            if is_whole {
                dispatcher.record_success(now, attempt);
            } else {
                dispatcher.record_end(now, attempt);
            }
            drop(dispatcher);
            loads::report_changes(&self.shared);
        }
    }

    pub(crate) fn record_failure(mut self, fault: Fault) {
        self.report_failure(fault);
    }

    /// Records that another attempt of the call was answered first.
    pub(crate) fn record_overtaken(mut self) {
        if let Some(attempt) = self.attempt.take() {
            let mut dispatcher = self.shared.dispatcher.borrow_mut();
            dispatcher.record_overtaken(Instant::now(), attempt);
            drop(dispatcher);
            loads::report_changes(&self.shared);
        }
    }

    fn report_failure(&mut self, fault: Fault) {
        if let Some(attempt) = self.attempt.take() {
            let now = Instant::now();
            let mut dispatcher = self.shared.dispatcher.borrow_mut();
            let is_ejected = dispatcher.record_failure(now, attempt, fault);
            drop(dispatcher);
            if is_ejected {
                metrics::counter!("briarbank_servers_ejected_total").increment(1);
                tracing::info!(server = %self.instance.id, ?fault, "server: ejected");
            }
            loads::report_changes(&self.shared);
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.report_failure(Fault::Cancelled);
    }
}

/// An answer whose head has arrived.
pub(crate) struct StartedAnswer {
    pub(crate) guard: AttemptGuard,
    pub(crate) connection: Connection,
    pub(crate) head: response::Parts,
    pub(crate) answer_head: AnswerHead,
    pub(crate) framing: Framing,
    pub(crate) body: Incoming,
    /// What was read of the body already.
    pub(crate) received: Received,
}

impl StartedAnswer {
    /// Returns whether an end without an error shows that the server ran the whole call.
    ///
    /// An answer without a length also ends when the server crashes.
    pub(crate) fn has_own_end(&self) -> bool {
        self.framing == Framing::Explicit && self.head.status.is_success()
    }
}

/// An attempt without an answer that can be forwarded.
pub(crate) struct FailedAttempt {
    pub(crate) fault: Fault,
    pub(crate) execution: Execution,
}

/// Whether the call of a failed attempt may have run.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Execution {
    /// Nothing was sent to a server.
    NotSent,
    /// A server received the call and will not run it.
    NotRun,
    /// The call may have run.
    Unknown,
}

impl AttemptGuard {
    /// Records a server error whose answer is complete, and keeps the connection.
    pub(crate) fn record_server_error(
        self,
        shared: &SharedState,
        connection: Connection,
        answer_head: &AnswerHead,
    ) {
        let instance = Arc::clone(&self.instance);
        self.record_failure(Fault::Failed);
        keep_connection(shared, &instance, connection, answer_head);
    }
}

/// Keeps a connection for the next call unless the server closes it.
pub(crate) fn keep_connection(
    shared: &SharedState,
    instance: &Instance,
    connection: Connection,
    answer_head: &AnswerHead,
) {
    if !answer_head.is_last {
        shared
            .pool
            .put_idle(instance, connection, answer_head.keep_idle);
    }
}
