//! Chooses the server of least cost for a call.

use std::cmp::Reverse;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::flow::call::{Call, Prompt, Refusal, TierRank};
use crate::flow::estimates;
use crate::flow::instance::Instance;
use crate::flow::load::Load;
use crate::flow::message::{PrefillSample, ServerEstimate};
use crate::flow::options::Options;
use crate::flow::prefill_directory::SLOWNESS_TTL;
use crate::flow::prompt_sizes::PromptSizes;
use crate::flow::prompt_time::PromptTime;
use crate::flow::route::EngineSpec;
use crate::flow::server::{NAMED_PARTS_MAX, ServerEntry};
use crate::flow::version::VersionKey;
use crate::ids::{ServerName, ZoneName};
use crate::rendezvous;

/// Longest wait that a refusal reports, in milliseconds.
const REPORTED_WAIT_MS_MAX: f64 = 60_000.0;

/// Rendezvous key of the common order in which servers get short prompts.
///
/// It is the same on all nodes.
const SHORT_PROMPT_KEY: u64 = 0x6c69_6768_7400;

/// Assumed service time of a plain call, in milliseconds, for costs only.
const PLAIN_CALL_MS: f64 = 50.0;

/// Fraction of shared tokens assumed missing at the second server of a prompt's order.
///
/// That server holds them only if the first one was too busy before.
const SECOND_UNCACHED_RATIO: f64 = 0.5;

/// Servers whose exact load is asked for before a choice.
const PREFERRED_MAX: usize = 4;

/// Bounds of the time after which a refused caller may retry.
pub(crate) const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_secs(2));

/// Usable servers of a service, with the inputs of the choice.
#[derive(Clone)]
pub(crate) struct Pool<'a> {
    pub(crate) candidates: Vec<Candidate<'a>>,
    pub(crate) zone: &'a ZoneName,
    pub(crate) engine: Option<EngineSpec>,
    pub(crate) prompt_time: PromptTime,
    /// Mean prefill time per token that the homes of servers know, in milliseconds.
    pub(crate) shared_ms_per_token: Option<f64>,
    pub(crate) prompt_sizes: PromptSizes,
    /// Calls per second, over all nodes, whose prompts share the call's prefix.
    pub(crate) prefix_calls_per_s: f64,
    pub(crate) options: &'a Options,
}

/// A server and the load that all nodes put on it.
#[derive(Clone)]
pub(crate) struct Candidate<'a> {
    pub(crate) entry: &'a ServerEntry,
    pub(crate) load: Load,
    /// Whether the load was told by the server's home just now.
    pub(crate) is_exact: bool,
    /// What the server's home told of it just now.
    pub(crate) estimate: Option<ServerEstimate>,
    /// Recent times to first events that the server's home told.
    pub(crate) samples: Option<PrefillSample>,
}

impl Candidate<'_> {
    /// Returns how many of the call's first shared parts the server holds, if it is known.
    fn held_parts(&self) -> Option<usize> {
        self.estimate?.held_parts.map(usize::from)
    }

    /// Returns how long work takes at this moment as a multiple of the usual time.
    ///
    /// The older the figure, the more likely the moment is over.
    fn momentary_slowness(&self) -> f64 {
        let Some((percent, age_ms)) = self.estimate.and_then(|i| i.momentary_slowness) else {
            return 1.0;
        };
        let left_ratio = (1.0 - f64::from(age_ms) / SLOWNESS_TTL.as_millis() as f64).max(0.0);
        1.0 + (f64::from(percent) / 100.0 - 1.0) * left_ratio
    }
}

impl<'a> Candidate<'a> {
    pub(crate) fn new(entry: &'a ServerEntry, now: Instant, prefix: Option<u64>) -> Self {
        Self {
            entry,
            load: entry.load(now),
            is_exact: entry.exact_load(now).is_some(),
            estimate: entry.estimate(now, prefix),
            samples: entry.samples(now),
        }
    }
}

/// The chosen server and the load that the call adds to it.
pub(crate) struct Choice {
    pub(crate) instance: Arc<Instance>,
    /// Prompt tokens to prefill.
    pub(crate) tokens: f64,
    /// Prompt tokens waiting at the server before them.
    pub(crate) queued_tokens: f64,
    pub(crate) memory_tokens: f64,
    pub(crate) expected_ms: f64,
    /// Whether the prompt is short.
    pub(crate) is_short: bool,
    /// Response time as a multiple of the mean that was expected, if homes told it.
    pub(crate) slowness: Option<f64>,
}

/// Cost of a call at a server, in milliseconds of delay.
struct ServerCost<'a> {
    entry: &'a ServerEntry,
    cost_ms: f64,
    /// Time that the call waits at the server before its own prefill begins.
    wait_ms: f64,
    has_capacity: bool,
    tokens: f64,
    queued_tokens: f64,
    expected_ms: f64,
    /// Response time as a multiple of the mean, if homes told it.
    slowness: Option<f64>,
}

impl Pool<'_> {
    /// Returns a server for the call, of the version of a new stream's key if one answers in time.
    ///
    /// A call that was tried already may go to any version, as others of its own may fail alike.
    ///
    /// # Errors
    ///
    /// No server would answer in time, or none of the version if the stream is bound to it.
    pub(crate) fn choose_by_key(
        &self,
        now: Instant,
        call: &Call,
        avoid: &[ServerName],
    ) -> Result<Choice, Refusal> {
        let Some(key) = call.key_version else {
            return self.choose(now, call, avoid);
        };
        let of_version = self.of_version(key.version);
        if key.is_strict && of_version.candidates.is_empty() {
            return Err(Refusal::NoServerOfVersion);
        }
        if key.is_strict {
            return of_version.choose(now, call, avoid);
        }
        if !avoid.is_empty() {
            return self.choose(now, call, avoid);
        }
        let healthy = of_version.retain(|c| c.entry.is_healthy(now));
        healthy
            .choose(now, call, avoid)
            .or_else(|_refusal| self.choose(now, call, avoid))
    }

    /// Returns the servers of a version.
    pub(crate) fn of_version(&self, version: VersionKey) -> Self {
        self.clone().retain(|c| c.entry.version_key == version)
    }

    fn retain(mut self, is_kept: impl Fn(&Candidate<'_>) -> bool) -> Self {
        self.candidates.retain(is_kept);
        self
    }

    /// Returns the server of least cost that answers in time.
    pub(crate) fn choose(
        &self,
        now: Instant,
        call: &Call,
        avoid: &[ServerName],
    ) -> Result<Choice, Refusal> {
        if self.candidates.is_empty() {
            return Err(Refusal::NoServer);
        }
        let costs = match &call.prompt {
            Some(prompt) if self.is_short(prompt) => self.short_costs(now, prompt),
            Some(prompt) => self.long_costs(now, call, prompt, avoid),
            None => self.plain_costs(),
        };
        let untried = |c: &&ServerCost<'_>| !avoid.contains(&c.entry.instance.id);
        let healthy = |c: &&ServerCost<'_>| c.entry.is_healthy(now);
        // Servers that failed recently, or that were tried already, are better than none.
        let fallbacks: [Vec<&ServerCost<'_>>; 3] = [
            costs.iter().filter(healthy).filter(untried).collect(),
            costs.iter().filter(untried).collect(),
            costs.iter().collect(),
        ];
        let Some(usable) = fallbacks.into_iter().find(|servers| !servers.is_empty()) else {
            return Err(Refusal::NoServer);
        };
        let is_in_time =
            |c: &ServerCost<'_>| c.has_capacity && c.wait_ms <= self.wait_limit_ms(call, c);
        let in_time = usable
            .iter()
            .filter(|c| call.version.is_some() || is_in_time(c));
        let Some(chosen) = in_time.min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms)) else {
            return Err(self.busy_refusal(call, &usable));
        };
        Ok(Choice {
            instance: Arc::clone(&chosen.entry.instance),
            tokens: chosen.tokens,
            queued_tokens: chosen.queued_tokens,
            memory_tokens: call.prompt.as_ref().map_or(0.0, memory_tokens),
            expected_ms: chosen.expected_ms,
            slowness: chosen.slowness,
            is_short: call.prompt.as_ref().is_some_and(|p| self.is_short(p)),
        })
    }

    /// Returns the few servers that a call is likely to go to, by the hash of their names.
    ///
    /// These are the first ones in the order of the prefix, however busy they seem.
    pub(crate) fn preferred_servers(
        &self,
        now: Instant,
        call: &Call,
        avoid: &[ServerName],
    ) -> Vec<u32> {
        let is_usable =
            |c: &Candidate<'_>| c.entry.is_healthy(now) && !avoid.contains(&c.entry.instance.id);
        let is_short = call.prompt.as_ref().is_some_and(|p| self.is_short(p));
        let common_order = self.ranks(is_short.then_some(SHORT_PROMPT_KEY), |_| true);
        let servers = self.short_prompt_servers(self.short_max());
        let accepts = |index: usize| {
            let Some(candidate) = self.candidates.get(index) else {
                return false;
            };
            let is_fit = match &call.prompt {
                Some(_) if is_short => common_order.get(index).is_some_and(|r| *r < servers),
                Some(_) => self.accepts_long_prompts(&candidate.load),
                None => true,
            };
            is_fit && is_usable(candidate)
        };
        let prefix_key = call.prompt.as_ref().and_then(Prompt::prefix_key);
        let ranks = self.ranks(prefix_key, accepts);
        let mut keys: Vec<(usize, u32)> = ranks
            .into_iter()
            .zip(&self.candidates)
            .map(|(rank, c)| (rank, c.entry.key))
            .collect();
        keys.sort_unstable();
        keys.truncate(PREFERRED_MAX);
        keys.into_iter().map(|(_, key)| key).collect()
    }

    fn short_costs(&self, now: Instant, prompt: &Prompt) -> Vec<ServerCost<'_>> {
        let short_max = self.short_max();
        let servers = self.short_prompt_servers(short_max);
        let is_exact_known = self.candidates.iter().any(|c| c.is_exact);
        let order = self.ranks(Some(SHORT_PROMPT_KEY), |_| true);
        let is_needed = |index: usize| order.get(index).is_some_and(|rank| *rank < servers);
        let ranks = self.ranks(prompt.prefix_key(), is_needed);
        let costs = self.candidates.iter().zip(&order).zip(ranks);
        costs
            .map(|((candidate, common_rank), rank)| {
                let mut cost = self.model_cost(now, prompt, candidate, rank);
                let excess = (common_rank + 1).saturating_sub(servers);
                cost.cost_ms += excess as f64 * self.options.order_cost_ms;
                cost.cost_ms += self.short_prompt_cost_ms(&candidate.load, short_max);
                if is_exact_known && !candidate.is_exact {
                    cost.cost_ms += self.options.inexact_cost_ms;
                }
                cost
            })
            .collect()
    }

    fn long_costs(
        &self,
        now: Instant,
        call: &Call,
        prompt: &Prompt,
        avoid: &[ServerName],
    ) -> Vec<ServerCost<'_>> {
        let accepts = |candidate: &Candidate<'_>| {
            let entry = candidate.entry;
            let is_usable = entry.is_healthy(now) && !avoid.contains(&entry.instance.id);
            is_usable && self.accepts_long_prompts(&candidate.load)
        };
        let accepts: Vec<bool> = self.candidates.iter().map(accepts).collect();
        let is_accepting = |index: usize| accepts.get(index).copied().unwrap_or_default();
        let ranks = self.ranks(prompt.prefix_key(), is_accepting);
        let servers_max = match call.tier_rank {
            TierRank::Last => self.long_prompt_servers(prompt),
            // Less urgent calls would start elsewhere while these are refused.
            TierRank::First | TierRank::Middle => usize::MAX,
        };
        let is_held = self.is_held(prompt);
        let costs = self.candidates.iter().zip(ranks);
        costs
            .map(|(candidate, rank)| {
                let mut cost = self.model_cost(now, prompt, candidate, rank);
                cost.cost_ms += candidate.load.running * self.options.in_flight_cost_ms;
                // A prefix that no server holds may go to any that is known not to hold it.
                let is_asked = |held: usize| !is_held || held >= named_parts(prompt);
                let is_near = rank < servers_max || candidate.held_parts().is_some_and(is_asked);
                cost.has_capacity &= is_near && self.accepts_long_prompts(&candidate.load);
                cost
            })
            .collect()
    }

    /// Returns the fraction of their time that servers prefill long prompts.
    fn busy_ratio(&self) -> f64 {
        let rates = self.candidates.iter().map(|c| c.load.tokens_per_s);
        let token_s = self.ms_per_token() / 1_000.0;
        rates.sum::<f64>() * token_s / self.candidates.len().max(1) as f64
    }

    /// Returns how many servers a long prompt may go to; a frequent prefix gets more.
    fn long_prompt_servers(&self, prompt: &Prompt) -> usize {
        let unshared = f64::from(prompt.unshared_tokens());
        let busy_ratio = self.prefix_calls_per_s * unshared * self.ms_per_token() / 1_000.0;
        let needed = (busy_ratio / self.options.prefix_busy_ratio).ceil() as usize;
        needed.max(self.options.spill_servers)
    }

    /// Returns how many servers of the common order the short prompts in flight need.
    ///
    /// Uses the sum over all servers, which is steadier than the load of each: a load
    /// is out of date by the time that a heartbeat delivers it.
    fn short_prompt_servers(&self, short_max: f64) -> usize {
        let short_prompts: f64 = self.candidates.iter().map(|c| c.load.short_prompts).sum();
        ((short_prompts / short_max).ceil() as usize).clamp(1, self.candidates.len().max(1))
    }

    /// Returns the prefill time per token at a server of mean speed, in milliseconds.
    fn ms_per_token(&self) -> f64 {
        self.shared_ms_per_token
            .unwrap_or_else(|| self.prompt_time.ms_per_token())
    }

    /// Returns the time to the first event of an empty prompt, in milliseconds.
    fn base_ms(&self) -> f64 {
        self.prompt_time.base_ms_at(self.ms_per_token())
    }

    /// Returns how long work takes at a server as a multiple of the mean, if homes told it.
    fn told_slowness(&self, candidate: &Candidate<'_>) -> Option<f64> {
        let (samples, mean) = (candidate.samples?, self.shared_ms_per_token?);
        Some(estimates::slowness(&samples, self.base_ms(), mean))
    }

    /// Returns how long work takes at a server now as a multiple of the mean.
    fn slowness(&self, candidate: &Candidate<'_>) -> f64 {
        let usual = self.told_slowness(candidate);
        usual.unwrap_or(candidate.entry.slowness) * candidate.momentary_slowness()
    }

    fn is_short(&self, prompt: &Prompt) -> bool {
        self.prompt_sizes.is_short(prompt.tokens)
    }

    /// Returns whether a server with that load is given long prompts.
    fn accepts_long_prompts(&self, load: &Load) -> bool {
        load.short_prompts <= self.slots() * self.options.mixed_short_ratio_max
    }

    /// Returns how many short prompts fill a server before the next one is used.
    ///
    /// The fewer long prompts there are to prefill, the more servers short ones get.
    fn short_max(&self) -> f64 {
        let ratio =
            self.options.short_ratio_min + self.busy_ratio() * self.options.short_ratio_slope;
        let most = self.slots() * self.options.short_ratio_max;
        let usual = self.slots() * ratio;
        // Without the homes' knowledge of loads, more would meet at one server.
        if self.shared_ms_per_token.is_none() {
            return usual.min(most).max(1.0);
        }
        let usual = usual.max(self.options.short_prompts_min).min(most);
        usual + (self.dense_short_max() - usual).max(0.0) * self.short_pressure(usual)
    }

    /// Returns how many short prompts a server gets when they press on long ones.
    fn dense_short_max(&self) -> f64 {
        self.slots() * self.options.short_ratio_dense
    }

    /// Returns how much short prompts press on long ones, from 0 to 1.
    ///
    /// In a burst of short prompts, servers that are partly filled with them are missing
    /// for long ones.
    fn short_pressure(&self, short_max: f64) -> f64 {
        let short_prompts: f64 = self.candidates.iter().map(|c| c.load.short_prompts).sum();
        let servers_ratio = short_prompts / short_max / self.candidates.len().max(1) as f64;
        let (from, to) = self.options.short_server_ratios;
        ((servers_ratio - from) / (to - from)).clamp(0.0, 1.0)
    }

    fn slots(&self) -> f64 {
        self.engine.map_or(1.0, |engine| f64::from(engine.slots))
    }

    /// Returns the cost that keeps short prompts off servers that prefill or are full.
    fn short_prompt_cost_ms(&self, load: &Load, short_max: f64) -> f64 {
        let busy_ratio = load.tokens_per_s * self.ms_per_token() / 1_000.0;
        let full_ratio = load.short_prompts / short_max;
        busy_ratio.min(1.0) * self.options.prefill_cost_ms
            + (full_ratio - 1.0).max(0.0) * self.options.full_cost_ms
    }

    /// Returns the rank of each server in the rendezvous order of a prefix.
    ///
    /// Servers that do not accept the call rank last. Without a prefix all rank first,
    /// since the prompt is prefilled in full at any server.
    fn ranks(&self, prefix_key: Option<u64>, accepts: impl Fn(usize) -> bool) -> Vec<usize> {
        let mut ranks = vec![0; self.candidates.len()];
        let Some(key) = prefix_key else {
            return ranks;
        };
        let weighted = |(index, c): (usize, &Candidate<'_>)| {
            let weight = rendezvous::weight_of(key, c.entry.name_key);
            ((accepts(index), weight), index)
        };
        let mut order: Vec<((bool, u64), usize)> =
            self.candidates.iter().enumerate().map(weighted).collect();
        order.sort_by_key(|(weight, _)| Reverse(*weight));
        for (rank, (_, index)) in order.into_iter().enumerate() {
            if let Some(slot) = ranks.get_mut(index) {
                *slot = rank;
            }
        }
        ranks
    }

    fn model_cost<'a>(
        &self,
        now: Instant,
        prompt: &Prompt,
        candidate: &Candidate<'a>,
        rank: usize,
    ) -> ServerCost<'a> {
        let Candidate { entry, load, .. } = candidate;
        let tokens = uncached_tokens(now, prompt, candidate, rank);
        let slowness = self.slowness(candidate);
        let token_ms = self.ms_per_token() * slowness;
        let wait_ms = token_ms * load.pending_tokens;
        let prefill_ms = token_ms * tokens;
        let repeated_tokens = self.repeated_tokens(prompt, candidate, tokens);
        let repeated_prefill_ms = token_ms * repeated_tokens * self.options.prefill_again_ratio;
        let expected_ms = self.base_ms() * slowness + wait_ms + prefill_ms;
        let cost_ms = expected_ms + repeated_prefill_ms + self.zone_cost_ms(entry);
        ServerCost {
            entry,
            cost_ms,
            wait_ms,
            has_capacity: self.has_capacity(candidate),
            tokens,
            queued_tokens: load.pending_tokens,
            expected_ms,
            slowness: self.told_slowness(candidate),
        }
    }

    /// Returns how many of the tokens to prefill another server is known or likely to hold.
    fn repeated_tokens(&self, prompt: &Prompt, candidate: &Candidate<'_>, tokens: f64) -> f64 {
        let Some(held) = candidate.held_parts() else {
            return (tokens - f64::from(prompt.unshared_tokens())).max(0.0);
        };
        if !self.is_held(prompt) {
            // A part that many prefixes begin with is worth less than an idle server.
            return 0.0;
        }
        let parts = prompt.parts.iter().take(named_parts(prompt)).skip(held);
        parts.map(|(_, tokens)| f64::from(*tokens)).sum()
    }

    /// Returns whether a server is known to hold the whole prefix of a prompt.
    fn is_held(&self, prompt: &Prompt) -> bool {
        let mut known = self.candidates.iter().filter_map(Candidate::held_parts);
        known.any(|held| held >= named_parts(prompt))
    }

    fn has_capacity(&self, candidate: &Candidate<'_>) -> bool {
        let Candidate { entry, load, .. } = candidate;
        let Some(engine) = self.engine else {
            let slots = f64::from(entry.instance.slots.max(1));
            return load.running < slots * (1.0 + self.options.queue_ratio);
        };
        let memory = engine.memory_tokens as f64 * self.options.memory_ratio;
        load.running < f64::from(engine.slots) && entry.memory_tokens < memory
    }

    fn plain_costs(&self) -> Vec<ServerCost<'_>> {
        self.candidates
            .iter()
            .map(|candidate| {
                let entry = candidate.entry;
                let slots = f64::from(entry.instance.slots.max(1));
                let busy_ms = PLAIN_CALL_MS * candidate.load.running / slots;
                ServerCost {
                    entry,
                    cost_ms: busy_ms * entry.slowness + self.zone_cost_ms(entry),
                    wait_ms: 0.0,
                    has_capacity: self.has_capacity(candidate),
                    tokens: 0.0,
                    queued_tokens: 0.0,
                    expected_ms: PLAIN_CALL_MS + busy_ms,
                    slowness: None,
                }
            })
            .collect()
    }

    fn zone_cost_ms(&self, entry: &ServerEntry) -> f64 {
        if entry.instance.zone == *self.zone {
            0.0
        } else {
            self.options.zone_cost_ms
        }
    }

    /// Returns the longest wait at a server with which the call is in time.
    fn wait_limit_ms(&self, call: &Call, cost: &ServerCost<'_>) -> f64 {
        let objective_ms = call.objective.as_secs_f64() * 1_000.0;
        if call.tier_rank != TierRank::Last {
            return objective_ms * self.options.urgent_wait_ratio;
        }
        let own_ms = cost.expected_ms - cost.wait_ms;
        (objective_ms * self.options.objective_ratio - own_ms)
            .max(objective_ms * self.options.wait_ratio_min)
    }

    /// Returns a refusal with the time until the least loaded server has capacity.
    fn busy_refusal(&self, call: &Call, usable: &[&ServerCost<'_>]) -> Refusal {
        let excess_ms = |c: &&ServerCost<'_>| (c.wait_ms - self.wait_limit_ms(call, c)).max(0.0);
        let least_ms = usable.iter().map(excess_ms).fold(f64::INFINITY, f64::min);
        let retry_ms = if least_ms.is_finite() { least_ms } else { 0.0 };
        let retry_after_max = (call.time_left / 3)
            .min(RETRY_AFTER_RANGE.1)
            .max(RETRY_AFTER_RANGE.0);
        let waits = usable.iter().map(|c| c.wait_ms);
        let wait_ms = waits
            .fold(f64::INFINITY, f64::min)
            .min(REPORTED_WAIT_MS_MAX);
        Refusal::Busy {
            retry_after: Duration::from_secs_f64(retry_ms / 1_000.0)
                .clamp(RETRY_AFTER_RANGE.0, retry_after_max),
            servers: usable.len(),
            wait: Duration::from_secs_f64(wait_ms / 1_000.0),
        }
    }
}

/// Returns how many shared parts of a prompt the homes of servers are asked about.
fn named_parts(prompt: &Prompt) -> usize {
    let shared = prompt.parts.len().saturating_sub(1);
    shared.min(NAMED_PARTS_MAX)
}

/// Returns how many tokens of a prompt a server is expected to prefill.
fn uncached_tokens(now: Instant, prompt: &Prompt, candidate: &Candidate<'_>, rank: usize) -> f64 {
    let entry = candidate.entry;
    let shared = prompt.parts.len().saturating_sub(1);
    if let Some(held) = candidate.held_parts() {
        let is_own_held = held >= shared
            && (prompt.parts.last()).is_some_and(|(own, _)| entry.prefix_cache.contains(now, *own));
        let held = if is_own_held {
            prompt.parts.len()
        } else {
            held
        };
        let held = prompt.parts.iter().take(held);
        let held_tokens: f64 = held.map(|(_, tokens)| f64::from(*tokens)).sum();
        return (f64::from(prompt.tokens) - held_tokens).max(0.0);
    }
    let uncached_ratio = match rank {
        0 => 0.0,
        1 => SECOND_UNCACHED_RATIO,
        _ => 1.0,
    };
    let mut uncached = f64::from(prompt.tokens);
    let mut is_cached = true;
    for (index, (part, tokens)) in prompt.parts.iter().enumerate() {
        is_cached &= entry.prefix_cache.contains(now, *part);
        if is_cached {
            uncached -= f64::from(*tokens);
        } else if index < shared {
            uncached -= f64::from(*tokens) * (1.0 - uncached_ratio);
        }
    }
    uncached.max(0.0)
}

/// Returns the most tokens that a call holds in an engine's memory.
fn memory_tokens(prompt: &Prompt) -> f64 {
    f64::from(prompt.unshared_tokens()) + f64::from(prompt.output_tokens_max)
}
