//! One attempt of a call at a server.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use briarbank_core::flow::{AttemptId, Fault, Instance, Placement};
use http::response;
use hyper::body::Incoming;

use crate::dialect::AnswerHead;
use crate::server::Connection;
use crate::shared::Shared;

/// An attempt that reports its end, as cancelled if nothing else is known.
pub(crate) struct Flight {
    shared: Rc<Shared>,
    attempt: Option<AttemptId>,
    pub(crate) instance: Arc<Instance>,
}

impl Flight {
    pub(crate) fn new(shared: &Rc<Shared>, placement: &Placement) -> Self {
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

impl Drop for Flight {
    fn drop(&mut self) {
        self.end(Fault::Cancelled);
    }
}

/// An answer that has begun.
pub(crate) struct Begun {
    pub(crate) flight: Flight,
    pub(crate) connection: Connection,
    pub(crate) head: response::Parts,
    pub(crate) facts: AnswerHead,
    pub(crate) body: Incoming,
}

/// An attempt that gave nothing to pass on.
pub(crate) struct Miss {
    pub(crate) fault: Fault,
    pub(crate) certainty: Certainty,
}

/// What is known of a call that an attempt did not answer.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Certainty {
    /// No server has seen it.
    NotSent,
    /// A server has seen it and will not run it.
    NotRun,
    /// It may have run.
    Unknown,
}

impl Flight {
    /// Takes a server's own error, whose answer was whole.
    pub(crate) fn failed_but_whole(
        self,
        shared: &Shared,
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
    shared: &Shared,
    instance: &Instance,
    connection: Connection,
    facts: &AnswerHead,
) {
    if !facts.is_last {
        shared.pool.keep(instance, connection, facts.keep_idle);
    }
}
