//! When another server is asked beside one that is silent.

use std::time::Duration;

use briarbank_core::flow::{Instance, Placement};
use tokio::time::Instant;

use crate::caller::exchange::Exchange;

/// Silence after which another server is asked for a retryable call.
///
/// Multiples of the expected latency and of the latency objective; the longer
/// time counts.
const SILENCE_RATIOS: (f64, f64) = (4.0, 2.0);

/// Pause after which another server is asked to go on with a stream.
///
/// A multiple of the longest pause that meets the objective.
const STALL_GAPS: u32 = 4;

impl Exchange {
    /// Returns the time after which a server without an answer counts as silent.
    pub(crate) fn silence_max(&self, placement: &Placement) -> Duration {
        let target = Duration::from_millis(u64::from(self.admitted.route.target_ms));
        let silence = placement.expected_latency.mul_f64(SILENCE_RATIOS.0);
        silence.max(target.mul_f64(SILENCE_RATIOS.1))
    }

    /// Returns whether the call may leave a server that is silent for another one.
    ///
    /// Without another one, a slow server is better than none.
    pub(crate) fn can_leave(&self, instance: &Instance) -> bool {
        if !self.has_attempt_left() {
            return false;
        }
        let mut avoid = self.tried.clone();
        avoid.push(instance.id.clone());
        let now = Instant::now();
        let call = self.call_to_dispatch(now);
        let mut dispatcher = self.shared.dispatcher.borrow_mut();
        dispatcher.can_move(now.into_std(), &call, &avoid)
    }

    /// Returns whether the call may run once more besides the current attempt.
    pub(crate) fn has_attempt_left(&self) -> bool {
        let route = &self.admitted.route;
        route.is_repeatable() && self.record.sends + 1 < route.attempts_max
    }

    /// Returns the time after which a stream without a further event counts as stalled.
    pub(crate) fn stall_max(&self) -> Duration {
        let route = &self.admitted.route;
        let gap = Duration::from_millis(u64::from(route.gap_ms.unwrap_or(route.target_ms)));
        gap * STALL_GAPS
    }
}
