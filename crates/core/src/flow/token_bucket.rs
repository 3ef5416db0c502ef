//! Token bucket of a server's limit.

use std::time::{Duration, Instant};

/// Requests that a node may send to one server with a limit.
///
/// It holds at most one token, so that the buckets of several nodes add little to the
/// limit when all are used at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct TokenBucket {
    /// Requests per second; 0 if other nodes use the server.
    per_s: f64,
    tokens: f64,
    updated_at: Instant,
}

impl TokenBucket {
    /// Creates an empty bucket.
    pub(crate) fn new(now: Instant, per_s: f64) -> Self {
        Self {
            per_s,
            tokens: 0.0,
            updated_at: now,
        }
    }

    /// Changes the rate; what has accrued stays.
    pub(crate) fn set_rate(&mut self, now: Instant, per_s: f64) {
        self.tokens = self.tokens(now);
        self.updated_at = now;
        self.per_s = per_s;
    }

    /// Returns the rate in requests per second.
    pub(crate) fn per_s(&self) -> f64 {
        self.per_s
    }

    fn tokens(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated_at);
        (self.tokens + elapsed.as_secs_f64() * self.per_s).min(1.0)
    }

    /// Returns whether a request may be sent.
    pub(crate) fn has_token(&self, now: Instant) -> bool {
        // Rounding of the time until a token is there must not cost a further wait.
        const ROUNDING: f64 = 1e-6;
        self.per_s > 0.0 && self.tokens(now) >= 1.0 - ROUNDING
    }

    /// Takes a token for a request that is sent.
    pub(crate) fn take(&mut self, now: Instant) {
        self.tokens = (self.tokens(now) - 1.0).max(0.0);
        self.updated_at = now;
    }

    /// Returns the time until a request may be sent, `None` if there is no rate.
    pub(crate) fn wait(&self, now: Instant) -> Option<Duration> {
        let missing = (1.0 - self.tokens(now)).max(0.0);
        (self.per_s > 0.0).then(|| Duration::from_secs_f64(missing / self.per_s))
    }
}
