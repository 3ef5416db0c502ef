//! Outcomes and measurements of calls.

use std::sync::Arc;
use std::time::Duration;

/// Final outcome of a call from its caller's view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallOutcome {
    /// A complete and correct answer arrived.
    Completed,
    /// The call was refused, and the refusal states that it did not run.
    NotRun,
    /// The call was refused or broke off, and may have run.
    Unknown,
    /// An incorrect or incomplete answer arrived.
    Wrong,
}

/// Measurements of one call.
#[derive(Debug)]
pub(crate) struct CallRecord {
    pub(crate) class: usize,
    pub(crate) workspace: usize,
    pub(crate) request_id: Arc<str>,
    pub(crate) outcome: CallOutcome,
    pub(crate) tries: u32,
    /// Time from the intended start to the first token.
    pub(crate) first_token: Option<Duration>,
    /// Times between tokens in the last try.
    pub(crate) gaps_us: Vec<u64>,
    /// Time from the intended start to the end of the call.
    pub(crate) whole: Duration,
    /// Intended start, from the start of the load.
    pub(crate) intended_start: Duration,
    /// Tokens received in the last try.
    pub(crate) tokens: u32,
    /// Tokens received in earlier tries.
    pub(crate) lost_tokens: u32,
}
