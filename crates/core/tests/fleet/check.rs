//! Checks of what must always hold.

use std::collections::{BTreeMap, BTreeSet};

use briarbank_core::call::Outcome;

/// Counts over a history.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Tally {
    /// Calls of callers.
    pub(crate) calls: u64,
    /// Calls told completed.
    pub(crate) completed: u64,
    /// Calls told not run.
    pub(crate) not_run: u64,
    /// Calls told unknown.
    pub(crate) unknown: u64,
    /// Calls whose caller left before the answer.
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

/// What the checks have to remember.
#[derive(Debug, Default)]
pub(crate) struct Checker {
    pub(crate) tally: Tally,
    /// Open calls with their request.
    open: BTreeMap<u64, usize>,
    calls_by_request: BTreeMap<usize, u64>,
    request_of: BTreeMap<u64, usize>,
    sent: BTreeMap<usize, u64>,
    runs: BTreeMap<usize, u64>,
    told_not_run: BTreeSet<u64>,
    given_up: BTreeSet<u64>,
}

impl Checker {
    /// A caller sends a call.
    pub(crate) fn called(&mut self, call: u64, request: usize) {
        self.tally.calls += 1;
        self.open.insert(call, request);
        self.request_of.insert(call, request);
        *self.calls_by_request.entry(request).or_default() += 1;
    }

    /// The caller closes its open calls with the id, and hears nothing of them any more.
    ///
    /// Who states that a call is the first keeps to this before it repeats the id.
    pub(crate) fn give_up(&mut self, request: usize) {
        let open = self.open.iter().filter(|(_, r)| **r == request);
        self.given_up.extend(open.map(|(call, _)| *call));
    }

    /// Whether the call is the only one with its id so far.
    pub(crate) fn is_only_call(&self, call: u64) -> bool {
        let request = self.request_of.get(&call);
        request.and_then(|r| self.calls_by_request.get(r)) == Some(&1)
    }

    /// The node of a call was killed.
    pub(crate) fn ended(&mut self, call: u64) {
        if self.open.remove(&call).is_some() {
            self.tally.killed += 1;
        }
    }

    /// A call is handed to a connection.
    pub(crate) fn sent(&mut self, call: u64, request: usize) {
        assert!(
            !self.told_not_run.contains(&call),
            "call {call} sent after it was told not run"
        );
        *self.sent.entry(request).or_default() += 1;
    }

    /// The service runs a request.
    pub(crate) fn run(&mut self, request: usize) {
        let runs = self.runs.entry(request).or_default();
        *runs += 1;
        assert!(*runs <= 1, "request {request} ran twice");
    }

    /// A caller gets the final answer.
    pub(crate) fn told(&mut self, call: u64, request: usize, outcome: Outcome) {
        assert!(
            self.open.remove(&call).is_some(),
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
                self.told_not_run.insert(call);
                let sent = self.sent.get(&request).copied().unwrap_or(0);
                assert_eq!(sent, 0, "request {request} told not run, but it was sent");
            }
            Outcome::Unknown => self.tally.unknown += 1,
        }
    }
}
