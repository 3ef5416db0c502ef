//! State that the dispatcher keeps for one server.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::flow::call::{Call, Fault};
use crate::flow::cold_servers::ColdState;
use crate::flow::crash_record::process_of;
use crate::flow::decaying_sum::{DecayingSum, decay_factor};
use crate::flow::instance::Instance;
use crate::flow::load::Load;
use crate::flow::message::{PrefillSample, ServerEstimate, ServerLoad, ServerObservation};
use crate::flow::options::Options;
use crate::flow::prefill_directory::SAMPLE_LIFETIME;
use crate::flow::prefix_cache::PrefixCache;
use crate::flow::server_paths::server_key;
use crate::flow::token_bucket::TokenBucket;
use crate::flow::version::VersionKey;
use crate::outlier::Health;
use crate::rendezvous;

/// Time over which the rate of prompt tokens is averaged.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Weight of one answer in the running fraction of faults.
const FAULT_WEIGHT: f64 = 0.15;

/// Answers needed before the fraction of faults counts.
const FAULT_SAMPLES_MIN: u32 = 5;

/// Weight of one answer in the running mean of the slowness.
const SLOWNESS_WEIGHT: f64 = 0.05;

/// Slowness assumed for a server that has just started, until its answers show otherwise.
const COLD_SLOWNESS: f64 = 1.5;

/// Age at which the load that a server's home told is out of date.
const EXACT_LOAD_TTL: Duration = Duration::from_millis(50);

/// Bounds of one sample of the slowness.
const SLOWNESS_RANGE: (f64, f64) = (0.5, 4.0);

/// Shared parts of a prompt that a server's home is told of and asked about.
pub(crate) const NAMED_PARTS_MAX: usize = 32;

/// Returns the hash by which nodes name a prompt part to each other.
pub(crate) fn part_key(part: u64) -> u32 {
    (part >> 32) as u32 ^ part as u32
}

#[derive(Debug)]
pub(crate) struct ServerEntry {
    pub(crate) instance: Arc<Instance>,
    /// Hash of the name by which peers identify the server, the same on all nodes.
    pub(crate) key: u32,
    pub(crate) name_key: u64,
    pub(crate) version_key: VersionKey,
    pub(crate) own_load: Load,
    pub(crate) peer_load: Load,
    /// Load of other nodes as the server's home told it, and when.
    exact_load: Option<(Load, Instant)>,
    /// What the server's home told of it, when, and for which prefix.
    estimate: Option<(ServerEstimate, Instant, Option<u64>)>,
    /// Times to first events that its home last told, and when.
    samples: Option<(PrefillSample, Instant)>,
    /// What this node has seen of the server and not reported to its home.
    observation: ServerObservation,
    /// Whether the node's load changed since it was last reported.
    pub(crate) is_load_changed: bool,
    pub(crate) prefix_cache: PrefixCache,
    pub(crate) health: Health,
    /// Response time as a multiple of the expected one, as a running mean.
    pub(crate) slowness: f64,
    /// Tokens that calls of this node hold in the engine's memory.
    pub(crate) memory_tokens: f64,
    /// End of the grace time of an entry that lapsed while the store was unreachable.
    pub(crate) grace_until: Option<Instant>,
    /// Tokens of long prompts that this node sent recently for prefill.
    prefill_tokens: Option<DecayingSum>,
    fault_ratio: f64,
    fault_samples: u32,
    paused_until: Option<Instant>,
    /// Whether the server has said that it leaves.
    pub(crate) is_leaving: bool,
    /// When this node learned that the server leaves, `None` if it has always known.
    leaving_since: Option<Instant>,
    /// From when the server gets no calls because its zone is evacuated.
    pub(crate) stops_at: Option<Instant>,
    /// End of the time for which the server has said that it wants no calls.
    refused_until: Option<Instant>,
    /// Set while the server names a limit.
    limit: Option<TokenBucket>,
    /// Slots that this node may use, if the server falls over when it rejects too many calls.
    pub(crate) brittle_slots: Option<u32>,
    pub(crate) cold: ColdState,
}

impl ServerEntry {
    pub(crate) fn new(instance: Instance) -> Self {
        let name_key = rendezvous::key(instance.id.as_str().as_bytes());
        Self {
            key: server_key(&instance.id),
            name_key,
            version_key: instance.version_key(),
            own_load: Load::default(),
            peer_load: Load::default(),
            exact_load: None,
            estimate: None,
            samples: None,
            observation: ServerObservation::default(),
            is_load_changed: false,
            prefix_cache: PrefixCache::default(),
            health: Health::default(),
            slowness: if instance.cold_ms > 0 {
                COLD_SLOWNESS
            } else {
                1.0
            },
            instance: Arc::new(instance),
            memory_tokens: 0.0,
            grace_until: None,
            prefill_tokens: None,
            fault_ratio: 0.0,
            fault_samples: 0,
            paused_until: None,
            is_leaving: false,
            leaving_since: None,
            stops_at: None,
            refused_until: None,
            limit: None,
            brittle_slots: None,
            cold: ColdState::default(),
        }
    }

    /// Returns its part in the share of its version, `None` unless it is published as ready.
    pub(crate) fn share(&self) -> Option<u32> {
        let is_ready = self.grace_until.is_none() && !self.instance.is_draining;
        is_ready.then_some(self.instance.slots)
    }

    /// Returns the hash of the name and of the start of the process, the same on all nodes.
    pub(crate) fn process_key(&self) -> u32 {
        let key = rendezvous::weight_of(self.instance.born_ms, self.name_key);
        process_of((key >> 32) as u32)
    }

    /// Replaces the published entry by a newer one of the same name.
    pub(crate) fn update_instance(&mut self, now: Instant, instance: Instance) {
        self.grace_until = None;
        if instance.is_draining && !self.instance.is_draining {
            self.record_leaving(now);
        }
        if instance.born_ms != self.instance.born_ms {
            // A new process has none of the calls, caches and faults of the one before. Homes
            // still have the load of the latter, so the new one is reported.
            *self = Self {
                is_load_changed: true,
                ..Self::new(instance)
            };
        } else if *self.instance != instance {
            if instance.zone != self.instance.zone {
                self.stops_at = None;
            }
            self.version_key = instance.version_key();
            self.instance = Arc::new(instance);
        }
    }

    /// Returns whether the call is for the server's service and fits its version.
    pub(crate) fn fits(&self, call: &Call) -> bool {
        let is_of_version = call
            .version
            .is_none_or(|version| version == self.version_key);
        self.instance.service == call.service && is_of_version
    }

    /// Returns whether the server may be sent calls at this moment.
    pub(crate) fn accepts_calls(&self, now: Instant) -> bool {
        let is_limited = self.limit.is_some_and(|limit| !limit.has_token(now));
        let is_refusing = self.refused_until.is_some_and(|until| now < until);
        self.may_accept_calls(now) && !is_limited && !is_refusing
    }

    /// Returns whether the server may be sent calls, now or in its next turn.
    pub(crate) fn may_accept_calls(&self, now: Instant) -> bool {
        self.is_in_service(now) && !self.is_evacuated(now)
    }

    /// Returns whether the server may be sent calls unless its zone is evacuated.
    pub(crate) fn is_in_service(&self, now: Instant) -> bool {
        let has_lapsed = self.grace_until.is_some_and(|until| now >= until);
        !self.instance.is_draining && !self.is_leaving && !has_lapsed
    }

    /// Lets the server get no calls from then, or from when it was to stop if that is sooner.
    pub(crate) fn stop_at(&mut self, at: Instant) {
        self.stops_at = Some(self.stops_at.map_or(at, |earlier| earlier.min(at)));
    }

    /// Returns whether the server gets no calls because its zone is evacuated.
    pub(crate) fn is_evacuated(&self, now: Instant) -> bool {
        self.stops_at.is_some_and(|at| now >= at)
    }

    /// Records that the server leaves.
    pub(crate) fn record_leaving(&mut self, now: Instant) {
        self.leaving_since.get_or_insert(now);
    }

    /// Returns whether a server that leaves may still be sent the rest of a stream.
    pub(crate) fn accepts_rest(&self, now: Instant, options: &Options) -> bool {
        let is_recent = |since: Instant| now < since + options.leaving_use;
        let has_lapsed = self.grace_until.is_some_and(|until| now >= until);
        self.leaving_since.is_some_and(is_recent) && !has_lapsed && !self.is_evacuated(now)
    }

    /// Returns whether this node has a slot left at the server, if it is brittle.
    pub(crate) fn has_room_if_brittle(&self) -> bool {
        let has_room = |slots: u32| self.own_load.running < f64::from(slots);
        self.brittle_slots.is_none_or(has_room)
    }

    /// Returns the time until the server's limit and refusals admit a call.
    ///
    /// `None` if other nodes use the whole limit.
    pub(crate) fn admission_wait(&self, now: Instant) -> Option<Duration> {
        let refused_until = self.refused_until.unwrap_or(now);
        let refusal_wait = refused_until.saturating_duration_since(now);
        let limit_wait = match &self.limit {
            Some(limit) => limit.wait(now)?,
            None => Duration::ZERO,
        };
        Some(refusal_wait.max(limit_wait))
    }

    /// Records that the server wants no calls until then.
    pub(crate) fn refuse_until(&mut self, until: Instant) {
        self.refused_until = self.refused_until.max(Some(until));
    }

    /// Sets this node's part of the server's limit, in calls per second; `None` lifts it.
    pub(crate) fn set_limit(&mut self, now: Instant, per_s: Option<f64>) {
        let Some(per_s) = per_s else {
            self.limit = None;
            return;
        };
        let empty = TokenBucket::new(now, per_s);
        self.limit.get_or_insert(empty).set_rate(now, per_s);
    }

    /// Returns whether the server is neither ejected nor paused.
    pub(crate) fn is_healthy(&self, now: Instant) -> bool {
        self.health.is_available(now) && self.paused_until.is_none_or(|until| now >= until)
    }

    /// Returns the load of all nodes.
    pub(crate) fn load(&self, now: Instant) -> Load {
        let mut own_load = self.own_load;
        own_load.tokens_per_s = self.prefill_rate(now);
        own_load.sum(&self.exact_load(now).unwrap_or(self.peer_load))
    }

    /// Returns the load of other nodes if the server's home told it just now.
    pub(crate) fn exact_load(&self, now: Instant) -> Option<Load> {
        let (load, at) = self.exact_load?;
        (now.saturating_duration_since(at) < EXACT_LOAD_TTL).then_some(load)
    }

    /// Sets the load of other nodes as the server's home told it.
    pub(crate) fn set_exact_load(&mut self, now: Instant, load: &ServerLoad) {
        let mut exact_load = Load::default();
        exact_load.add(load, 1.0);
        self.exact_load = Some((exact_load, now));
    }

    /// Returns what the server's home told of it just now.
    ///
    /// What it told of cached parts holds for prompts with that prefix only.
    pub(crate) fn estimate(&self, now: Instant, prefix: Option<u64>) -> Option<ServerEstimate> {
        let (estimate, at, told_prefix) = self.estimate?;
        let is_fresh = now.saturating_duration_since(at) < EXACT_LOAD_TTL;
        let held_parts = estimate.held_parts.filter(|_| told_prefix == prefix);
        is_fresh.then_some(ServerEstimate {
            held_parts,
            ..estimate
        })
    }

    /// Sets what the server's home told of it for a prompt with that prefix.
    pub(crate) fn set_estimate(
        &mut self,
        now: Instant,
        estimate: ServerEstimate,
        prefix: Option<u64>,
    ) {
        self.estimate = Some((estimate, now, prefix));
        self.samples = Some((estimate.samples, now));
    }

    /// Returns recent times to first events at the server, as its home last told them.
    ///
    /// They lose weight, so that a node whose homes are silent goes by its own answers.
    pub(crate) fn samples(&self, now: Instant) -> Option<PrefillSample> {
        let (samples, at) = self.samples?;
        let age = now.saturating_duration_since(at);
        Some(samples.scaled(decay_factor(age, SAMPLE_LIFETIME)))
    }

    /// Records shared parts of a prompt that is sent, for the server's home.
    pub(crate) fn observe_parts(&mut self, parts: impl Iterator<Item = u64>) {
        let room = NAMED_PARTS_MAX.saturating_sub(self.observation.parts.len());
        self.observation
            .parts
            .extend(parts.map(part_key).take(room));
    }

    /// Records the first event of a call with a long prompt, for the server's home.
    pub(crate) fn observe_first_event(&mut self, tokens: f64, time_ms: f64) {
        self.observation.sample = Some(PrefillSample {
            calls: 1.0,
            tokens: tokens as f32,
            time_ms: time_ms as f32,
        });
    }

    /// Records how long work takes at this moment as a multiple of the usual time.
    pub(crate) fn observe_slowness(&mut self, slowness: f64) {
        self.observation.slowness_percent = Some((slowness * 100.0) as u16);
    }

    /// Returns what was seen since the last report, `None` if that is nothing.
    pub(crate) fn take_observation(&mut self) -> Option<ServerObservation> {
        let is_empty = self.observation.parts.is_empty()
            && self.observation.sample.is_none()
            && self.observation.slowness_percent.is_none();
        if is_empty {
            return None;
        }
        let observation = std::mem::take(&mut self.observation);
        Some(ServerObservation {
            server_key: self.key,
            process_key: self.process_key(),
            ..observation
        })
    }

    /// Returns the node's load if it changed since it was last taken, also when it ended.
    pub(crate) fn take_changed_load(&mut self, now: Instant) -> Option<ServerLoad> {
        let is_changed = std::mem::take(&mut self.is_load_changed);
        is_changed.then(|| self.server_load(now))
    }

    /// Records the first event of a call with that many prompt tokens.
    pub(crate) fn record_prefill(&mut self, tokens: f64) {
        self.own_load.pending_tokens = (self.own_load.pending_tokens - tokens).max(0.0);
        self.is_load_changed = true;
    }

    /// Records the end of a call.
    pub(crate) fn record_end(&mut self, memory_tokens: f64, is_short: bool) {
        self.own_load.running = (self.own_load.running - 1.0).max(0.0);
        self.memory_tokens = (self.memory_tokens - memory_tokens).max(0.0);
        if is_short {
            self.own_load.short_prompts = (self.own_load.short_prompts - 1.0).max(0.0);
        }
        self.is_load_changed = true;
    }

    fn prefill_rate(&self, now: Instant) -> f64 {
        let tokens = self.prefill_tokens.map_or(0.0, |sum| sum.get(now));
        tokens / RATE_WINDOW.as_secs_f64()
    }

    /// Records a call that is sent, with the prompt tokens to prefill.
    pub(crate) fn record_send(
        &mut self,
        now: Instant,
        tokens: f64,
        memory_tokens: f64,
        is_short: bool,
    ) {
        if is_short {
            self.own_load.short_prompts += 1.0;
        } else {
            let zero = DecayingSum::new(now, RATE_WINDOW, 0.0);
            self.prefill_tokens.get_or_insert(zero).add(now, tokens);
        }
        if let Some(limit) = &mut self.limit {
            limit.take(now);
        }
        self.own_load.running += 1.0;
        self.own_load.pending_tokens += tokens;
        self.memory_tokens += memory_tokens;
        self.is_load_changed = true;
    }

    /// Returns the load to send to peers, `None` when nothing is in flight.
    pub(crate) fn reported_load(&self, now: Instant) -> Option<ServerLoad> {
        let load = self.server_load(now);
        (load.running > 0 || load.tokens_per_s > 0).then_some(load)
    }

    fn server_load(&self, now: Instant) -> ServerLoad {
        ServerLoad {
            server_key: self.key,
            running: self.own_load.running as u16,
            short_prompts: self.own_load.short_prompts as u16,
            pending_tokens: self.own_load.pending_tokens as u32,
            tokens_per_s: self.prefill_rate(now) as u32,
        }
    }

    /// Records a response time as a multiple of the expected one.
    pub(crate) fn record_response_time(&mut self, ratio: f64) {
        let ratio = ratio.clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
        self.slowness += SLOWNESS_WEIGHT * (ratio - self.slowness);
    }

    /// Records an answer without a fault.
    pub(crate) fn record_success(&mut self) {
        self.health.record_success();
        self.fault_samples = self.fault_samples.saturating_add(1);
        self.fault_ratio -= FAULT_WEIGHT * self.fault_ratio;
    }

    /// Records a fault; true when the server should be ejected.
    pub(crate) fn record_fault(&mut self, now: Instant, fault: Fault, options: &Options) -> bool {
        match fault {
            Fault::Cancelled => return false,
            Fault::Full => {
                self.pause(now + options.full_pause);
                return false;
            }
            Fault::Unreachable => self.pause(now + options.unreachable_pause),
            Fault::OtherInstance => self.pause(now + options.other_instance_pause),
            Fault::Broken | Fault::Silent | Fault::Malformed | Fault::Failed => {}
        }
        if fault != Fault::Failed {
            // Error answers of the server itself are common; only their fraction counts.
            self.health.record_failure();
        }
        self.fault_samples = self.fault_samples.saturating_add(1);
        self.fault_ratio += FAULT_WEIGHT * (1.0 - self.fault_ratio);
        let is_frequent =
            self.fault_samples >= FAULT_SAMPLES_MIN && self.fault_ratio > options.fault_ratio_max;
        is_frequent || self.health.is_outlier(&options.outlier)
    }

    fn pause(&mut self, until: Instant) {
        self.paused_until = Some(self.paused_until.map_or(until, |paused| paused.max(until)));
    }

    /// Ejects the server and discards its faults.
    pub(crate) fn eject(&mut self, now: Instant, options: &Options) {
        self.health.eject(now, &options.outlier);
        self.fault_ratio = 0.0;
        self.fault_samples = 0;
    }
}
