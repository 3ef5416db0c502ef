//! Calls that may not be repeated and run here as their ids' owner.

use std::collections::BTreeMap;

use crate::call::{Outcome, StoredAnswer};
use crate::ids::{AttemptId, CallId, RequestId};
use crate::owner::RecordState;

/// One call that was begun here.
#[derive(Debug)]
pub(crate) struct OwnedCall {
    pub(crate) request: RequestId,
    /// The attempt that was handed to a connection and is not proven not run.
    pub(crate) sent: Option<AttemptId>,
    pub(crate) answer: Option<StoredAnswer>,
}

impl OwnedCall {
    /// What to record and to say when the call ends.
    ///
    /// Only the sends count for the proof that it did not run, not what
    /// another part made of them.
    fn end(self, is_completed: bool) -> (RequestId, RecordState, Outcome) {
        let (state, outcome) = match (is_completed, self.sent) {
            (true, _) => (RecordState::Done(self.answer), Outcome::Completed),
            (false, None) => (RecordState::NotRun, Outcome::NotRun),
            (false, Some(_)) => (RecordState::Lost, Outcome::Unknown),
        };
        (self.request, state, outcome)
    }
}

/// All calls that were begun here and have not ended.
#[derive(Debug, Default)]
pub(crate) struct OwnedCalls {
    calls: BTreeMap<CallId, OwnedCall>,
    attempts: BTreeMap<AttemptId, CallId>,
}

impl OwnedCalls {
    /// Takes note of a begun call.
    pub(crate) fn begin(&mut self, call: CallId, request: RequestId) {
        self.calls.insert(
            call,
            OwnedCall {
                request,
                sent: None,
                answer: None,
            },
        );
    }

    /// The call, if it is one of these.
    pub(crate) fn get(&self, call: CallId) -> Option<&OwnedCall> {
        self.calls.get(&call)
    }

    /// Takes note that the attempt is handed to a connection.
    pub(crate) fn send(&mut self, call: CallId, attempt: AttemptId) {
        if let Some(owned) = self.calls.get_mut(&call) {
            owned.sent = Some(attempt);
            self.attempts.insert(attempt, call);
        }
    }

    /// Takes note that the attempt surely did not run; its request, if it is known.
    pub(crate) fn unsend(&mut self, attempt: AttemptId) -> Option<RequestId> {
        let call = self.attempts.remove(&attempt)?;
        let owned = self.calls.get_mut(&call)?;
        owned.sent = None;
        Some(owned.request.clone())
    }

    /// Keeps the answer of the attempt until its call ends.
    pub(crate) fn answer(&mut self, attempt: AttemptId, answer: StoredAnswer) {
        let call = self
            .attempts
            .get(&attempt)
            .and_then(|call| self.calls.get_mut(call));
        if let Some(owned) = call {
            owned.answer = Some(answer);
        }
    }

    /// Ends a call, if it is one of these.
    pub(crate) fn end(
        &mut self,
        call: CallId,
        is_completed: bool,
    ) -> Option<(RequestId, RecordState, Outcome)> {
        let owned = self.calls.remove(&call)?;
        if let Some(attempt) = owned.sent {
            self.attempts.remove(&attempt);
        }
        Some(owned.end(is_completed))
    }
}
