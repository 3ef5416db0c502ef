//! Bound on the hedges of a node over a sliding window.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Number of slots that a window is divided into.
const SLOTS: u32 = 20;

#[derive(Clone, Copy, Debug)]
struct Slot {
    start: Instant,
    calls: u32,
    hedges: u32,
}

/// Allows hedges of at most a fraction of the calls in a sliding window.
///
/// Each node holds it for its own calls, so that all nodes together stay within the
/// fraction, however many they are and whatever they know of each other.
#[derive(Clone, Debug)]
pub(crate) struct HedgeLimit {
    ratio: f64,
    window: Duration,
    slots: VecDeque<Slot>,
}

impl HedgeLimit {
    pub(crate) fn new(ratio: f64, window: Duration) -> Self {
        Self {
            ratio,
            window,
            slots: VecDeque::new(),
        }
    }

    pub(crate) fn ratio(&self) -> f64 {
        self.ratio
    }

    pub(crate) fn set_window(&mut self, window: Duration) {
        self.window = window;
    }

    pub(crate) fn record_call(&mut self, now: Instant) {
        if let Some(slot) = self.current_slot(now) {
            slot.calls += 1;
        }
    }

    /// Returns whether [`Self::withdraw`] would succeed.
    pub(crate) fn allows(&self, now: Instant) -> bool {
        let (calls, hedges) = self.used(now);
        f64::from(hedges) + 1.0 <= self.ratio * f64::from(calls)
    }

    /// Withdraws a hedge if the limit allows one.
    pub(crate) fn withdraw(&mut self, now: Instant) -> bool {
        if !self.allows(now) {
            return false;
        }
        if let Some(slot) = self.current_slot(now) {
            slot.hedges += 1;
        }
        true
    }

    /// Returns the calls and the hedges of the window.
    ///
    /// A slot of which a part is older than the window counts for its hedges only.
    pub(crate) fn used(&self, now: Instant) -> (u32, u32) {
        let age = |slot: &&Slot| now.saturating_duration_since(slot.start);
        let whole = self.slots.iter().filter(|s| age(s) <= self.window);
        let partial = self.slots.iter();
        let partial = partial.filter(|s| age(s) <= self.window + self.slot_length());
        (
            whole.map(|s| s.calls).sum(),
            partial.map(|s| s.hedges).sum(),
        )
    }

    fn slot_length(&self) -> Duration {
        self.window / SLOTS
    }

    fn current_slot(&mut self, now: Instant) -> Option<&mut Slot> {
        let length = self.slot_length();
        let age = |slot: &Slot| now.saturating_duration_since(slot.start);
        while let Some(first) = self.slots.front()
            && age(first) > self.window + length
        {
            self.slots.pop_front();
        }
        if self.slots.back().is_none_or(|slot| age(slot) >= length) {
            self.slots.push_back(Slot {
                start: now,
                calls: 0,
                hedges: 0,
            });
        }
        self.slots.back_mut()
    }
}
