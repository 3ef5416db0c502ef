//! Failure switches of backend servers.

use serde::{Deserialize, Serialize};

/// Load that a server claims in place of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReportedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Age of the report.
    pub age_ms: u64,
}

/// Failure switches, set by `POST /control`; absent fields stay as they are.
///
/// A plain service takes each answer as a stream of one token.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each switch is set on its own"
)]
pub struct Switches {
    /// Crash once, when an answer has this many tokens.
    pub crash_after_tokens: Option<u32>,
    /// Time for which a crashed server refuses connections.
    pub crash_down_ms: u64,
    /// Break off the next answer after this many tokens, once.
    pub cut_after_tokens: Option<u32>,
    /// Make no progress and answer nothing.
    pub frozen: bool,
    /// Factor on the time of each token or call.
    pub straggle_factor: f64,
    /// Exchange the answers of the next two calls, once.
    pub cross_answers: bool,
    /// Delay of each answer's head.
    pub late_ms: u64,
    /// Number of next events or plain answers that are malformed.
    pub malformed_events: u32,
    /// Refuse new calls and finish those that run.
    pub leaving: bool,
    /// Load to claim in place of the true one.
    pub false_load: Option<ReportedLoad>,
    /// Refuse calls with a fencing number lower than the highest seen.
    pub checks_fencing: bool,
}

impl Switches {
    /// Whether a switch bears on single tokens.
    pub(crate) fn has_token_faults(&self) -> bool {
        self.crash_after_tokens.is_some()
            || self.cut_after_tokens.is_some()
            || self.malformed_events > 0
    }
}

impl Default for Switches {
    fn default() -> Self {
        Self {
            crash_after_tokens: None,
            crash_down_ms: 1_000,
            cut_after_tokens: None,
            frozen: false,
            straggle_factor: 1.0,
            cross_answers: false,
            late_ms: 0,
            malformed_events: 0,
            leaving: false,
            false_load: None,
            checks_fencing: false,
        }
    }
}
