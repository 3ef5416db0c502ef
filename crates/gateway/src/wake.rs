//! Notices that the process stood still.

use std::time::{Duration, Instant};

use rustix::time::{ClockId, clock_gettime};

/// Time that must be missing on the steady clock, which stands still with the host.
const PAUSE_MIN: Duration = Duration::from_millis(500);

/// Compares the steady clock with the one that goes on while the host is suspended.
#[derive(Debug)]
pub(crate) struct Wake {
    steady: Instant,
    boot: Duration,
}

impl Wake {
    pub(crate) fn new() -> Self {
        Self {
            steady: Instant::now(),
            boot: boot_time(),
        }
    }

    /// Time that the steady clock lost since the last call.
    pub(crate) fn paused(&mut self) -> Option<Duration> {
        let before = std::mem::replace(self, Self::new());
        let steady = self.steady.saturating_duration_since(before.steady);
        let boot = self.boot.saturating_sub(before.boot);
        let lost = boot.saturating_sub(steady);
        (lost >= PAUSE_MIN).then_some(lost)
    }
}

fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let (seconds, nanos) = (time.tv_sec as u64, time.tv_nsec as u32);
    Duration::new(seconds, nanos)
}
