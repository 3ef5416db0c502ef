//! Detects that the host was suspended.

use std::time::{Duration, Instant};

use rustix::time::{ClockId, clock_gettime};

/// Shortest pause that is reported.
const PAUSE_MIN: Duration = Duration::from_millis(500);

/// Detects suspensions of the host by comparing two clocks.
///
/// The monotonic clock stops while the host is suspended, the boot-time clock
/// does not.
#[derive(Debug)]
pub(crate) struct PauseDetector {
    monotonic: Instant,
    boot: Duration,
}

impl PauseDetector {
    pub(crate) fn new() -> Self {
        Self {
            monotonic: Instant::now(),
            boot: boot_time(),
        }
    }

    /// Returns the pause since the last call, if there was one.
    pub(crate) fn take_pause(&mut self) -> Option<Duration> {
        let before = std::mem::replace(self, Self::new());
        let monotonic = self.monotonic.saturating_duration_since(before.monotonic);
        let boot = self.boot.saturating_sub(before.boot);
        let pause = boot.saturating_sub(monotonic);
        (pause >= PAUSE_MIN).then_some(pause)
    }
}

fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let (seconds, nanos) = (time.tv_sec as u64, time.tv_nsec as u32);
    Duration::new(seconds, nanos)
}
