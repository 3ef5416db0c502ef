//! Work in flight at a server.

use crate::flow::message::ServerLoad;

/// Work in flight at a server, of one or several nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Calls in flight.
    pub running: f64,
    /// Streams among them that have begun and are sensitive to pauses.
    pub streaming: f64,
    /// Prompt tokens sent whose first event has not come yet.
    pub pending_tokens: f64,
    /// Prompt tokens to read that were sent, a second, as a running mean.
    pub tokens_per_s: f64,
}

impl Load {
    /// Adds what a node tells.
    pub fn add(&mut self, load: &ServerLoad) {
        self.running += f64::from(load.running);
        self.streaming += f64::from(load.streaming);
        self.pending_tokens += f64::from(load.pending_tokens);
        self.tokens_per_s += f64::from(load.tokens_per_s);
    }

    /// Multiplies all parts.
    pub fn scale(&mut self, factor: f64) {
        self.running *= factor;
        self.streaming *= factor;
        self.pending_tokens *= factor;
        self.tokens_per_s *= factor;
    }

    /// The sum of two loads.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            running: self.running + other.running,
            streaming: self.streaming + other.streaming,
            pending_tokens: self.pending_tokens + other.pending_tokens,
            tokens_per_s: self.tokens_per_s + other.tokens_per_s,
        }
    }
}
