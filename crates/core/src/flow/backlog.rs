//! Work in flight at a server.

use crate::flow::message::ServerLoad;

/// Usual time for which a prompt is pending, in seconds.
const PENDING_S: f64 = 0.1;

/// Work in flight at a server, of one or several nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Calls in flight.
    pub running: f64,
    /// Calls in flight with short prompts.
    pub short_prompts: f64,
    /// Prompt tokens sent whose first event has not come yet.
    pub pending_tokens: f64,
    /// Tokens of long prompts to read that were sent, a second, as a running mean.
    pub tokens_per_s: f64,
}

impl Load {
    /// Adds what a node told, of which `fresh_ratio` is still as it was.
    ///
    /// What was pending then is over soon; the rest is taken from the rate.
    pub fn add(&mut self, load: &ServerLoad, fresh_ratio: f64) {
        self.running += f64::from(load.running);
        self.short_prompts += f64::from(load.short_prompts);
        let usual = f64::from(load.tokens_per_s) * PENDING_S;
        self.pending_tokens +=
            fresh_ratio * f64::from(load.pending_tokens) + (1.0 - fresh_ratio) * usual;
        self.tokens_per_s += f64::from(load.tokens_per_s);
    }

    /// Multiplies all parts.
    pub fn scale(&mut self, factor: f64) {
        self.running *= factor;
        self.short_prompts *= factor;
        self.pending_tokens *= factor;
        self.tokens_per_s *= factor;
    }

    /// The sum of two loads.
    #[must_use]
    pub fn sum(&self, other: &Self) -> Self {
        Self {
            running: self.running + other.running,
            short_prompts: self.short_prompts + other.short_prompts,
            pending_tokens: self.pending_tokens + other.pending_tokens,
            tokens_per_s: self.tokens_per_s + other.tokens_per_s,
        }
    }
}
