//! Invariants of the simulated fleet.

use std::collections::{BTreeMap, BTreeSet};

use briarbank_core::call::Outcome;

/// Counts over a history.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Tally {
    /// Calls of callers.
    pub(crate) calls: u64,
    /// Calls answered as completed.
    pub(crate) completed: u64,
    /// Calls answered as not run.
    pub(crate) not_run: u64,
    /// Calls answered with an unknown outcome.
    pub(crate) unknown: u64,
    /// Calls whose caller closed them before the answer.
    pub(crate) given_up: u64,
    /// Calls whose node was killed.
    pub(crate) killed: u64,
}

impl Tally {
    /// Adds another history's counts.
    pub(crate) fn add(&mut self, other: &Self) {
        self.calls += other.calls;
        self.completed += other.completed;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.given_up += other.given_up;
        self.killed += other.killed;
    }
}

/// Checks invariants and counts the outcomes of calls.
#[derive(Debug, Default)]
pub(crate) struct Checker {
    pub(crate) tally: Tally,
    /// Requests of the calls without an answer, by call.
    open_calls: BTreeMap<u64, usize>,
    calls_by_request: BTreeMap<usize, u64>,
    request_by_call: BTreeMap<u64, usize>,
    sends: BTreeMap<usize, u64>,
    runs: BTreeMap<usize, u64>,
    answered_not_run: BTreeSet<u64>,
    given_up: BTreeSet<u64>,
}

impl Checker {
    /// Records that a caller sends a call.
    pub(crate) fn record_call(&mut self, call: u64, request: usize) {
        self.tally.calls += 1;
        self.open_calls.insert(call, request);
        self.request_by_call.insert(call, request);
        *self.calls_by_request.entry(request).or_default() += 1;
    }

    /// Closes the caller's open calls of the request; it receives no answer to them.
    ///
    /// A caller that marks calls as first tries must do this before it repeats the id.
    pub(crate) fn close_calls(&mut self, request: usize) {
        let open = self.open_calls.iter().filter(|(_, r)| **r == request);
        self.given_up.extend(open.map(|(call, _)| *call));
    }

    /// Returns whether the call is the only one with its id so far.
    pub(crate) fn is_only_call(&self, call: u64) -> bool {
        let request = self.request_by_call.get(&call);
        request.and_then(|r| self.calls_by_request.get(r)) == Some(&1)
    }

    /// Records that the node of a call was killed.
    pub(crate) fn record_kill(&mut self, call: u64) {
        if self.open_calls.remove(&call).is_some() {
            self.tally.killed += 1;
        }
    }

    /// Records that a call is handed to a connection.
    pub(crate) fn record_send(&mut self, call: u64, request: usize) {
        assert!(
            !self.answered_not_run.contains(&call),
            "call {call} was sent after it had been answered as not run"
        );
        *self.sends.entry(request).or_default() += 1;
    }

    /// Records that the service runs a request.
    pub(crate) fn record_run(&mut self, request: usize) {
        let runs = self.runs.entry(request).or_default();
        *runs += 1;
        assert!(*runs <= 1, "request {request} ran twice");
    }

    /// Records the final answer to a call.
    pub(crate) fn record_answer(&mut self, call: u64, request: usize, outcome: Outcome) {
        assert!(
            self.open_calls.remove(&call).is_some(),
            "call {call} got two final answers"
        );
        if self.given_up.contains(&call) {
            self.tally.given_up += 1;
            return;
        }
        match outcome {
            Outcome::Completed => {
                self.tally.completed += 1;
                assert!(
                    self.runs.contains_key(&request),
                    "request {request} was not run"
                );
            }
            Outcome::NotRun => {
                self.tally.not_run += 1;
                self.answered_not_run.insert(call);
                let sent = self.sends.get(&request).copied().unwrap_or(0);
                assert_eq!(
                    sent, 0,
                    "request {request} was answered as not run, but it was sent"
                );
            }
            Outcome::Unknown => self.tally.unknown += 1,
        }
    }
}
