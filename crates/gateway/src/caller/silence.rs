//! When another server is asked beside one that is silent.

use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;

use briarbank_core::flow::{Fault, Instance, Placement};
use tokio::time::{Instant, sleep_until};

use crate::caller::attempt_guard::{Execution, StartedAnswer};
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

/// Silence of a stream before which no other server is asked, whatever the objective.
///
/// Sound servers may be silent for about a second, and the answer is late by then.
const STREAM_SILENCE_MIN: Duration = Duration::from_millis(1_200);

/// Longest time for which a stream is at a silent server and at another one.
///
/// A server that cannot take a stream refuses it sooner, and the work of one of the two
/// is wasted.
pub(crate) const OVERLAP_MAX: Duration = Duration::from_millis(300);

/// Completes when a stream has been at two servers for too long.
pub(crate) async fn overlap_end(sent_at: &Cell<Instant>) {
    while sent_at.get() + OVERLAP_MAX > Instant::now() {
        sleep_until(sent_at.get() + OVERLAP_MAX).await;
    }
}

impl Exchange {
    /// Returns the time after which a server without an answer counts as silent.
    pub(crate) fn silence_max(&self, placement: &Placement) -> Duration {
        let target = Duration::from_millis(u64::from(self.admitted.route.target_ms));
        let silence = placement.expected_latency.mul_f64(SILENCE_RATIOS.0);
        let silence = silence.max(target.mul_f64(SILENCE_RATIOS.1));
        if self.admitted.route.is_stream() {
            silence.max(STREAM_SILENCE_MIN)
        } else {
            silence
        }
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

    /// Asks another server for the rest of a stream whose server is silent.
    ///
    /// `event` is the last one that the caller has.
    pub(crate) async fn start_other(
        &mut self,
        silent: &Arc<Instance>,
        event: Option<Arc<str>>,
    ) -> Option<StartedAnswer> {
        if event.is_some() {
            self.last_event = event;
        }
        self.silent_server = Some(silent.id.clone());
        self.uncounted = Some(Arc::clone(silent));
        self.start_stream().await
    }

    /// Ends the search of [`Self::start_other`], whether or not it found a server.
    pub(crate) fn end_search(&mut self) {
        self.silent_server = None;
        self.uncounted = None;
    }

    /// Returns the answer of a server that goes on with the stream.
    pub(crate) async fn start_stream(&mut self) -> Option<StartedAnswer> {
        loop {
            let started = self.start_answer().await.ok()?;
            if started.head.status.is_success() {
                return Some(started);
            }
            self.set_failure_reason("server error");
            let instance = Arc::clone(&started.guard.instance);
            started.guard.record_failure(Fault::Failed);
            if !self.may_retry(Execution::Unknown, &instance) {
                return None;
            }
        }
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
        (gap * STALL_GAPS).max(STREAM_SILENCE_MIN)
    }
}
