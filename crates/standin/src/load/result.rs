//! Result of a load, as written with `--json`.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Quantiles of a time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quantiles {
    /// Number of values.
    pub count: u64,
    /// Half of the values are lower.
    pub p50_us: u64,
    /// 95 of 100 values are lower.
    pub p95_us: u64,
    /// 99 of 100 values are lower.
    pub p99_us: u64,
    /// Largest value.
    pub max_us: u64,
}

/// Result of one class.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassResult {
    /// Name of the class.
    pub name: Arc<str>,
    /// Calls that arrived.
    pub offered: u64,
    /// Calls with their whole right answer.
    pub completed: u64,
    /// Calls completed within all targets of the class.
    pub attained: u64,
    /// Attained calls in relation to those offered.
    pub attainment_ratio: f64,
    /// Attained calls for each second of the load.
    pub goodput_per_s: f64,
    /// Calls that ended as not run.
    pub refused_not_run: u64,
    /// Calls that ended without an answer and may have run.
    pub refused_unknown: u64,
    /// Calls with a wrong or incomplete answer.
    pub wrong: u64,
    /// Calls that the tool itself didn't make, its bound in flight being reached.
    pub overrun: u64,
    /// Tries beyond the first.
    #[serde(rename = "repeats")]
    pub retries: u64,
    /// Tokens received.
    pub tokens: u64,
    /// Tokens received in answers that were broken off, wrong or late.
    pub wasted_tokens: u64,
    /// Calls that were answered, but wrong or late.
    pub wasted_calls: u64,
    /// Longest time without a completed call.
    pub longest_gap_ms: u64,
    /// Jain's index of the workspaces' completed parts; 1 is even.
    pub fairness_index: f64,
    /// From the intended start to the first token of completed calls.
    pub first_token: Quantiles,
    /// Between tokens of completed calls.
    pub between_tokens: Quantiles,
    /// From the intended start to the end of completed calls.
    pub whole: Quantiles,
}

/// What the stand-ins' own counters say.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditResult {
    /// Tokens that the engines generated.
    pub generated_tokens: u64,
    /// Generated tokens that reached no caller in time.
    pub wasted_tokens: u64,
    /// Runs of plain services.
    pub service_runs: u64,
    /// Request ids that plain services ran more than once.
    #[serde(rename = "doubled_runs")]
    pub duplicate_runs: u64,
    /// Calls that ended as not run, and ran.
    pub false_not_run: u64,
    /// Completed calls of plain services that no service ran.
    pub completed_without_run: u64,
}

/// Result of a load.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadResult {
    /// Seed of the plan.
    pub seed: u64,
    /// Length of the load.
    pub duration_ms: u64,
    /// Result of each class, in the order of the plan.
    pub classes: Vec<ClassResult>,
    /// Counters of the stand-ins, if the plan names any.
    pub audit: Option<AuditResult>,
}
