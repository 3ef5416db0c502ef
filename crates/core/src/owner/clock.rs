//! Wall clock without steps, and creation times of request ids.

use std::time::Instant;

use uuid::Uuid;

use crate::ids::RequestId;

/// Wall clock derived from one reading at start and the monotonic clock.
///
/// Later steps of the host's wall clock have no effect on it.
#[derive(Clone, Copy, Debug)]
pub struct WallClock {
    start: Instant,
    start_ms: u64,
}

impl WallClock {
    /// Creates a clock that reads `wall_ms`, in milliseconds since 1970, at `now`.
    #[must_use]
    pub fn new(now: Instant, wall_ms: u64) -> Self {
        Self {
            start: now,
            start_ms: wall_ms,
        }
    }

    /// Returns the wall time at `now`, in milliseconds since 1970.
    #[must_use]
    pub fn wall_ms(&self, now: Instant) -> u64 {
        let elapsed_ms = now.saturating_duration_since(self.start).as_millis();
        self.start_ms
            .saturating_add(u64::try_from(elapsed_ms).unwrap_or(u64::MAX))
    }
}

/// Returns the creation time of a `UUIDv7`, in milliseconds since 1970.
///
/// Source: RFC 9562, section 5.7.
pub(crate) fn created_ms(request: &RequestId) -> Option<u64> {
    let uuid = Uuid::try_parse(request.as_str()).ok()?;
    if uuid.get_version_num() != 7 {
        return None;
    }
    let (seconds, nanos) = uuid.get_timestamp()?.to_unix();
    Some(seconds * 1000 + u64::from(nanos) / 1_000_000)
}
