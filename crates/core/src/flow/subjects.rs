//! How often prompts about a subject come.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time over which calls are counted.
const WINDOW: Duration = Duration::from_secs(2);

/// Subjects that are remembered; those without a recent call go first.
const SUBJECTS_MAX: usize = 4_096;

/// Calls of late by subject, each counting less as it ages.
#[derive(Debug, Default)]
pub(crate) struct Subjects {
    calls: HashMap<u64, (f64, Instant)>,
}

impl Subjects {
    /// Counts a call.
    pub(crate) fn count(&mut self, now: Instant, subject: u64) {
        if self.calls.len() >= SUBJECTS_MAX {
            let is_recent = |at: Instant| now.saturating_duration_since(at) < WINDOW;
            self.calls.retain(|_, (_, at)| is_recent(*at));
        }
        let calls = self.calls(now, subject);
        if self.calls.len() < SUBJECTS_MAX || calls > 0.0 {
            self.calls.insert(subject, (calls + 1.0, now));
        }
    }

    /// Calls a second beyond a single one, which says nothing of a rate.
    pub(crate) fn per_s(&self, now: Instant, subject: u64) -> f64 {
        (self.calls(now, subject) - 1.0).max(0.0) / WINDOW.as_secs_f64()
    }

    fn calls(&self, now: Instant, subject: u64) -> f64 {
        let Some((calls, at)) = self.calls.get(&subject) else {
            return 0.0;
        };
        let age = now.saturating_duration_since(*at);
        calls * (-age.as_secs_f64() / WINDOW.as_secs_f64()).exp()
    }
}
