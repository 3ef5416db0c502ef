//! Non-idempotent calls that run here because this node owns their ids.

use std::collections::BTreeMap;

use crate::call::{Outcome, StoredAnswer};
use crate::ids::{AttemptId, CallId, RequestId};
use crate::owner::RecordState;

/// One call that was started here.
#[derive(Debug)]
pub(crate) struct OwnedCall {
    pub(crate) request: RequestId,
    /// Attempt that was handed to a connection and may have run.
    pub(crate) sent: Option<AttemptId>,
    pub(crate) answer: Option<StoredAnswer>,
}

impl OwnedCall {
    /// Returns the state to record and the outcome when the call ends.
    ///
    /// Only the sends prove that it did not run, not the outcome that another
    /// component derived.
    fn into_end(self, is_completed: bool) -> (RequestId, RecordState, Outcome) {
        let (state, outcome) = match (is_completed, self.sent) {
            (true, _) => (RecordState::Done(self.answer), Outcome::Completed),
            (false, None) => (RecordState::NotRun, Outcome::NotRun),
            (false, Some(_)) => (RecordState::Lost, Outcome::Unknown),
        };
        (self.request, state, outcome)
    }
}

/// All calls that were started here and have not ended.
#[derive(Debug, Default)]
pub(crate) struct OwnedCalls {
    calls: BTreeMap<CallId, OwnedCall>,
    attempts: BTreeMap<AttemptId, CallId>,
}

impl OwnedCalls {
    /// Adds a started call.
    pub(crate) fn insert(&mut self, call: CallId, request: RequestId) {
        self.calls.insert(
            call,
            OwnedCall {
                request,
                sent: None,
                answer: None,
            },
        );
    }

    /// Returns a call.
    pub(crate) fn get(&self, call: CallId) -> Option<&OwnedCall> {
        self.calls.get(&call)
    }

    /// Records that an attempt is handed to a connection.
    pub(crate) fn record_send(&mut self, call: CallId, attempt: AttemptId) {
        if let Some(owned) = self.calls.get_mut(&call) {
            owned.sent = Some(attempt);
            self.attempts.insert(attempt, call);
        }
    }

    /// Records that an attempt did not run; returns the request id of its call.
    pub(crate) fn release_send(&mut self, attempt: AttemptId) -> Option<RequestId> {
        let call = self.attempts.remove(&attempt)?;
        let owned = self.calls.get_mut(&call)?;
        owned.sent = None;
        Some(owned.request.clone())
    }

    /// Stores the answer of an attempt until its call ends.
    pub(crate) fn store_answer(&mut self, attempt: AttemptId, answer: StoredAnswer) {
        let call = self
            .attempts
            .get(&attempt)
            .and_then(|call| self.calls.get_mut(call));
        if let Some(owned) = call {
            owned.answer = Some(answer);
        }
    }

    /// Removes a call that ended; returns the state to record and its outcome.
    pub(crate) fn remove(
        &mut self,
        call: CallId,
        is_completed: bool,
    ) -> Option<(RequestId, RecordState, Outcome)> {
        let owned = self.calls.remove(&call)?;
        if let Some(attempt) = owned.sent {
            self.attempts.remove(&attempt);
        }
        Some(owned.into_end(is_completed))
    }
}
