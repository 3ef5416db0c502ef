//! Dispatches calls to servers and refuses those that would be late.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::flow::attempt::Attempt;
use crate::flow::call::{AttemptId, Call, Fault, Placement, Prompt, Refusal};
use crate::flow::choice::{Candidate, Choice, Pool};
use crate::flow::cold_servers::ColdServers;
use crate::flow::departed::DepartedServers;
use crate::flow::estimates;
use crate::flow::evacuation::Evacuations;
use crate::flow::harmful_prompts::SeenCrash;
use crate::flow::instance::Instance;
use crate::flow::load::Load;
use crate::flow::message::ServerLoad;
use crate::flow::options::Options;
use crate::flow::part_records::PartRecords;
use crate::flow::prefix_rates::PrefixRates;
use crate::flow::prompt_sizes::PromptSizes;
use crate::flow::prompt_time::PromptTime;
use crate::flow::regions::ZoneRegions;
use crate::flow::retry_budget::{RetryOptions, SlidingRetryBudget};
use crate::flow::route::EngineSpec;
use crate::flow::server::ServerEntry;
use crate::flow::table::RouteTable;
use crate::flow::version_log::VersionLog;
use crate::flow::version_shares::VersionShares;
use crate::ids::{ServerName, ServiceName, ZoneName};

/// Chooses a server for each call and tracks the attempts in flight.
///
/// See [`crate::flow`] for what is left to its user.
#[derive(Debug)]
pub struct Dispatcher {
    zone: ZoneName,
    options: Options,
    pub(crate) servers: BTreeMap<ServerName, ServerEntry>,
    services: HashMap<ServiceName, Service>,
    pub(crate) zone_regions: ZoneRegions,
    pub(crate) attempts: HashMap<AttemptId, Attempt>,
    next_attempt: u64,
    sharing_nodes: usize,
    pub(crate) departed: DepartedServers,
    pub(crate) evacuations: Evacuations,
    pub(crate) version_log: VersionLog,
    pub(crate) version_shares: VersionShares,
    pub(crate) part_records: PartRecords,
    pub(crate) seen_crashes: Vec<SeenCrash>,
    pub(crate) cold: ColdServers,
    /// When this node last stood still.
    pub(crate) paused_at: Option<Instant>,
}

#[derive(Debug)]
struct Service {
    engine: Option<EngineSpec>,
    prompt_time: PromptTime,
    retry_budget: SlidingRetryBudget,
    prompt_sizes: PromptSizes,
    prefix_rates: PrefixRates,
}

impl Dispatcher {
    /// Creates a dispatcher without servers.
    #[must_use]
    pub fn new(zone: ZoneName, options: Options) -> Self {
        Self {
            zone,
            cold: ColdServers::new(options.cold),
            options,
            servers: BTreeMap::new(),
            services: HashMap::new(),
            zone_regions: ZoneRegions::default(),
            attempts: HashMap::new(),
            next_attempt: 0,
            sharing_nodes: 1,
            departed: DepartedServers::default(),
            evacuations: Evacuations::default(),
            version_log: VersionLog::default(),
            version_shares: VersionShares::default(),
            part_records: PartRecords::default(),
            seen_crashes: Vec::new(),
            paused_at: None,
        }
    }

    /// Applies a version of the configuration.
    pub fn configure(&mut self, table: &RouteTable) {
        self.cold.configure(table);
        let names: Vec<&ServiceName> = table.services().iter().map(|s| &s.name).collect();
        self.services.retain(|name, _| names.contains(&name));
        for spec in table.services() {
            let retries = self.options.retries;
            let service = self.services.entry(spec.name.clone());
            let service = service.or_insert_with(|| Service {
                engine: None,
                prompt_time: PromptTime::default(),
                retry_budget: SlidingRetryBudget::new(retries),
                prompt_sizes: PromptSizes::default(),
                prefix_rates: PrefixRates::default(),
            });
            service.engine = spec.engine;
        }
    }

    /// Changes the retry budget of all services.
    pub fn set_retry_options(&mut self, retries: RetryOptions) {
        self.options.retries = retries;
        for service in self.services.values_mut() {
            service.retry_budget.set_options(retries);
        }
    }

    /// Adds a server or updates its published entry.
    pub fn add_server(&mut self, now: Instant, instance: Instance) {
        self.version_log.begin(now);
        if let Some(entry) = self.servers.get(&instance.id) {
            self.version_log.record_former(now, &entry.instance);
        }
        let before = self.servers.get(&instance.id);
        let before = before.and_then(|e| e.share().map(|slots| (Arc::clone(&e.instance), slots)));
        self.record_shares(now, before.as_ref(), Some(&instance));
        if instance.is_draining {
            self.departed.record(&instance);
        }
        // An entry may return to an earlier state with its store.
        let is_leaving = self.departed.contains(&instance);
        let entry = match self.servers.entry(instance.id.clone()) {
            Entry::Occupied(occupied) => {
                let entry = occupied.into_mut();
                entry.update_instance(now, instance);
                entry
            }
            Entry::Vacant(vacant) => {
                let has_calls = self.attempts.values().any(|a| a.server == *vacant.key());
                let entry = vacant.insert(ServerEntry::new(instance));
                entry.is_load_changed = has_calls;
                entry
            }
        };
        entry.is_leaving = is_leaving;
        entry.cold.record_entry(now, entry.instance.cold_ms);
        self.evacuations.stop_listed(now, entry);
    }

    /// Removes a server whose published entry is gone.
    ///
    /// With `grace`, the entry may have lapsed because the store was unreachable, and
    /// a server that is not draining is used for that much longer.
    pub fn remove_server(&mut self, now: Instant, server: &ServerName, grace: Option<Duration>) {
        let Some(entry) = self.servers.get_mut(server) else {
            return;
        };
        self.version_log.record_former(now, &entry.instance);
        let before = entry
            .share()
            .map(|slots| (Arc::clone(&entry.instance), slots));
        match grace {
            Some(grace) if !entry.instance.is_draining && !entry.is_leaving => {
                entry.grace_until = Some(now + grace);
            }
            _ => {
                self.servers.remove(server);
            }
        }
        self.record_shares(now, before.as_ref(), None);
    }

    /// Removes servers whose grace time is over.
    pub fn remove_lapsed(&mut self, now: Instant) {
        let has_lapsed = |e: &ServerEntry| e.grace_until.is_some_and(|until| now >= until);
        for entry in self.servers.values().filter(|e| has_lapsed(e)) {
            self.version_log.record_former(now, &entry.instance);
        }
        self.servers.retain(|_, e| !has_lapsed(e));
    }

    /// Sets the load of peers and the number of sharing nodes.
    ///
    /// Limits of the whole fleet are divided among the sharing nodes.
    pub fn set_peer_loads(&mut self, loads: &BTreeMap<u32, Load>, sharing_nodes: usize) {
        self.sharing_nodes = sharing_nodes;
        for entry in self.servers.values_mut() {
            entry.peer_load = loads.get(&entry.key).copied().unwrap_or_default();
        }
    }

    /// Returns the load of this node on each server, to be sent to peers.
    #[must_use]
    pub fn reported_loads(&self, now: Instant) -> Vec<ServerLoad> {
        self.servers
            .values()
            .filter_map(|e| e.reported_load(now))
            .collect()
    }

    /// Returns the loads of this node that changed since they were last taken.
    pub fn take_changed_loads(&mut self, now: Instant) -> Vec<ServerLoad> {
        self.servers
            .values_mut()
            .filter_map(|e| e.take_changed_load(now))
            .collect()
    }

    /// Sets loads of other nodes, as the homes of the servers told them.
    ///
    /// They take precedence over those of [`Self::set_peer_loads`] for a short time.
    pub fn set_exact_loads(&mut self, now: Instant, loads: &[ServerLoad]) {
        for entry in self.servers.values_mut() {
            if let Some(load) = loads.iter().find(|l| l.server_key == entry.key) {
                entry.set_exact_load(now, load);
            }
        }
    }

    /// Returns the servers that a call is likely to go to, by the hash of their names.
    ///
    /// Their exact loads make the choice of [`Self::dispatch`] better.
    #[must_use]
    pub fn preferred_servers(&self, now: Instant, call: &Call, avoid: &[ServerName]) -> Vec<u32> {
        let Some(pool) = self.pool(now, call) else {
            return Vec::new();
        };
        let of_version = call.key_version.map(|key| pool.of_version(key.version));
        let of_version = of_version.filter(|pool| !pool.candidates.is_empty());
        let pool = of_version.unwrap_or(pool);
        pool.preferred_servers(now, call, avoid)
    }

    /// Iterates over servers by name, with total load and health.
    pub fn servers(&self, now: Instant) -> impl Iterator<Item = (&Arc<Instance>, Load, bool)> {
        self.servers
            .values()
            .map(move |e| (&e.instance, e.load(now), e.is_healthy(now)))
    }

    /// Returns whether any server is known.
    #[must_use]
    pub fn has_servers(&self) -> bool {
        !self.servers.is_empty()
    }

    /// Records a call that arrived for a service.
    pub fn record_arrival(&mut self, now: Instant, call: &Call) {
        let Some(service) = self.services.get_mut(&call.service) else {
            return;
        };
        service.retry_budget.record_call(now);
        if let Some(prompt) = &call.prompt {
            service.prompt_sizes.record(prompt.tokens);
            if let Some(prefix) = prompt.prefix_key() {
                service.prefix_rates.record_call(now, prefix);
            }
        }
    }

    /// Withdraws one retry from the service's budget; false when it is used up.
    pub fn withdraw_retry(&mut self, now: Instant, service: &ServiceName) -> bool {
        let sharing_nodes = self.sharing_nodes;
        let service = self.services.get_mut(service);
        service.is_some_and(|s| s.retry_budget.withdraw(now, sharing_nodes))
    }

    /// Withdraws one hedge from the service's retry budget; false when its part is used up.
    pub fn withdraw_hedge(&mut self, now: Instant, service: &ServiceName) -> bool {
        let sharing_nodes = self.sharing_nodes;
        let service = self.services.get_mut(service);
        service.is_some_and(|s| s.retry_budget.withdraw_hedge(now, sharing_nodes))
    }

    /// Returns whether [`Self::withdraw_hedge`] would succeed.
    pub(crate) fn allows_hedge(&mut self, now: Instant, service: &ServiceName) -> bool {
        let sharing_nodes = self.sharing_nodes;
        let service = self.services.get_mut(service);
        service.is_some_and(|s| s.retry_budget.allows_hedge(now, sharing_nodes))
    }

    /// Returns whether a call that runs could move to a server that is not in `avoid`.
    ///
    /// The budget has a retry for it, and a healthy server would answer it in time.
    pub fn can_move(&mut self, now: Instant, call: &Call, avoid: &[ServerName]) -> bool {
        if self.is_harmful(now, call, avoid) {
            return false;
        }
        let sharing_nodes = self.sharing_nodes;
        let service = self.services.get_mut(&call.service);
        if !service.is_some_and(|s| s.retry_budget.allows_retry(now, sharing_nodes)) {
            return false;
        }
        let choice = self
            .pool(now, call)
            .map(|pool| pool.choose(now, call, avoid));
        let Some(Ok(choice)) = choice else {
            return false;
        };
        let chosen = self.servers.get(&choice.instance.id);
        !avoid.contains(&choice.instance.id) && chosen.is_some_and(|e| e.is_healthy(now))
    }

    /// Chooses a server and counts the attempt as in flight.
    ///
    /// Servers in `avoid` are used only when there is no other.
    ///
    /// # Errors
    ///
    /// No server would answer in time, none is known, or the call or a part of its prompt crashes servers.
    pub fn dispatch(
        &mut self,
        now: Instant,
        call: &Call,
        avoid: &[ServerName],
    ) -> Result<Placement, Refusal> {
        if self.is_harmful(now, call, avoid) {
            return Err(Refusal::HarmfulPrompt);
        }
        self.count_held_back(now, call);
        let pool = self.pool(now, call).ok_or(Refusal::NoServer)?;
        if pool.candidates.is_empty() {
            return Err(self.closed_refusal(now, call));
        }
        let choice = pool.choose_by_key(now, call, avoid)?;
        Ok(self.record_attempt(now, call, choice))
    }

    /// Returns whether a prompt of the call's service is a short one.
    pub(crate) fn is_short(&self, call: &Call, prompt: &Prompt) -> bool {
        let service = self.services.get(&call.service);
        service.is_none_or(|s| s.prompt_sizes.is_short(prompt.tokens))
    }

    pub(crate) fn pool(&self, now: Instant, call: &Call) -> Option<Pool<'_>> {
        let service = self.services.get(&call.service)?;
        let prefix = call.prompt.as_ref().and_then(Prompt::prefix_key);
        let may_get = |e: &ServerEntry| self.may_get(e, call) && !self.cold.holds_back(now, e);
        let accepts = |e: &ServerEntry| e.accepts_calls(now) && e.has_room_if_brittle();
        let is_usable = |e: &&ServerEntry| may_get(e) && accepts(e);
        let mut candidates: Vec<Candidate<'_>> = self
            .servers
            .values()
            .filter(is_usable)
            .map(|e| Candidate::new(e, now, prefix))
            .collect();
        if candidates.is_empty() && call.version.is_some() {
            let is_left = |e: &&ServerEntry| may_get(e) && e.accepts_rest(now, &self.options);
            let leaving = self.servers.values().filter(is_left);
            candidates.extend(leaving.map(|e| Candidate::new(e, now, prefix)));
        }
        let own_calls_per_s =
            prefix.map_or(0.0, |prefix| service.prefix_rates.calls_per_s(now, prefix));
        let samples = candidates.iter().filter_map(|c| c.entry.samples(now));
        let base_ms = service.prompt_time.base_ms();
        let shared_ms_per_token = estimates::mean_ms_per_token(samples, base_ms);
        Some(Pool {
            candidates,
            zone: &self.zone,
            engine: service.engine,
            prompt_time: service.prompt_time,
            shared_ms_per_token,
            prompt_sizes: service.prompt_sizes,
            prefix_calls_per_s: own_calls_per_s * self.sharing_nodes as f64,
            options: &self.options,
        })
    }

    fn record_attempt(&mut self, now: Instant, call: &Call, choice: Choice) -> Placement {
        self.next_attempt += 1;
        let attempt = AttemptId(self.next_attempt);
        let mut process_key = 0;
        if let Some(entry) = self.servers.get_mut(&choice.instance.id) {
            process_key = entry.process_key();
            self.cold.record_send(now, entry);
            entry.record_send(now, choice.tokens, choice.memory_tokens, choice.is_short);
            let parts = call.prompt.iter().flat_map(|p| &p.parts);
            for (part, _) in parts {
                entry.prefix_cache.touch(now, *part);
            }
            if !choice.is_short {
                entry.observe_parts(call.prompt.iter().flat_map(Prompt::shared_parts));
            }
        }
        let entry = Attempt::new(now, call, &choice, process_key);
        self.attempts.insert(attempt, entry);
        let expected_latency = Duration::from_secs_f64(choice.expected_ms / 1_000.0);
        Placement {
            attempt,
            instance: choice.instance,
            expected_latency,
        }
    }

    /// Records the first event of a stream, or the head of a plain answer.
    ///
    /// A later event, reported in the same way, shows that the answer goes on.
    pub fn record_first_event(&mut self, now: Instant, id: AttemptId) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        if attempt.first_event_at.is_some() {
            if attempt.has_gone_on(now) {
                self.record_answer(now, id);
            }
            return;
        }
        attempt.first_event_at = Some(now);
        let Some(entry) = attempt.entry(&mut self.servers) else {
            return;
        };
        let time_ms = now.saturating_duration_since(attempt.sent).as_secs_f64() * 1_000.0;
        entry.record_prefill(attempt.tokens);
        let slowness = attempt.slowness.unwrap_or(entry.slowness);
        if attempt.is_model
            && let Some(service) = self.services.get_mut(&entry.instance.service)
        {
            let tokens = attempt.tokens + attempt.queued_tokens;
            service.prompt_time.record(tokens, time_ms / slowness);
            if !attempt.is_short {
                entry.observe_first_event(tokens, time_ms);
            }
        }
        entry.record_response_time(time_ms / attempt.expected_ms.max(1.0) * slowness);
    }

    /// Records a complete answer.
    pub fn record_success(&mut self, now: Instant, id: AttemptId) {
        self.record_answer(now, id);
        self.record_end(now, id);
    }

    /// Records an answer that ended with its connection, as one does that a crash cuts.
    pub fn record_end(&mut self, now: Instant, id: AttemptId) {
        self.record_first_event(now, id);
        if let Some(attempt) = self.release_attempt(id)
            && let Some(entry) = attempt.entry(&mut self.servers)
        {
            entry.record_success();
        }
    }

    /// Records the end of an attempt without a complete answer.
    ///
    /// Returns whether its server was ejected for it.
    pub fn record_failure(&mut self, now: Instant, id: AttemptId, fault: Fault) -> bool {
        let Some(attempt) = self.release_attempt(id) else {
            return false;
        };
        if fault == Fault::Broken {
            self.record_break(now, &attempt);
        }
        let Some(entry) = attempt.entry(&mut self.servers) else {
            return false;
        };
        if !entry.record_fault(now, fault, &self.options) {
            return false;
        }
        let service = entry.instance.service.clone();
        let of_service = self.servers.values();
        // Only servers in use count: of few that are left, most could be ejected else.
        let of_service =
            of_service.filter(|e| e.instance.service == service && !e.is_evacuated(now));
        let (ejected, total) = of_service.fold((0, 0), |(ejected, total), e| {
            (
                ejected + usize::from(!e.health.is_available(now)),
                total + 1,
            )
        });
        if !self.options.outlier.may_eject(ejected, total) {
            return false;
        }
        let Some(entry) = self.servers.get_mut(&attempt.server) else {
            return false;
        };
        entry.eject(now, &self.options);
        true
    }

    fn release_attempt(&mut self, id: AttemptId) -> Option<Attempt> {
        let attempt = self.attempts.remove(&id)?;
        let Some(entry) = attempt.entry(&mut self.servers) else {
            return Some(attempt);
        };
        if attempt.first_event_at.is_none() {
            entry.record_prefill(attempt.tokens);
        }
        entry.record_end(attempt.memory_tokens, attempt.is_short);
        Some(attempt)
    }
}
