//! When a slow call is also sent to a second server.
//!
//! A call that is slower than nearly all calls of its kind is hedged: a second server
//! gets it too, and the first complete answer counts. The policy decides by the times of
//! the node's own calls and what the dispatcher expects of a second server. It is off
//! while its ratio is 0.

use std::time::{Duration, Instant};

use crate::flow::call_times::{CallKind, CallTimes, Times};
use crate::flow::hedge_limit::HedgeLimit;
use crate::flow::hedge_offer::HedgeOffer;

/// Quantile of the recent times after which a call counts as slow.
const TRIGGER_QUANTILE: f64 = 0.95;

/// Fraction of the objective before which no call is hedged.
const OBJECTIVE_RATIO_MIN: f64 = 0.25;

/// Largest time expected at the second server, as a fraction of that left at the first.
///
/// Expected times are accurate to about a factor of two, and a hedge that ends at the
/// same time as the first attempt is only work.
const BENEFIT_RATIO: f64 = 0.5;

/// Growth of a call's time until a hedge that was not worth its work is considered again.
const RECHECK_RATIO: f64 = 1.5;

/// Shortest time until a hedge is considered again.
const RECHECK_MIN: Duration = Duration::from_millis(10);

/// Largest ratio of hedges to calls.
pub const HEDGE_RATIO_MAX: f64 = 0.5;

/// A call that waits for its answer.
#[derive(Clone, Copy, Debug)]
pub struct WaitingCall {
    /// Time since its first attempt of this search for a server was sent.
    pub elapsed: Duration,
    /// Time since it arrived.
    pub age: Duration,
    /// Latency objective of its route.
    pub objective: Duration,
}

impl WaitingCall {
    fn objective_left(&self) -> Duration {
        self.objective.saturating_sub(self.age)
    }
}

/// Why a call is hedged, in the terms of the decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HedgeReason {
    /// Time after which calls of this kind count as slow.
    pub trigger: Duration,
    /// Time that the first server is expected to take still.
    pub first_left: Duration,
    /// Time that the second server is expected to take.
    pub second: Duration,
}

/// Why a call is not hedged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HedgeRefusal {
    /// Too few recent times of such calls are known.
    Unknown,
    /// No other server takes the call.
    NoServer,
    /// The call or a part of its prompt is suspected to crash servers.
    Suspect,
    /// A second server could not meet the objective.
    TooLate,
    /// The second server is not expected to answer well before the first one.
    NoBenefit {
        /// Time until a hedge may be considered again.
        recheck_after: Duration,
    },
    /// The limit of the window, or the part of the retry budget for hedges, is used up.
    Limit,
}

/// Policy and state of hedges at one node.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use briarbank_core::flow::{CallKind, Hedging};
///
/// let now = Instant::now();
/// let mut hedging = Hedging::new(0.05, Duration::from_secs(10));
/// let kind = CallKind::new(&"receipts".into(), 300);
/// for ms in 1..=100 {
///     hedging.record_time(now, &kind, Duration::from_millis(ms));
/// }
/// let trigger = hedging.trigger(now, &kind, Duration::ZERO, Duration::from_secs(1)).unwrap();
/// assert_eq!(trigger, Duration::from_millis(250), "a quarter of the objective");
/// ```
#[derive(Clone, Debug)]
pub struct Hedging {
    times: CallTimes,
    limit: HedgeLimit,
}

impl Hedging {
    /// Creates a policy for at most `ratio` hedges for each call of a window.
    ///
    /// Ratios outside of 0 to [`HEDGE_RATIO_MAX`] are clamped.
    #[must_use]
    pub fn new(ratio: f64, window: Duration) -> Self {
        let ratio = if ratio.is_finite() { ratio } else { 0.0 };
        Self {
            times: CallTimes::default(),
            limit: HedgeLimit::new(ratio.clamp(0.0, HEDGE_RATIO_MAX), window),
        }
    }

    /// Returns whether calls may be hedged at all.
    #[must_use]
    pub fn is_on(&self) -> bool {
        self.limit.ratio() > 0.0
    }

    /// Returns the largest ratio of hedges to calls.
    #[must_use]
    pub fn ratio(&self) -> f64 {
        self.limit.ratio()
    }

    /// Changes the length of the window.
    pub fn set_window(&mut self, window: Duration) {
        self.limit.set_window(window);
    }

    /// Returns the calls that may be repeated and the hedges in the window.
    #[must_use]
    pub fn used(&self, now: Instant) -> (u32, u32) {
        self.limit.used(now)
    }

    /// Records a call that may be repeated.
    pub fn record_call(&mut self, now: Instant) {
        self.limit.record_call(now);
    }

    /// Records the time from the first attempt of a call to its answer.
    ///
    /// For streams it ends at the first event.
    pub fn record_time(&mut self, now: Instant, kind: &CallKind, time: Duration) {
        self.times.record(now, kind, time);
    }

    /// Records a call whose first attempt was cancelled after that time, as its hedge won.
    ///
    /// The attempt counts with the time that it was expected to take. Without these times,
    /// or with those of the hedges, slow servers would soon seem to be no slower than
    /// others, and calls at them would no longer be hedged.
    pub fn record_overtaken(&mut self, now: Instant, kind: &CallKind, elapsed: Duration) {
        let times = self.times.get(now, kind);
        let left = times.map_or(elapsed, |times| time_left(times, elapsed));
        self.times.record(now, kind, elapsed + left);
    }

    /// Returns how long after its send a call is considered for a hedge.
    ///
    /// `age` is the time since the call arrived. `None` if it will not be hedged.
    #[must_use]
    pub fn trigger(
        &self,
        now: Instant,
        kind: &CallKind,
        age: Duration,
        objective: Duration,
    ) -> Option<Duration> {
        if !self.is_on() {
            return None;
        }
        let times = self.times.get(now, kind)?;
        let earliest = objective.mul_f64(OBJECTIVE_RATIO_MIN).saturating_sub(age);
        let trigger = times.quantile(TRIGGER_QUANTILE)?.max(earliest);
        let is_in_time = age + trigger + times.quantile(0.5)? <= objective;
        is_in_time.then_some(trigger)
    }

    /// Decides whether a call is hedged; withdraws nothing from the limit.
    ///
    /// # Errors
    ///
    /// The hedge would be late, bring nothing, or exceed the limit.
    pub fn decide(
        &self,
        now: Instant,
        kind: &CallKind,
        call: &WaitingCall,
        offer: &HedgeOffer,
    ) -> Result<HedgeReason, HedgeRefusal> {
        let times = self.times.get(now, kind).ok_or(HedgeRefusal::Unknown)?;
        let usual = times.quantile(0.5).ok_or(HedgeRefusal::Unknown)?;
        let trigger = times.quantile(TRIGGER_QUANTILE);
        let trigger = trigger.ok_or(HedgeRefusal::Unknown)?;
        let second = offer.expected.map_or(usual, |expected| expected.max(usual));
        if second > call.objective_left() {
            return Err(HedgeRefusal::TooLate);
        }
        let first_left = time_left(times, call.elapsed);
        if !offer.is_free || second > first_left.mul_f64(BENEFIT_RATIO) {
            let recheck_after = call.elapsed.mul_f64(RECHECK_RATIO - 1.0).max(RECHECK_MIN);
            return Err(HedgeRefusal::NoBenefit { recheck_after });
        }
        if !self.limit.allows(now) {
            return Err(HedgeRefusal::Limit);
        }
        Ok(HedgeReason {
            trigger,
            first_left,
            second,
        })
    }

    /// Returns whether [`Self::withdraw`] would succeed.
    #[must_use]
    pub fn allows(&self, now: Instant) -> bool {
        self.limit.allows(now)
    }

    /// Withdraws a hedge from the limit; false when it is used up.
    pub fn withdraw(&mut self, now: Instant) -> bool {
        self.limit.withdraw(now)
    }

    /// Iterates over the kinds of calls whose times are known, with their quantile.
    pub fn triggers(&self, now: Instant) -> impl Iterator<Item = (&CallKind, Duration)> {
        let known = self.times.known(now);
        known.filter_map(|(kind, times)| Some((kind, times.quantile(TRIGGER_QUANTILE)?)))
    }
}

/// Returns the time that an attempt is expected to take still.
///
/// One that is slower than all recent calls is expected to take as long again.
fn time_left(times: &Times, elapsed: Duration) -> Duration {
    let longer = times.median_above(elapsed);
    longer.map_or(elapsed, |time| time.saturating_sub(elapsed))
}
