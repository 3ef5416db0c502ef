//! The cost of a call at each server of its service.

use std::cmp::Reverse;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::flow::backlog::Load;
use crate::flow::call::{Call, Prompt, Refusal};
use crate::flow::instance::Instance;
use crate::flow::options::Options;
use crate::flow::prompt_time::PromptTime;
use crate::flow::route::EngineSpec;
use crate::flow::server::ServerEntry;
use crate::ids::{ServerName, ZoneName};
use crate::rendezvous;

/// Longest wait that is told of, in milliseconds.
const WAIT_MS_MAX: f64 = 60_000.0;

/// Key of the order in which servers take short prompts, alike on all nodes.
const SHORT_PROMPT_KEY: u64 = 0x6c69_6768_7400;

/// Expected time of a plain call, in milliseconds, for its cost only.
const PLAIN_MS: f64 = 50.0;

/// Part of its shared tokens that the second server in the order of a prompt is taken
/// not to hold: it has them if the first one was late before.
const SECOND_UNHELD_RATIO: f64 = 0.5;

/// Bounds of the time after which a refused caller may come back.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));

/// The servers of a service and what is known of them.
pub(crate) struct Pool<'a> {
    pub(crate) candidates: Vec<Candidate<'a>>,
    pub(crate) zone: &'a ZoneName,
    pub(crate) engine: Option<EngineSpec>,
    pub(crate) time: PromptTime,
    /// Geometric mean of the tokens of prompts; those with more are long.
    pub(crate) mean_prompt_tokens: f64,
    /// Prompts about the call's subject that come to all nodes, a second.
    pub(crate) prefix_calls_per_s: f64,
    pub(crate) options: &'a Options,
}

/// A server of the service and the load that all nodes put on it.
pub(crate) struct Candidate<'a> {
    pub(crate) entry: &'a ServerEntry,
    pub(crate) load: Load,
}

/// The chosen server and what the call means to it.
pub(crate) struct Choice {
    pub(crate) instance: Arc<Instance>,
    /// Prompt tokens to read.
    pub(crate) tokens: f64,
    /// Prompt tokens to be read before them.
    pub(crate) queued_tokens: f64,
    pub(crate) memory_tokens: f64,
    pub(crate) expected_ms: f64,
    /// Whether the prompt is short.
    pub(crate) is_short: bool,
}

/// A server and its cost, in milliseconds of delay.
struct Costed<'a> {
    entry: &'a ServerEntry,
    cost_ms: f64,
    /// Time that the call waits at the server before its own work begins.
    wait_ms: f64,
    has_room: bool,
    tokens: f64,
    queued_tokens: f64,
    expected_ms: f64,
}

impl Pool<'_> {
    /// The server of least cost that answers in time.
    pub(crate) fn choose(
        &self,
        now: Instant,
        call: &Call,
        avoid: &[ServerName],
    ) -> Result<Choice, Refusal> {
        if self.candidates.is_empty() {
            return Err(Refusal::NoServer);
        }
        let costed = match &call.prompt {
            Some(prompt) if self.is_short(prompt) => self.short_costs(now, prompt),
            Some(prompt) => self.long_costs(now, prompt, avoid),
            None => self.plain_costs(),
        };
        let untried = |c: &&Costed<'_>| !avoid.contains(&c.entry.instance.id);
        let sound = |c: &&Costed<'_>| c.entry.is_healthy(now);
        // Servers that failed of late or were tried are better than none.
        let ways: [Vec<&Costed<'_>>; 3] = [
            costed.iter().filter(sound).filter(untried).collect(),
            costed.iter().filter(untried).collect(),
            costed.iter().collect(),
        ];
        let Some(usable) = ways.into_iter().find(|way| !way.is_empty()) else {
            return Err(Refusal::NoServer);
        };
        let is_in_time = |c: &Costed<'_>| c.has_room && c.wait_ms <= self.wait_limit_ms(call, c);
        let open = usable.iter().filter(|c| call.is_resumed || is_in_time(c));
        let Some(chosen) = open.min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms)) else {
            return Err(self.busy(call, &usable));
        };
        Ok(Choice {
            instance: Arc::clone(&chosen.entry.instance),
            tokens: chosen.tokens,
            queued_tokens: chosen.queued_tokens,
            memory_tokens: call.prompt.as_ref().map_or(0.0, memory_tokens),
            expected_ms: chosen.expected_ms,
            is_short: call.prompt.as_ref().is_some_and(|p| self.is_short(p)),
        })
    }

    fn short_costs(&self, now: Instant, prompt: &Prompt) -> Vec<Costed<'_>> {
        let short_max = self.short_max();
        let spread = self.short_servers(short_max);
        let order = self.ranks(Some(SHORT_PROMPT_KEY), |_| true);
        let is_spread = |index: usize| order.get(index).is_some_and(|place| *place < spread);
        let ranks = self.ranks(prompt.prefix_key(), is_spread);
        let costs = self.candidates.iter().zip(&order).zip(ranks);
        costs
            .map(|((candidate, place), rank)| {
                let mut costed = self.model_cost(now, prompt, candidate, rank);
                let beyond = (place + 1).saturating_sub(spread);
                costed.cost_ms += beyond as f64 * self.options.order_cost_ms;
                costed.cost_ms += self.short_cost_ms(&candidate.load, short_max);
                costed
            })
            .collect()
    }

    fn long_costs(&self, now: Instant, prompt: &Prompt, avoid: &[ServerName]) -> Vec<Costed<'_>> {
        let takes = |candidate: &Candidate<'_>| {
            let entry = candidate.entry;
            let is_usable = entry.is_healthy(now) && !avoid.contains(&entry.instance.id);
            is_usable && self.takes_long(&candidate.load)
        };
        let takes: Vec<bool> = self.candidates.iter().map(takes).collect();
        let does_take = |index: usize| takes.get(index).copied().unwrap_or_default();
        let ranks = self.ranks(prompt.prefix_key(), does_take);
        let servers_max = self.servers_max(prompt);
        let costs = self.candidates.iter().zip(ranks);
        costs
            .map(|(candidate, rank)| {
                let mut costed = self.model_cost(now, prompt, candidate, rank);
                costed.cost_ms += candidate.load.running * self.options.crowd_cost_ms;
                costed.has_room &= rank < servers_max && self.takes_long(&candidate.load);
                costed
            })
            .collect()
    }

    /// Servers that a long prompt may go to; a hot subject gets more.
    fn servers_max(&self, prompt: &Prompt) -> usize {
        let own = f64::from(prompt.unshared_tokens());
        let busy_ratio = self.prefix_calls_per_s * own * self.time.ms_per_token() / 1_000.0;
        let needed = (busy_ratio / self.options.prefix_busy_ratio).ceil() as usize;
        needed.max(self.options.spill_servers)
    }

    /// First servers of the common order that the short prompts in flight need.
    ///
    /// The sum over all servers is steadier than the load of each, which is old by
    /// the time that a node hears of it.
    fn short_servers(&self, short_max: f64) -> usize {
        let short_prompts: f64 = self.candidates.iter().map(|c| c.load.short_prompts).sum();
        ((short_prompts / short_max).ceil() as usize).clamp(1, self.candidates.len())
    }

    fn is_short(&self, prompt: &Prompt) -> bool {
        f64::from(prompt.tokens) < self.mean_prompt_tokens
    }

    /// Whether a server with that load is given long prompts.
    fn takes_long(&self, load: &Load) -> bool {
        load.short_prompts <= self.slots() * self.options.stray_ratio
    }

    /// Calls with short prompts that a server takes before they go to the next one.
    ///
    /// The less long prompts there are to read, the more servers the short ones get.
    fn short_max(&self) -> f64 {
        let rates = self.candidates.iter().map(|c| c.load.tokens_per_s);
        let token_s = self.time.ms_per_token() / 1_000.0;
        let busy_ratio = rates.sum::<f64>() * token_s / self.candidates.len().max(1) as f64;
        let ratio = self.options.short_ratio_min + busy_ratio * self.options.short_ratio_slope;
        (self.slots() * ratio.min(self.options.short_ratio_max)).max(1.0)
    }

    fn slots(&self) -> f64 {
        self.engine.map_or(1.0, |engine| f64::from(engine.slots))
    }

    /// What keeps short prompts off servers that read long ones or are full.
    fn short_cost_ms(&self, load: &Load, short_max: f64) -> f64 {
        let busy_ratio = load.tokens_per_s * self.time.ms_per_token() / 1_000.0;
        let full_ratio = load.short_prompts / short_max;
        busy_ratio.min(1.0) * self.options.prefill_cost_ms
            + (full_ratio - 1.0).max(0.0) * self.options.full_cost_ms
    }

    /// Place of each server in the rendezvous order of a shared part.
    ///
    /// Servers that do not take the call come last. Without a shared part all come
    /// first: the prompt is read in full wherever it goes.
    fn ranks(&self, affinity: Option<u64>, takes: impl Fn(usize) -> bool) -> Vec<usize> {
        let mut ranks = vec![0; self.candidates.len()];
        let Some(key) = affinity else {
            return ranks;
        };
        let weighted = |(index, c): (usize, &Candidate<'_>)| {
            let weight = rendezvous::weight_of(key, c.entry.name_key);
            ((takes(index), weight), index)
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
    ) -> Costed<'a> {
        let Candidate { entry, load } = candidate;
        let tokens = unread_tokens(now, prompt, entry, rank);
        let token_ms = self.time.ms_per_token() * entry.slowness;
        let wait_ms = token_ms * load.pending_tokens;
        let read_ms = token_ms * tokens;
        let own = f64::from(prompt.unshared_tokens());
        let again_ms = token_ms * (tokens - own).max(0.0) * self.options.prefill_again_ratio;
        let expected_ms = self.time.base_ms() * entry.slowness + wait_ms + read_ms;
        let cost_ms = expected_ms + again_ms + self.zone_cost_ms(entry);
        Costed {
            entry,
            cost_ms,
            wait_ms,
            has_room: self.has_room(candidate),
            tokens,
            queued_tokens: load.pending_tokens,
            expected_ms,
        }
    }

    fn has_room(&self, candidate: &Candidate<'_>) -> bool {
        let Candidate { entry, load } = candidate;
        let Some(engine) = self.engine else {
            let slots = f64::from(entry.instance.slots.max(1));
            return load.running < slots * (1.0 + self.options.queue_ratio);
        };
        let memory = engine.memory_tokens as f64 * self.options.memory_ratio;
        load.running < f64::from(engine.slots) && entry.memory_tokens < memory
    }

    fn plain_costs(&self) -> Vec<Costed<'_>> {
        self.candidates
            .iter()
            .map(|candidate| {
                let entry = candidate.entry;
                let slots = f64::from(entry.instance.slots.max(1));
                let busy_ms = PLAIN_MS * candidate.load.running / slots;
                Costed {
                    entry,
                    cost_ms: busy_ms * entry.slowness + self.zone_cost_ms(entry),
                    wait_ms: 0.0,
                    has_room: self.has_room(candidate),
                    tokens: 0.0,
                    queued_tokens: 0.0,
                    expected_ms: PLAIN_MS + busy_ms,
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

    /// Longest wait at a server, so that the call is in time.
    fn wait_limit_ms(&self, call: &Call, costed: &Costed<'_>) -> f64 {
        let target_ms = call.objective.as_secs_f64() * 1_000.0;
        if call.is_most_urgent {
            return target_ms * self.options.urgent_ratio;
        }
        let own_ms = costed.expected_ms - costed.wait_ms;
        (target_ms * self.options.target_ratio - own_ms)
            .max(target_ms * self.options.wait_ratio_min)
    }

    /// The refusal, with the time until the least loaded server has room again.
    fn busy(&self, call: &Call, usable: &[&Costed<'_>]) -> Refusal {
        let over = |c: &&Costed<'_>| (c.wait_ms - self.wait_limit_ms(call, c)).max(0.0);
        let least_ms = usable.iter().map(over).fold(f64::INFINITY, f64::min);
        let wait = if least_ms.is_finite() { least_ms } else { 0.0 };
        let longest = (call.time_left / 3).min(RETRY_AFTER.1).max(RETRY_AFTER.0);
        let waits = usable.iter().map(|c| c.wait_ms);
        let wait_ms = waits.fold(f64::INFINITY, f64::min).min(WAIT_MS_MAX);
        Refusal::Busy {
            retry_after: Duration::from_secs_f64(wait / 1_000.0).clamp(RETRY_AFTER.0, longest),
            servers: usable.len(),
            wait: Duration::from_secs_f64(wait_ms / 1_000.0),
        }
    }
}

/// Tokens of a prompt that a server is expected to read.
fn unread_tokens(now: Instant, prompt: &Prompt, entry: &ServerEntry, rank: usize) -> f64 {
    let shared = prompt.parts.len().saturating_sub(1);
    let unheld_ratio = match rank {
        0 => 0.0,
        1 => SECOND_UNHELD_RATIO,
        _ => 1.0,
    };
    let mut unread = f64::from(prompt.tokens);
    let mut is_chain = true;
    for (index, (part, tokens)) in prompt.parts.iter().enumerate() {
        is_chain &= entry.prefix_cache.holds(now, *part);
        if is_chain {
            unread -= f64::from(*tokens);
        } else if index < shared {
            unread -= f64::from(*tokens) * (1.0 - unheld_ratio);
        }
    }
    unread.max(0.0)
}

/// Memory that a call takes at its longest.
fn memory_tokens(prompt: &Prompt) -> f64 {
    f64::from(prompt.unshared_tokens()) + f64::from(prompt.output_tokens_max)
}
