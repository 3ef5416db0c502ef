//! Failure switches of backend servers.

use serde::{Deserialize, Serialize};

/// Load that a server reports, which may be false.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReportedLoad {
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
    /// Age of the report, in milliseconds.
    pub age_ms: u64,
}

/// Failure switches, set by `POST /control`; absent fields keep their value.
///
/// In a plain service each answer counts as a stream of one token.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each switch is set independently"
)]
pub struct Switches {
    /// Crashes once, when an answer has this many tokens.
    pub crash_after_tokens: Option<u32>,
    /// Time for which a crashed server refuses connections, in milliseconds.
    pub crash_down_ms: u64,
    /// Breaks off one answer after this many tokens.
    pub cut_after_tokens: Option<u32>,
    /// Stops all progress and all answers.
    pub frozen: bool,
    /// Factor that multiplies the time of each token or call.
    pub straggle_factor: f64,
    /// Swaps the answers of the next two calls, once.
    pub cross_answers: bool,
    /// Delay of the head of each answer, in milliseconds.
    pub late_ms: u64,
    /// Number of upcoming events or unstreamed answers that are malformed.
    pub malformed_events: u32,
    /// Refuses new calls and completes the running ones.
    pub leaving: bool,
    /// Load to report instead of the true load.
    pub false_load: Option<ReportedLoad>,
    /// Refuses calls with a fencing number below the highest received.
    pub checks_fencing: bool,
}

impl Switches {
    /// Returns whether a switch affects single tokens.
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
