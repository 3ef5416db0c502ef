//! How calls end.

use std::sync::Arc;
use std::time::Duration;

/// Final outcome of a call, as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallOutcome {
    /// The whole right answer came.
    Completed,
    /// Refused with the statement that it did not run.
    NotRun,
    /// Refused or broken, and it may have run.
    Unknown,
    /// An answer came that is not the right one.
    Wrong,
}

/// Everything measured of one call.
#[derive(Debug)]
pub(crate) struct CallRecord {
    pub(crate) class: usize,
    pub(crate) workspace: usize,
    pub(crate) request_id: Arc<str>,
    pub(crate) outcome: CallOutcome,
    pub(crate) tries: u32,
    /// From the intended start.
    pub(crate) first_token: Option<Duration>,
    /// Times between tokens of the last answer.
    pub(crate) gaps_us: Vec<u64>,
    /// From the intended start.
    pub(crate) whole: Duration,
    /// Intended start, from the begin of the load.
    pub(crate) intended_start: Duration,
    /// Tokens of the last answer.
    pub(crate) tokens: u32,
    /// Tokens of earlier tries.
    pub(crate) lost_tokens: u32,
}
