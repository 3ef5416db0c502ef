//! Detection of servers that fail or lag behind the others.
//!
//! A server that fails several times in a row, or that is much slower than the
//! usual for the same target, is set aside for some seconds, longer each time.
//! Afterwards it takes work again in a slow start. How many may be set aside at
//! once is bounded, since a fleet that is slow as a whole has no outliers.

use std::time::{Duration, Instant};

/// Fixed choices of the detection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Failures in a row that set a server aside.
    pub failures_max: u32,
    /// Slowness against the usual that sets a server aside.
    pub slowness_max: f64,
    /// Samples of slowness needed before it counts.
    pub samples_min: u32,
    /// First time aside; doubled each time that follows soon.
    pub ejection: Duration,
    /// Longest time aside.
    pub ejection_max: Duration,
    /// Time until a server that came back takes its full part.
    pub slow_start: Duration,
    /// Largest part of the servers of a target that may be aside.
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
    /// Whether one more of `total` servers may be set aside.
    #[must_use]
    pub fn may_eject(&self, ejected: usize, total: usize) -> bool {
        (ejected + 1) as f64 <= total as f64 * self.ejected_ratio_max
    }
}

const SLOWNESS_WEIGHT: f64 = 0.3;
const CALM_AFTER: Duration = Duration::from_mins(1);

/// Health of one server; see the module's page.
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
    aside_until: Option<Instant>,
    times_aside: u32,
    slow_start_from: Option<Instant>,
}

impl Health {
    /// Health of a server that just joined.
    #[must_use]
    pub fn joined(now: Instant) -> Self {
        Self {
            slow_start_from: Some(now),
            ..Self::default()
        }
    }

    /// Takes an answer or progress.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Takes a failure that speaks against the server.
    pub fn record_failure(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    /// Takes a time as a multiple of the usual one.
    pub fn record_slowness(&mut self, ratio: f64) {
        self.samples = self.samples.saturating_add(1);
        let first = self.samples == 1;
        let weight = if first { 1.0 } else { SLOWNESS_WEIGHT };
        self.slowness += weight * (ratio - self.slowness);
    }

    /// Running mean of the slowness, 1 while unknown.
    #[must_use]
    pub fn mean_slowness(&self) -> f64 {
        if self.samples == 0 {
            1.0
        } else {
            self.slowness
        }
    }

    /// Whether the server fails or lags behind.
    #[must_use]
    pub fn is_outlier(&self, options: &Options) -> bool {
        let slow = self.samples >= options.samples_min && self.slowness > options.slowness_max;
        slow || self.failures >= options.failures_max
    }

    /// Sets the server aside and forgets what it was judged by.
    pub fn eject(&mut self, now: Instant, options: &Options) {
        let calm = |until: Instant| now.saturating_duration_since(until) > CALM_AFTER;
        if self.aside_until.is_some_and(calm) {
            self.times_aside = 0;
        }
        let factor = 1_u32 << self.times_aside.min(8);
        let until = now + (options.ejection * factor).min(options.ejection_max);
        *self = Self {
            aside_until: Some(until),
            times_aside: self.times_aside.saturating_add(1),
            slow_start_from: Some(until),
            ..Self::default()
        };
    }

    /// Whether the server is not set aside.
    #[must_use]
    pub fn is_available(&self, now: Instant) -> bool {
        self.aside_until.is_none_or(|until| now >= until)
    }

    /// Part of its limit that the server may take, above 0 and at most 1.
    #[must_use]
    pub fn slow_start_ratio(&self, now: Instant, options: &Options) -> f64 {
        let Some(from) = self.slow_start_from else {
            return 1.0;
        };
        let passed = now.saturating_duration_since(from).as_secs_f64();
        (passed / options.slow_start.as_secs_f64()).clamp(0.1, 1.0)
    }
}
