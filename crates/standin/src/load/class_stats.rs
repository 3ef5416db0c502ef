//! Statistics of a class of calls.

use std::sync::Arc;
use std::time::Duration;

use hdrhistogram::Histogram;

use super::error::LoadError;
use super::outcome::{CallOutcome, CallRecord};
use super::plan::LoadClass;
use super::result::{ClassResult, Quantiles};

/// Largest time that a histogram records.
const TIME_LIMIT_US: u64 = 1_200_000_000;
/// Number of significant decimal digits of a histogram.
const SIGNIFICANT_DIGITS: u8 = 3;

#[derive(Clone, Copy, Debug, Default)]
struct WorkspaceCount {
    offered: u64,
    completed: u64,
}

/// Statistics of one class while the load runs.
#[derive(Debug)]
pub(crate) struct ClassStats {
    result: ClassResult,
    first_token: Histogram<u64>,
    between_tokens: Histogram<u64>,
    whole: Histogram<u64>,
    workspaces: Vec<WorkspaceCount>,
    completed_at: Vec<Duration>,
}

impl ClassStats {
    pub(crate) fn new(class: &LoadClass) -> Result<Self, LoadError> {
        let histogram = || Histogram::new_with_bounds(1, TIME_LIMIT_US, SIGNIFICANT_DIGITS);
        Ok(Self {
            result: ClassResult {
                name: Arc::clone(&class.name),
                ..ClassResult::default()
            },
            first_token: histogram()?,
            between_tokens: histogram()?,
            whole: histogram()?,
            workspaces: vec![WorkspaceCount::default(); class.workspaces.len()],
            completed_at: Vec::new(),
        })
    }

    /// Counts an arrival.
    pub(crate) fn record_arrival(&mut self) {
        self.result.offered += 1;
    }

    /// Counts an arrival without a call, because of the in-flight limit.
    pub(crate) fn record_overrun(&mut self) {
        self.result.overrun += 1;
    }

    /// Counts the end of a call; returns whether it attained its objectives.
    pub(crate) fn record_end(&mut self, class: &LoadClass, record: &CallRecord) -> bool {
        let result = &mut self.result;
        let tokens = u64::from(record.tokens);
        result.retries += u64::from(record.tries.saturating_sub(1));
        result.tokens += tokens + u64::from(record.lost_tokens);
        result.wasted_tokens += u64::from(record.lost_tokens);
        let count = &mut self.workspaces[record.workspace];
        count.offered += 1;
        match record.outcome {
            CallOutcome::Completed => count.completed += 1,
            CallOutcome::NotRun => result.refused_not_run += 1,
            CallOutcome::Unknown => result.refused_unknown += 1,
            CallOutcome::Wrong => result.wrong += 1,
        }
        let attained = attains_objectives(class, record);
        if attained {
            result.attained += 1;
        } else {
            result.wasted_tokens += tokens;
        }
        let answered = matches!(record.outcome, CallOutcome::Completed | CallOutcome::Wrong);
        result.wasted_calls += u64::from(answered && !attained);
        if record.outcome == CallOutcome::Completed {
            self.record_completed(record);
        }
        attained
    }

    fn record_completed(&mut self, record: &CallRecord) {
        self.result.completed += 1;
        self.completed_at.push(record.intended_start + record.whole);
        if let Some(first_token) = record.first_token {
            self.first_token.saturating_record(micros(first_token));
        }
        for gap_us in &record.gaps_us {
            self.between_tokens.saturating_record(*gap_us);
        }
        self.whole.saturating_record(micros(record.whole));
    }

    pub(crate) fn finish(mut self, duration: Duration) -> ClassResult {
        let result = &mut self.result;
        result.attainment_ratio = ratio(result.attained, result.offered);
        result.goodput_per_s = result.attained as f64 / duration.as_secs_f64();
        result.longest_gap_ms = longest_gap_ms(&mut self.completed_at, duration);
        result.fairness_index = fairness_index(&self.workspaces);
        result.first_token = quantiles(&self.first_token);
        result.between_tokens = quantiles(&self.between_tokens);
        result.whole = quantiles(&self.whole);
        self.result
    }
}

/// Returns whether a call completed within all objectives.
fn attains_objectives(class: &LoadClass, record: &CallRecord) -> bool {
    let within = |time: Duration, limit_ms: u64| time <= Duration::from_millis(limit_ms);
    let gaps = record.gaps_us.len().max(1) as u64;
    let mean_gap = Duration::from_micros(record.gaps_us.iter().sum::<u64>() / gaps);
    record.outcome == CallOutcome::Completed
        && record
            .first_token
            .is_some_and(|t| within(t, class.first_token_ms))
        && within(mean_gap, class.between_tokens_ms)
        && within(record.whole, class.whole_ms)
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

fn ratio(count: u64, total: u64) -> f64 {
    if total == 0 {
        return 0.0;
    }
    count as f64 / total as f64
}

fn quantiles(histogram: &Histogram<u64>) -> Quantiles {
    Quantiles {
        count: histogram.len(),
        p50_us: histogram.value_at_quantile(0.5),
        p95_us: histogram.value_at_quantile(0.95),
        p99_us: histogram.value_at_quantile(0.99),
        max_us: histogram.max(),
    }
}

/// Returns the longest period of the load without a completed call.
fn longest_gap_ms(completed_at: &mut Vec<Duration>, duration: Duration) -> u64 {
    completed_at.retain(|at| *at < duration);
    completed_at.push(duration);
    completed_at.sort_unstable();
    let mut before = Duration::ZERO;
    let mut longest = Duration::ZERO;
    for at in completed_at {
        longest = longest.max(at.saturating_sub(before));
        before = *at;
    }
    u64::try_from(longest.as_millis()).unwrap_or(u64::MAX)
}

/// Returns Jain's fairness index of the workspaces' completion ratios.
fn fairness_index(workspaces: &[WorkspaceCount]) -> f64 {
    let called = workspaces.iter().filter(|w| w.offered > 0);
    let completion_ratios: Vec<f64> = called.map(|w| ratio(w.completed, w.offered)).collect();
    let sum: f64 = completion_ratios.iter().sum();
    let squares: f64 = completion_ratios.iter().map(|r| r * r).sum();
    if squares == 0.0 {
        return 0.0;
    }
    sum * sum / (completion_ratios.len() as f64 * squares)
}
