//! Result of a load, as printed with `--json`.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Quantiles of a distribution of times.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quantiles {
    /// Number of recorded times.
    pub count: u64,
    /// Median.
    pub p50_us: u64,
    /// 95th percentile.
    pub p95_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// Maximum.
    pub max_us: u64,
}

/// Result of one class of calls.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassResult {
    /// Name of the class.
    pub name: Arc<str>,
    /// Number of calls that arrived.
    pub offered: u64,
    /// Number of calls with a complete and correct answer.
    pub completed: u64,
    /// Number of calls completed within all objectives of the class.
    pub attained: u64,
    /// Ratio of attained calls to offered calls.
    pub attainment_ratio: f64,
    /// Attained calls per second of the load.
    pub goodput_per_s: f64,
    /// Number of calls that ended as not run.
    pub refused_not_run: u64,
    /// Number of calls that ended without an answer and may have run.
    pub refused_unknown: u64,
    /// Number of calls with an incorrect or incomplete answer.
    pub wrong: u64,
    /// Number of arrivals without a call, because of the in-flight limit.
    pub overrun: u64,
    /// Number of tries beyond the first of each call.
    #[serde(rename = "repeats")]
    pub retries: u64,
    /// Number of tokens received.
    pub tokens: u64,
    /// Number of tokens received in answers that broke off, were wrong or late.
    pub wasted_tokens: u64,
    /// Number of calls answered incorrectly or late.
    pub wasted_calls: u64,
    /// Longest period without a completed call.
    pub longest_gap_ms: u64,
    /// Jain's fairness index of the workspaces' completion ratios; 1 is fair.
    pub fairness_index: f64,
    /// Time from the intended start to the first token of completed calls.
    pub first_token: Quantiles,
    /// Time between tokens of completed calls.
    pub between_tokens: Quantiles,
    /// Time from the intended start to the end of completed calls.
    pub whole: Quantiles,
}

/// Comparison of the stand-ins' counters with the callers' outcomes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditResult {
    /// Number of tokens that the engines generated.
    pub generated_tokens: u64,
    /// Number of generated tokens that no attained call received.
    pub wasted_tokens: u64,
    /// Number of runs of service stand-ins.
    pub service_runs: u64,
    /// Number of request ids that service stand-ins ran more than once.
    #[serde(rename = "doubled_runs")]
    pub duplicate_runs: u64,
    /// Number of calls that ended as not run although they ran.
    pub false_not_run: u64,
    /// Number of completed service calls that no service ran.
    pub completed_without_run: u64,
}

/// Result of a load.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadResult {
    /// Seed of the plan.
    pub seed: u64,
    /// Duration of the period in which calls arrived.
    pub duration_ms: u64,
    /// Result of each class, in the order of the plan.
    pub classes: Vec<ClassResult>,
    /// Audit of the stand-ins' counters, if the plan names stand-ins.
    pub audit: Option<AuditResult>,
}
