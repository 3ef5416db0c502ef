//! What a node exchanges with the homes of servers about prefill speed and cached parts.

use std::time::Instant;

use crate::flow::call::{Call, Prompt};
use crate::flow::dispatch::Dispatcher;
use crate::flow::message::{PrefillSample, ServerEstimate, ServerLoad, ServerObservation};
use crate::flow::prompt_time::MS_PER_TOKEN_RANGE;
use crate::flow::server::{NAMED_PARTS_MAX, ServerEntry, part_key};
use crate::ids::ServerName;

/// Tokens of prefill at the mean speed that a server's own samples are weighed against.
const PRIOR_TOKENS: f64 = 20_000.0;

/// Calls that the samples of a service's servers need before their mean is used.
const MEAN_CALLS_MIN: f64 = 3.0;

/// Bounds of a server's prefill time as a multiple of the mean.
const SLOWNESS_RANGE: (f64, f64) = (0.33, 4.0);

impl Dispatcher {
    /// Returns what this node has seen of these servers since it was last taken.
    ///
    /// What it has seen of others is kept for the next report to their homes.
    pub fn take_observations(&mut self, servers: &[ServerLoad]) -> Vec<ServerObservation> {
        let is_named = |e: &&mut ServerEntry| servers.iter().any(|s| s.server_key == e.key);
        let entries = self.servers.values_mut().filter(is_named);
        entries.filter_map(ServerEntry::take_observation).collect()
    }

    /// Returns the parts that the homes of servers are asked about before a call is placed.
    ///
    /// Shared parts of short prompts are not worth the question.
    #[must_use]
    pub fn parts_to_ask(&self, call: &Call) -> Vec<u32> {
        let prompt = call.prompt.as_ref().filter(|p| !self.is_short(call, p));
        let parts = prompt.into_iter().flat_map(Prompt::shared_parts);
        parts.map(part_key).take(NAMED_PARTS_MAX).collect()
    }

    /// Sets what the homes of servers told of them for a call.
    ///
    /// Answers with figures that are no numbers are ignored.
    pub fn set_estimates(&mut self, now: Instant, call: &Call, estimates: &[ServerEstimate]) {
        let prefix = call.prompt.as_ref().and_then(Prompt::prefix_key);
        let estimates = estimates.iter().filter_map(ServerEstimate::within_bounds);
        for estimate in estimates {
            let mut entries = self.servers.values_mut();
            if let Some(entry) = entries.find(|e| e.key == estimate.server_key) {
                entry.set_estimate(now, estimate, prefix);
            }
        }
    }

    /// Records how long work takes at a server at this moment, as a multiple of the usual.
    pub fn record_slowness(&mut self, server: &ServerName, slowness: f64) {
        if let Some(entry) = self.servers.get_mut(server) {
            entry.observe_slowness(slowness);
        }
    }

    /// Returns the hash of a server's present process, given the hash of its name.
    #[must_use]
    pub fn process_key(&self, server_key: u32) -> Option<u32> {
        let mut entries = self.servers.values();
        let entry = entries.find(|e| e.key == server_key)?;
        Some(entry.process_key())
    }
}

/// Returns the mean prefill time per token of servers with samples, in milliseconds.
///
/// `base_ms` is the time to the first event of an empty prompt.
pub(crate) fn mean_ms_per_token(
    samples: impl Iterator<Item = PrefillSample>,
    base_ms: f64,
) -> Option<f64> {
    let sum = samples.fold(PrefillSample::default(), |sum, s| sum.sum(&s));
    let (tokens, prefill_ms) = (f64::from(sum.tokens), prefill_ms(&sum, base_ms));
    let is_enough = f64::from(sum.calls) >= MEAN_CALLS_MIN && tokens >= PRIOR_TOKENS;
    let (least, most) = MS_PER_TOKEN_RANGE;
    is_enough.then(|| (prefill_ms / tokens).clamp(least, most))
}

/// Returns a server's prefill time as a multiple of the mean.
pub(crate) fn slowness(samples: &PrefillSample, base_ms: f64, mean_ms_per_token: f64) -> f64 {
    let mean_ms = PRIOR_TOKENS * mean_ms_per_token;
    let ms = mean_ms + prefill_ms(samples, base_ms);
    let ms_per_token = ms / (PRIOR_TOKENS + f64::from(samples.tokens));
    let (least, most) = SLOWNESS_RANGE;
    (ms_per_token / mean_ms_per_token).clamp(least, most)
}

fn prefill_ms(samples: &PrefillSample, base_ms: f64) -> f64 {
    (f64::from(samples.time_ms) - base_ms * f64::from(samples.calls)).max(0.0)
}
