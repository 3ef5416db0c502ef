//! One attempt of a call at a server.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use briarbank_core::flow::{AttemptId, Fault, Instance, Placement};
use http::response;
use hyper::body::Incoming;

use crate::dialect::AnswerHead;
use crate::server::Connection;
use crate::shared::SharedState;

/// An attempt that reports its end, as cancelled if nothing else is known.
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

    pub(crate) fn began(&self) {
        if let Some(attempt) = self.attempt {
            let now = Instant::now();
            self.shared
                .dispatcher
                .borrow_mut()
                .record_first_event(now, attempt);
        }
    }

    pub(crate) fn finished(mut self) {
        if let Some(attempt) = self.attempt.take() {
            let now = Instant::now();
            self.shared
                .dispatcher
                .borrow_mut()
                .record_success(now, attempt);
        }
    }

    pub(crate) fn failed(mut self, fault: Fault) {
        self.end(fault);
    }

    fn end(&mut self, fault: Fault) {
        if let Some(attempt) = self.attempt.take() {
            let now = Instant::now();
            let mut dispatcher = self.shared.dispatcher.borrow_mut();
            dispatcher.record_failure(now, attempt, fault);
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.end(Fault::Cancelled);
    }
}

/// An answer that has begun.
pub(crate) struct StartedAnswer {
    pub(crate) guard: AttemptGuard,
    pub(crate) connection: Connection,
    pub(crate) head: response::Parts,
    pub(crate) facts: AnswerHead,
    pub(crate) body: Incoming,
}

/// An attempt that gave nothing to pass on.
pub(crate) struct FailedAttempt {
    pub(crate) fault: Fault,
    pub(crate) execution: Execution,
}

/// What is known of a call that an attempt did not answer.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Execution {
    /// No server has seen it.
    NotSent,
    /// A server has seen it and will not run it.
    NotRun,
    /// It may have run.
    Unknown,
}

impl AttemptGuard {
    /// Takes a server's own error, whose answer was whole.
    pub(crate) fn failed_but_whole(
        self,
        shared: &SharedState,
        connection: Connection,
        facts: &AnswerHead,
    ) {
        let instance = Arc::clone(&self.instance);
        self.failed(Fault::Failed);
        keep(shared, &instance, connection, facts);
    }
}

/// Keeps a connection for the next call unless the server closes it.
pub(crate) fn keep(
    shared: &SharedState,
    instance: &Instance,
    connection: Connection,
    facts: &AnswerHead,
) {
    if !facts.is_last {
        shared.pool.keep(instance, connection, facts.keep_idle);
    }
}
