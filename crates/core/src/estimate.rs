//! Predicted duration of calls, learned from finished ones.
//!
//! Output lengths are learned for each pair of profile and target, speeds for each
//! target. Without samples the prediction is zero, so that no call is refused for
//! lack of data.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::{ProfileName, TargetName};
use crate::quantile::Histogram;

/// Predictions need at least this many samples.
const SAMPLES_MIN: u32 = 8;

/// Remaining work of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Remaining {
    /// Maximum number of tokens of the whole answer; 0 for a plain service.
    pub max_tokens: u32,
    /// Tokens that the caller already received.
    pub done_tokens: u32,
}

#[derive(Clone, Debug, Default)]
struct TargetEstimate {
    first_token_us: Histogram,
    between_tokens_us: Histogram,
    lengths: HashMap<ProfileName, Histogram>,
}

/// Learned lengths and speeds; see the module documentation.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use briarbank_core::estimate::{Estimator, Remaining};
///
/// let (profile, target) = ("quick".into(), "small".into());
/// let mut estimator = Estimator::default();
/// for _ in 0..20 {
///     estimator.record_first_token(&target, Duration::from_millis(100));
///     estimator.record_between_tokens(&target, Duration::from_millis(20));
///     estimator.record_length(&profile, &target, 50);
/// }
/// let whole = Remaining { max_tokens: 500, done_tokens: 0 };
/// let predicted = estimator.predict(&profile, &target, whole, 0.5);
/// assert!(predicted > Duration::from_millis(900));
/// assert!(predicted < Duration::from_millis(1400));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    targets: HashMap<TargetName, TargetEstimate>,
}

impl Estimator {
    /// Records the time to the first token, or of a plain service's whole answer.
    pub fn record_first_token(&mut self, target: &TargetName, time: Duration) {
        self.entry(target).first_token_us.record(micros(time));
    }

    /// Records a mean time between tokens.
    pub fn record_between_tokens(&mut self, target: &TargetName, time: Duration) {
        self.entry(target).between_tokens_us.record(micros(time));
    }

    /// Records the length of a whole answer.
    pub fn record_length(&mut self, profile: &ProfileName, target: &TargetName, tokens: u32) {
        let lengths = &mut self.entry(target).lengths;
        let histogram = lengths.entry(profile.clone()).or_default();
        histogram.record(f64::from(tokens));
    }

    /// Keeps only the profiles and targets for which the predicates hold.
    pub fn retain(
        &mut self,
        profile: impl Fn(&ProfileName) -> bool,
        target: impl Fn(&TargetName) -> bool,
    ) {
        self.targets.retain(|name, _| target(name));
        for estimate in self.targets.values_mut() {
            estimate.lengths.retain(|name, _| profile(name));
        }
    }

    /// Time to the first token at a quantile, if there are enough samples.
    #[must_use]
    pub fn first_token(&self, target: &TargetName, quantile: f64) -> Option<Duration> {
        quantile_time(&self.targets.get(target)?.first_token_us, quantile)
    }

    /// Time between tokens at a quantile, if there are enough samples.
    #[must_use]
    pub fn between_tokens(&self, target: &TargetName, quantile: f64) -> Option<Duration> {
        quantile_time(&self.targets.get(target)?.between_tokens_us, quantile)
    }

    /// Predicted time of a call from its dispatch to its end.
    ///
    /// `quantile` applies to the length and to the time to the first token; the time
    /// between tokens is the median.
    #[must_use]
    pub fn predict(
        &self,
        profile: &ProfileName,
        target: &TargetName,
        remaining: Remaining,
        quantile: f64,
    ) -> Duration {
        let first = self.first_token(target, quantile).unwrap_or_default();
        let between = self.between_tokens(target, 0.5).unwrap_or_default();
        let tokens = self.remaining_tokens(profile, target, remaining, quantile);
        first + between.mul_f64(tokens)
    }

    /// Predicted number of remaining tokens.
    #[must_use]
    pub fn remaining_tokens(
        &self,
        profile: &ProfileName,
        target: &TargetName,
        remaining: Remaining,
        quantile: f64,
    ) -> f64 {
        let done = f64::from(remaining.done_tokens);
        let limit = f64::from(remaining.max_tokens);
        let lengths = self
            .targets
            .get(target)
            .and_then(|t| t.lengths.get(profile))
            .filter(|l| l.len() >= SAMPLES_MIN);
        let length = lengths.and_then(|l| l.quantile_above(quantile, done));
        (length.unwrap_or(done).min(limit) - done).max(0.0)
    }

    fn entry(&mut self, target: &TargetName) -> &mut TargetEstimate {
        self.targets.entry(target.clone()).or_default()
    }
}

fn quantile_time(histogram: &Histogram, quantile: f64) -> Option<Duration> {
    if histogram.len() < SAMPLES_MIN {
        return None;
    }
    let time_us = histogram.quantile(quantile)?;
    Some(Duration::from_micros(time_us as u64))
}

fn micros(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}
