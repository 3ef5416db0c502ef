//! Load of a server.

use crate::flow::message::ServerLoad;

/// Typical time for which a prompt is pending, in seconds.
const PENDING_S: f64 = 0.1;

/// Calls in flight at a server, from one or several nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Calls in flight.
    pub running: f64,
    /// Calls in flight with short prompts.
    pub short_prompts: f64,
    /// Prompt tokens of calls whose first event has not arrived.
    pub pending_tokens: f64,
    /// Rate at which tokens of long prompts are sent for prefill, as a running mean.
    pub tokens_per_s: f64,
}

impl Load {
    /// Adds the load that a node reported, discounted by its age.
    ///
    /// Pending tokens go out of date quickly: a fraction `fresh_ratio` of them is assumed
    /// to be still pending, and the rest is estimated from the node's rate.
    pub fn add(&mut self, load: &ServerLoad, fresh_ratio: f64) {
        self.running += f64::from(load.running);
        self.short_prompts += f64::from(load.short_prompts);
        let typical = f64::from(load.tokens_per_s) * PENDING_S;
        self.pending_tokens +=
            fresh_ratio * f64::from(load.pending_tokens) + (1.0 - fresh_ratio) * typical;
        self.tokens_per_s += f64::from(load.tokens_per_s);
    }

    /// Multiplies all fields by a factor.
    pub fn scale(&mut self, factor: f64) {
        self.running *= factor;
        self.short_prompts *= factor;
        self.pending_tokens *= factor;
        self.tokens_per_s *= factor;
    }

    /// Returns the sum of two loads.
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
