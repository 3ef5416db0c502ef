//! Budget of repeated sends, over a sliding window.
//!
//! All nodes together may repeat a part of the calls of a window, and some
//! more. Each node keeps to its own calls and to an equal part of the extra.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Fixed choices of a [`SlidingRetryBudget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryOptions {
    /// Length of the window.
    pub window: Duration,
    /// Repeats allowed for each call.
    pub ratio: f64,
    /// Repeats allowed beyond that, for all nodes together.
    pub extra: f64,
    /// Part of the allowance that is used; the rest covers wrong views of the fleet.
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

/// Slots that a window is counted in.
const SLOTS: u32 = 20;

#[derive(Clone, Copy, Debug)]
struct Slot {
    from: Instant,
    calls: u32,
    repeats: u32,
}

/// Counts calls and repeats of one service; see the module's page.
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
    /// A budget with nothing counted.
    #[must_use]
    pub fn new(options: RetryOptions) -> Self {
        let slots = VecDeque::new();
        Self { options, slots }
    }

    /// Changes the bounds; what was counted stays.
    pub fn set_options(&mut self, options: RetryOptions) {
        self.options = options;
    }

    /// Counts a call.
    pub fn record_call(&mut self, now: Instant) {
        if let Some(slot) = self.slot(now) {
            slot.calls += 1;
        }
    }

    /// Counts a repeat if it is allowed while `sharing_nodes` nodes take part.
    pub fn withdraw(&mut self, now: Instant, sharing_nodes: usize) -> bool {
        self.slot(now);
        let calls: u32 = self.slots.iter().map(|s| s.calls).sum();
        let repeats: u32 = self.slots.iter().map(|s| s.repeats).sum();
        let extra = self.options.extra / sharing_nodes.max(1) as f64;
        let allowed = (self.options.ratio * f64::from(calls) + extra) * self.options.used_ratio;
        if f64::from(repeats) + 1.0 > allowed {
            return false;
        }
        if let Some(slot) = self.slot(now) {
            slot.repeats += 1;
        }
        true
    }

    fn slot(&mut self, now: Instant) -> Option<&mut Slot> {
        let window = self.options.window;
        while let Some(first) = self.slots.front()
            && now.saturating_duration_since(first.from) > window
        {
            self.slots.pop_front();
        }
        let length = window / SLOTS;
        let is_over = |s: &Slot| now.saturating_duration_since(s.from) >= length;
        if self.slots.back().is_none_or(is_over) {
            let from = now;
            self.slots.push_back(Slot {
                from,
                calls: 0,
                repeats: 0,
            });
        }
        self.slots.back_mut()
    }
}
