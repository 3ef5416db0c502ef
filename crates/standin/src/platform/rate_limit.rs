//! Rate limit on calls.

use std::time::Duration;

use tokio::time::Instant;

/// Token bucket with the capacity of one second of calls.
#[derive(Debug)]
pub(crate) struct RateLimit {
    rate_per_s: u32,
    tokens: f64,
    refilled_at: Instant,
}

impl RateLimit {
    /// Creates a full bucket.
    pub(crate) fn new(rate_per_s: u32, now: Instant) -> Self {
        Self {
            rate_per_s,
            tokens: f64::from(rate_per_s),
            refilled_at: now,
        }
    }

    /// Takes one token and returns whether one was left.
    pub(crate) fn try_take(&mut self, now: Instant) -> bool {
        let elapsed: Duration = now.saturating_duration_since(self.refilled_at);
        let rate = f64::from(self.rate_per_s);
        self.tokens = (self.tokens + elapsed.as_secs_f64() * rate).min(rate);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
