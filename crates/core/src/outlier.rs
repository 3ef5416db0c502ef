//! Outlier detection: ejects servers that fail or lag behind the others.
//!
//! A server that fails several times in a row, or that is much slower than
//! typical for the same target, is ejected for some seconds, longer each time.
//! It then returns with a slow start. The fraction of servers that may be
//! ejected at once is bounded, since a fleet that is slow as a whole has no
//! outliers.

use std::time::{Duration, Instant};

/// Options of outlier detection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Consecutive failures after which a server is ejected.
    pub failures_max: u32,
    /// Mean slowness above which a server is ejected, as a multiple of the typical time.
    pub slowness_max: f64,
    /// Samples needed before the mean slowness counts.
    pub samples_min: u32,
    /// Duration of the first ejection; doubled with each one that follows soon.
    pub ejection: Duration,
    /// Longest duration of an ejection.
    pub ejection_max: Duration,
    /// Time until a server that returns is given its full share of calls.
    pub slow_start: Duration,
    /// Largest fraction of a target's servers that may be ejected at once.
    pub ejected_ratio_max: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            failures_max: 3,
            slowness_max: 2.5,
            samples_min: 3,
            ejection: Duration::from_secs(5),
            ejection_max: Duration::from_mins(1),
            slow_start: Duration::from_secs(5),
            ejected_ratio_max: 1.0 / 3.0,
        }
    }
}

impl Options {
    /// Returns whether one more of `total` servers may be ejected.
    #[must_use]
    pub fn may_eject(&self, ejected: usize, total: usize) -> bool {
        (ejected + 1) as f64 <= total as f64 * self.ejected_ratio_max
    }
}

/// Weight of one sample in the running mean of the slowness.
const SLOWNESS_WEIGHT: f64 = 0.3;

/// Time without an ejection after which earlier ones no longer count.
const EJECTION_COUNT_TTL: Duration = Duration::from_mins(1);

/// Health of one server.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use briarbank_core::outlier::{Health, Options};
///
/// let (options, now) = (Options::default(), Instant::now());
/// let mut health = Health::default();
/// for _ in 0..3 {
///     health.record_failure();
/// }
/// assert!(health.is_outlier(&options));
/// health.eject(now, &options);
/// assert!(!health.is_available(now));
/// let later = now + Duration::from_secs(6);
/// assert!(health.is_available(later));
/// assert!(health.slow_start_ratio(later, &options) < 1.0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Health {
    failures: u32,
    slowness: f64,
    samples: u32,
    ejected_until: Option<Instant>,
    ejections: u32,
    slow_start_from: Option<Instant>,
}

impl Health {
    /// Returns the health of a server that just joined, in slow start.
    #[must_use]
    pub fn joined(now: Instant) -> Self {
        Self {
            slow_start_from: Some(now),
            ..Self::default()
        }
    }

    /// Records an answer or progress, which ends a run of failures.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Records a failure that is attributed to the server.
    pub fn record_failure(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    /// Records a response time as a multiple of the typical one.
    pub fn record_slowness(&mut self, ratio: f64) {
        self.samples = self.samples.saturating_add(1);
        let first = self.samples == 1;
        let weight = if first { 1.0 } else { SLOWNESS_WEIGHT };
        self.slowness += weight * (ratio - self.slowness);
    }

    /// Returns the running mean of the slowness, 1 while unknown.
    #[must_use]
    pub fn mean_slowness(&self) -> f64 {
        if self.samples == 0 {
            1.0
        } else {
            self.slowness
        }
    }

    /// Returns whether the server fails or lags behind.
    #[must_use]
    pub fn is_outlier(&self, options: &Options) -> bool {
        let is_slow = self.samples >= options.samples_min && self.slowness > options.slowness_max;
        is_slow || self.failures >= options.failures_max
    }

    /// Ejects the server and discards its samples and failures.
    pub fn eject(&mut self, now: Instant, options: &Options) {
        let is_long_ago =
            |until: Instant| now.saturating_duration_since(until) > EJECTION_COUNT_TTL;
        if self.ejected_until.is_some_and(is_long_ago) {
            self.ejections = 0;
        }
        let factor = 1_u32 << self.ejections.min(8);
        let until = now + (options.ejection * factor).min(options.ejection_max);
        *self = Self {
            ejected_until: Some(until),
            ejections: self.ejections.saturating_add(1),
            slow_start_from: Some(until),
            ..Self::default()
        };
    }

    /// Returns whether the server is not ejected.
    #[must_use]
    pub fn is_available(&self, now: Instant) -> bool {
        self.ejected_until.is_none_or(|until| now >= until)
    }

    /// Returns the fraction of its limit that the server may use.
    ///
    /// It is above 0 and at most 1.
    #[must_use]
    pub fn slow_start_ratio(&self, now: Instant, options: &Options) -> f64 {
        let Some(from) = self.slow_start_from else {
            return 1.0;
        };
        let elapsed = now.saturating_duration_since(from).as_secs_f64();
        (elapsed / options.slow_start.as_secs_f64()).clamp(0.1, 1.0)
    }
}
