//! Retry budget over a sliding window.
//!
//! All nodes together may retry a fraction of the calls of a window, plus a
//! fixed number. The budget of each node is that fraction of its own calls plus
//! an equal share of the fixed number.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Options of a [`SlidingRetryBudget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryOptions {
    /// Length of the window.
    pub window: Duration,
    /// Retries allowed per call of the window.
    pub ratio: f64,
    /// Retries allowed beyond that, for all nodes together.
    pub extra: f64,
    /// Fraction of the allowance that is used.
    ///
    /// The rest covers nodes that disagree about the size of the fleet.
    pub used_ratio: f64,
}

impl Default for RetryOptions {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(10),
            ratio: 0.1,
            extra: 10.0,
            used_ratio: 0.7,
        }
    }
}

/// Part of the allowance that hedges may use; the rest is left to retries.
const HEDGES_RATIO: f64 = 0.5;

/// Number of slots that a window is divided into.
const SLOTS: u32 = 20;

#[derive(Clone, Copy, Debug)]
struct Slot {
    start: Instant,
    calls: u32,
    /// Hedges included.
    retries: u32,
    hedges: u32,
}

/// Retry budget of one service at one node.
///
/// # Examples
///
/// ```
/// use std::time::Instant;
/// use briarbank_core::flow::{SlidingRetryBudget, RetryOptions};
///
/// let options = RetryOptions { ratio: 0.0, extra: 4.0, used_ratio: 1.0, ..Default::default() };
/// let mut budget = SlidingRetryBudget::new(options);
/// let now = Instant::now();
/// assert!(budget.withdraw(now, 2) && budget.withdraw(now, 2));
/// assert!(!budget.withdraw(now, 2));
/// assert!(budget.withdraw(now + options.window * 2, 2));
/// ```
#[derive(Clone, Debug)]
pub struct SlidingRetryBudget {
    options: RetryOptions,
    slots: VecDeque<Slot>,
}

impl SlidingRetryBudget {
    /// Creates a budget without recorded calls.
    #[must_use]
    pub fn new(options: RetryOptions) -> Self {
        let slots = VecDeque::new();
        Self { options, slots }
    }

    /// Changes the options; recorded calls and retries stay.
    pub fn set_options(&mut self, options: RetryOptions) {
        self.options = options;
    }

    /// Records a call.
    pub fn record_call(&mut self, now: Instant) {
        if let Some(slot) = self.current_slot(now) {
            slot.calls += 1;
        }
    }

    /// Withdraws a retry if the budget, divided among `sharing_nodes` nodes, allows it.
    pub fn withdraw(&mut self, now: Instant, sharing_nodes: usize) -> bool {
        if !self.allows_retry(now, sharing_nodes) {
            return false;
        }
        if let Some(slot) = self.current_slot(now) {
            slot.retries += 1;
        }
        true
    }

    /// Returns whether [`Self::withdraw`] would succeed.
    pub fn allows_retry(&mut self, now: Instant, sharing_nodes: usize) -> bool {
        let allowed = self.allowance(now, sharing_nodes);
        let retries: u32 = self.slots.iter().map(|s| s.retries).sum();
        f64::from(retries) + 1.0 <= allowed
    }

    /// Withdraws a hedge, which is a retry that must leave half of the budget to others.
    pub fn withdraw_hedge(&mut self, now: Instant, sharing_nodes: usize) -> bool {
        if !self.allows_hedge(now, sharing_nodes) {
            return false;
        }
        if let Some(slot) = self.current_slot(now) {
            slot.retries += 1;
            slot.hedges += 1;
        }
        true
    }

    /// Returns whether [`Self::withdraw_hedge`] would succeed.
    pub fn allows_hedge(&mut self, now: Instant, sharing_nodes: usize) -> bool {
        let allowed = self.allowance(now, sharing_nodes) * HEDGES_RATIO;
        let hedges: u32 = self.slots.iter().map(|s| s.hedges).sum();
        f64::from(hedges) + 1.0 <= allowed && self.allows_retry(now, sharing_nodes)
    }

    /// Returns the retries that the calls of the window allow.
    fn allowance(&mut self, now: Instant, sharing_nodes: usize) -> f64 {
        self.current_slot(now);
        let calls: u32 = self.slots.iter().map(|s| s.calls).sum();
        let extra = self.options.extra / sharing_nodes.max(1) as f64;
        (self.options.ratio * f64::from(calls) + extra) * self.options.used_ratio
    }

    fn current_slot(&mut self, now: Instant) -> Option<&mut Slot> {
        let window = self.options.window;
        while let Some(first) = self.slots.front()
            && now.saturating_duration_since(first.start) > window
        {
            self.slots.pop_front();
        }
        let length = window / SLOTS;
        let has_ended = |s: &Slot| now.saturating_duration_since(s.start) >= length;
        if self.slots.back().is_none_or(has_ended) {
            let start = now;
            self.slots.push_back(Slot {
                start,
                calls: 0,
                retries: 0,
                hedges: 0,
            });
        }
        self.slots.back_mut()
    }
}
