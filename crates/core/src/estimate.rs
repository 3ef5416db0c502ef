//! Predictions of how long a call will take, learned from finished ones.
//!
//! Output lengths are learned for each pair of profile and target, speeds for
//! each target. What was never seen counts as instant, so that a call is not
//! given up for want of experience.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::{ProfileName, TargetName};
use crate::quantile::Histogram;

const SAMPLES_MIN: u32 = 8;

/// Work that a call still has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Remaining {
    /// Most tokens of the whole answer; 0 for a plain service.
    pub max_tokens: u32,
    /// Tokens that the caller already has.
    pub done_tokens: u32,
}

#[derive(Clone, Debug, Default)]
struct TargetEstimate {
    first_token_us: Histogram,
    between_tokens_us: Histogram,
    lengths: HashMap<ProfileName, Histogram>,
}

/// Learned lengths and speeds; see the module's page.
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
    /// Takes the time to the first token, or to the whole answer of a plain service.
    pub fn record_first_token(&mut self, target: &TargetName, time: Duration) {
        self.entry(target).first_token_us.record(micros(time));
    }

    /// Takes a mean time between tokens.
    pub fn record_between_tokens(&mut self, target: &TargetName, time: Duration) {
        self.entry(target).between_tokens_us.record(micros(time));
    }

    /// Takes the length of a whole answer.
    pub fn record_length(&mut self, profile: &ProfileName, target: &TargetName, tokens: u32) {
        let lengths = &mut self.entry(target).lengths;
        let histogram = lengths.entry(profile.clone()).or_default();
        histogram.record(f64::from(tokens));
    }

    /// Forgets all but the named profiles and targets.
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

    /// Time to the first token at the given quantile, if it is known.
    #[must_use]
    pub fn first_token(&self, target: &TargetName, quantile: f64) -> Option<Duration> {
        known(&self.targets.get(target)?.first_token_us, quantile)
    }

    /// Time between tokens at the given quantile, if it is known.
    #[must_use]
    pub fn between_tokens(&self, target: &TargetName, quantile: f64) -> Option<Duration> {
        known(&self.targets.get(target)?.between_tokens_us, quantile)
    }

    /// Time that a call takes from its dispatch to its end.
    ///
    /// `quantile` applies to the length and to the time to the first token; the
    /// time between tokens is taken at its median.
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
        let tokens = self.tokens(profile, target, remaining, quantile);
        first + between.mul_f64(tokens)
    }

    /// Tokens that are still to come.
    #[must_use]
    pub fn tokens(
        &self,
        profile: &ProfileName,
        target: &TargetName,
        remaining: Remaining,
        quantile: f64,
    ) -> f64 {
        let done = f64::from(remaining.done_tokens);
        let most = f64::from(remaining.max_tokens);
        let lengths = self
            .targets
            .get(target)
            .and_then(|t| t.lengths.get(profile))
            .filter(|l| l.len() >= SAMPLES_MIN);
        let length = lengths.and_then(|l| l.quantile_above(quantile, done));
        (length.unwrap_or(done).min(most) - done).max(0.0)
    }

    fn entry(&mut self, target: &TargetName) -> &mut TargetEstimate {
        self.targets.entry(target.clone()).or_default()
    }
}

fn known(histogram: &Histogram, quantile: f64) -> Option<Duration> {
    if histogram.len() < SAMPLES_MIN {
        return None;
    }
    let time_us = histogram.quantile(quantile)?;
    Some(Duration::from_micros(time_us as u64))
}

fn micros(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}
