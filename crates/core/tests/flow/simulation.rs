//! Simulation of nodes that dispatch calls to engines, with a fixed seed.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use briarbank_core::flow::{
    AttemptId, Call, Dispatcher, EngineSpec, Load, LoadDirectory, LoadReport, Options, PeerOptions,
    Peers, PrefillDirectory, Prompt, Refusal, Route, RouteConfig, RouteKind, RouteTable,
    ServerLoad, ServiceSpec, Split,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, LogNormal, Zipf};

use crate::engine::{Engine, EngineTiming, Progress};
use crate::fleet::{MODELS, instance};

/// Time between two heartbeats of a node, in microseconds.
const HEARTBEAT_US: u64 = 80_000;

/// Time of a query for loads and its answer, in microseconds.
const QUERY_US: u64 = 2_000;

/// Heartbeats between two reports of loads that do not change.
const REPORT_HEARTBEATS: u64 = 4;

/// Time for nodes to find each other before the load starts, in microseconds.
const WARMUP_US: u64 = 3_000_000;

/// Load and objectives of one kind of call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallKind {
    pub(crate) calls_per_s: f64,
    /// Urgency; 0 is the most urgent.
    pub(crate) urgency: u8,
    pub(crate) target_ms: u64,
    /// Latency objective between two events, in milliseconds.
    pub(crate) gap_ms: u64,
    /// Tokens of a part that several prefixes share, and number of such parts.
    pub(crate) common: (u32, u64),
    /// Tokens of the last part of a prefix, and number of prefixes.
    pub(crate) prefix: (u32, u64),
    /// Mean number of tokens that a call does not share.
    pub(crate) unshared_tokens: f64,
    /// Mean number of events of an answer.
    pub(crate) events: f64,
    /// Fraction of the calls that share one prefix.
    pub(crate) hot_ratio: f64,
    /// Times within which more calls arrive.
    pub(crate) bursts: &'static [Burst],
}

/// Time within which calls arrive at a multiple of their rate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Burst {
    pub(crate) from_ms: u64,
    pub(crate) until_ms: u64,
    pub(crate) times: f64,
}

/// Load, nodes and engines of a simulation.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) seed: u64,
    pub(crate) nodes: usize,
    pub(crate) servers: usize,
    pub(crate) seconds: u64,
    pub(crate) timing: EngineTiming,
    pub(crate) kinds: Vec<CallKind>,
    pub(crate) options: Options,
    pub(crate) peers: PeerOptions,
    /// Whether each node knows all loads when it dispatches a call.
    pub(crate) knows_all: bool,
    /// Whether nodes ask the homes of servers for loads.
    pub(crate) has_homes: bool,
    /// Whether the homes also tell prefill speeds and cached parts.
    pub(crate) has_estimates: bool,
    /// Speeds of the servers as multiples of the usual one, in turn.
    pub(crate) speeds: &'static [f64],
}

/// Results of one kind of call.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct KindOutcome {
    pub(crate) calls: usize,
    pub(crate) in_time: usize,
    pub(crate) late: usize,
    pub(crate) refused: usize,
}

impl KindOutcome {
    /// Returns the fraction of calls that were answered in time.
    pub(crate) fn in_time_ratio(&self) -> f64 {
        self.in_time as f64 / self.calls.max(1) as f64
    }
}

/// Results of a simulation.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    /// Results by the index of the kind.
    pub(crate) kinds: Vec<KindOutcome>,
    /// Results by the second of the arrival, then by the index of the kind.
    pub(crate) by_second: Vec<Vec<KindOutcome>>,
    /// Fraction of shared tokens that were prefilled again after some engine had them.
    pub(crate) prefill_again_ratio: f64,
}

#[derive(Clone, Debug)]
struct Request {
    /// Index of its kind.
    kind: usize,
    prompt: Prompt,
    output: u64,
    arrived_us: u64,
    /// Whether the call was refused once and is retried.
    is_retried: bool,
    node: usize,
    attempt: Option<AttemptId>,
    first_us: Option<u64>,
    last_us: u64,
    pause_us: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Heartbeat(usize),
    Arrival(usize),
    Dispatch(usize),
    StepEnd(usize),
}

/// Router node.
struct Node {
    dispatcher: Dispatcher,
    peers: Peers,
    directory: LoadDirectory,
    prefills: PrefillDirectory,
    /// Number of its load reports so far.
    reports: u32,
    heartbeats: u64,
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    start: Instant,
    now_us: u64,
    rng: SmallRng,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    event_count: u64,
    table: RouteTable,
    nodes: Vec<Node>,
    engines: Vec<Engine>,
    server_indexes: HashMap<String, usize>,
    prefilled: HashSet<u64>,
    requests: Vec<Request>,
    outcome: Outcome,
}

impl Scenario {
    pub(crate) fn run(&self) -> Outcome {
        let mut simulation = Simulation::new(self);
        for kind in 0..self.kinds.len() {
            simulation.schedule_calls(kind);
        }
        let end_us = WARMUP_US + (self.seconds + 5) * 1_000_000;
        while let Some(Reverse((at_us, _, event))) = simulation.events.pop() {
            if at_us > end_us {
                break;
            }
            simulation.now_us = at_us;
            match event {
                Event::Heartbeat(node) => simulation.send_heartbeat(node),
                Event::Arrival(request) => simulation.handle_arrival(request),
                Event::Dispatch(request) => simulation.handle_dispatch(request),
                Event::StepEnd(server) => simulation.end_step(server),
            }
        }
        let sums = |f: fn(&Engine) -> u64| simulation.engines.iter().map(f).sum::<u64>() as f64;
        let shared = sums(|e| e.shared_tokens).max(1.0);
        simulation.outcome.prefill_again_ratio = sums(|e| e.repeated_tokens) / shared;
        simulation.outcome
    }

    fn engines(&self) -> Vec<Engine> {
        let engine = |server: usize| {
            let speed = self.speeds.get(server % self.speeds.len().max(1));
            Engine::new(self.timing.scaled(speed.copied().unwrap_or(1.0)))
        };
        (0..self.servers).map(engine).collect()
    }

    /// Returns the configuration, with a route for each kind of call.
    fn table(&self) -> RouteTable {
        let engine = EngineSpec {
            slots: self.timing.slots as u32,
            memory_tokens: self.timing.cache_tokens,
            event_tokens: self.timing.event_tokens as u32,
        };
        let route = |(index, kind): (usize, &CallKind)| Route {
            name: format!("kind-{index}").into(),
            host: "lentes.example".into(),
            prefix: format!("/{index}/").into(),
            kind: RouteKind::Stream { resumable: false },
            timeout_ms: 4_000,
            target_ms: kind.target_ms as u32,
            gap_ms: Some(kind.gap_ms as u32),
            tier: kind.urgency,
            splits: vec![Split {
                service: MODELS.into(),
                weight: 1,
            }],
            attempts_max: 1,
            is_public: false,
            allowed_regions: None,
        };
        RouteTable::new(RouteConfig {
            version: 1,
            routes: self.kinds.iter().enumerate().map(route).collect(),
            services: vec![ServiceSpec {
                name: MODELS.into(),
                connections_max: 1_000,
                engine: Some(engine),
                cold: None,
            }],
            ..RouteConfig::default()
        })
    }
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario) -> Self {
        let table = scenario.table();
        let address = |node: usize| {
            let [high, low] = (node as u16 + 1).to_be_bytes();
            SocketAddrV4::new(Ipv4Addr::new(10, 0, high, low), 7_000)
        };
        let seeds: Vec<SocketAddrV4> = (0..3.min(scenario.nodes)).map(address).collect();
        let names: Vec<String> = (0..scenario.servers)
            .map(|s| format!("i-{s:04x}"))
            .collect();
        let node = |node: usize| {
            let mut dispatcher = Dispatcher::new("recife".into(), scenario.options.clone());
            dispatcher.configure(&table);
            for name in &names {
                let server = instance(name, MODELS, scenario.timing.slots as u32);
                dispatcher.add_server(Instant::now(), server);
            }
            let peers = Peers::new(
                address(node),
                node as u64 + 1,
                seeds.clone(),
                scenario.peers,
            );
            Node {
                dispatcher,
                peers,
                directory: LoadDirectory::default(),
                prefills: PrefillDirectory::default(),
                reports: 0,
                heartbeats: 0,
            }
        };
        let mut simulation = Self {
            scenario,
            start: Instant::now(),
            now_us: 0,
            rng: SmallRng::seed_from_u64(scenario.seed),
            events: BinaryHeap::new(),
            event_count: 0,
            nodes: (0..scenario.nodes).map(node).collect(),
            table: table.clone(),
            engines: scenario.engines(),
            server_indexes: names.into_iter().zip(0..).collect(),
            prefilled: HashSet::new(),
            requests: Vec::new(),
            outcome: Outcome {
                kinds: vec![KindOutcome::default(); scenario.kinds.len()],
                by_second: vec![
                    vec![KindOutcome::default(); scenario.kinds.len()];
                    scenario.seconds as usize + 1
                ],
                prefill_again_ratio: 0.0,
            },
        };
        for node in 0..scenario.nodes {
            let at_us = simulation.rng.random_range(0..HEARTBEAT_US);
            simulation.schedule(at_us, Event::Heartbeat(node));
        }
        simulation
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at_us, self.event_count, event)));
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_micros(self.now_us)
    }

    /// Draws all calls of a kind at random and schedules their arrival.
    fn schedule_calls(&mut self, index: usize) {
        let kind = &self.scenario.kinds[index];
        let unshared = log_normal(kind.unshared_tokens, 1.0);
        let events = log_normal(kind.events, 0.7);
        let prefixes = Zipf::new(kind.prefix.1 as f64, 0.3).expect("a valid skew");
        let whole = Burst {
            from_ms: 0,
            until_ms: self.scenario.seconds * 1_000,
            times: 2.0,
        };
        let arrivals: Vec<u64> = std::iter::once(&whole)
            .chain(kind.bursts)
            .flat_map(|burst| self.draw_arrivals(kind.calls_per_s, burst))
            .collect();
        let base = 1 << (40 + index);
        for at_us in arrivals {
            let rng = &mut self.rng;
            let unshared_tokens = unshared
                .sample(rng)
                .clamp(20.0, kind.unshared_tokens * 14.0) as u32;
            let is_hot = rng.random_bool(kind.hot_ratio);
            let prefix = if is_hot {
                1
            } else {
                prefixes.sample(rng) as u64
            };
            let common = prefix % kind.common.1;
            let parts = vec![
                (base + common, kind.common.0),
                (base + 1_000 + prefix, kind.prefix.0),
                (rng.random::<u64>() | 1 << 63, unshared_tokens),
            ];
            let events = events.sample(rng).clamp(1.0, kind.events * 4.0);
            let output = (events * self.scenario.timing.event_tokens as f64) as u64;
            let request = Request {
                kind: index,
                prompt: Prompt {
                    tokens: parts.iter().map(|(_, tokens)| tokens).sum(),
                    output_tokens_max: output as u32 * 2,
                    parts,
                },
                output,
                arrived_us: at_us,
                is_retried: false,
                node: 0,
                attempt: None,
                first_us: None,
                last_us: 0,
                pause_us: 0,
            };
            self.requests.push(request);
            self.schedule(at_us, Event::Arrival(self.requests.len() - 1));
        }
    }

    /// Draws the times of the calls that a burst adds to the usual rate.
    fn draw_arrivals(&mut self, calls_per_s: f64, burst: &Burst) -> Vec<u64> {
        let time_us = burst.from_ms * 1_000..burst.until_ms * 1_000;
        let seconds = (time_us.end - time_us.start) as f64 / 1e6;
        let count = (calls_per_s * (burst.times - 1.0) * seconds) as usize;
        let mut arrival = || WARMUP_US + self.rng.random_range(time_us.clone());
        (0..count).map(|_| arrival()).collect()
    }

    fn send_heartbeat(&mut self, node: usize) {
        let now = self.now();
        let sender = &mut self.nodes[node];
        let loads = sender.dispatcher.reported_loads(now);
        sender.heartbeats += 1;
        if sender.heartbeats.is_multiple_of(REPORT_HEARTBEATS) {
            self.report_loads(node, loads.clone());
        }
        let sender = &mut self.nodes[node];
        let (heartbeat, receivers) = sender.peers.next_heartbeat(now, 1, false, loads);
        for receiver in receivers {
            let receiver = node_index(receiver);
            self.nodes[receiver].peers.receive(now, heartbeat.clone());
        }
        let Node {
            dispatcher, peers, ..
        } = &mut self.nodes[node];
        dispatcher.set_peer_loads(&peers.loads(now), peers.sharing_nodes(now));
        self.schedule(self.now_us + HEARTBEAT_US, Event::Heartbeat(node));
    }

    /// Sends loads of a node to the homes of the servers.
    fn report_loads(&mut self, node: usize, loads: Vec<ServerLoad>) {
        let now = self.now();
        if !self.scenario.has_homes || !self.nodes[node].peers.has_homes() {
            return;
        }
        for observation in self.nodes[node].dispatcher.take_observations(&loads) {
            let home = node_index(self.nodes[node].peers.home(now, observation.server_key));
            self.nodes[home].prefills.record(now, &observation, true);
        }
        for load in loads {
            let sender = &mut self.nodes[node];
            sender.reports += 1;
            let local = sender.peers.local();
            let report = LoadReport {
                sender: local.address,
                incarnation: local.incarnation,
                sequence: sender.reports,
                loads: vec![load],
            };
            let home = node_index(sender.peers.home(now, load.server_key));
            self.nodes[home].directory.record(now, &report);
        }
    }

    fn report_changes(&mut self, node: usize) {
        let now = self.now();
        let changed = self.nodes[node].dispatcher.take_changed_loads(now);
        self.report_loads(node, changed);
    }

    /// Asks the homes of the servers that a call is likely to go to.
    fn query_loads(&mut self, node: usize, call: &Call) {
        let now = self.now();
        if !self.scenario.has_homes || !self.nodes[node].peers.has_homes() {
            return;
        }
        let asker = &mut self.nodes[node];
        let address = asker.peers.local().address;
        for server in asker.dispatcher.preferred_servers(now, call, &[]) {
            let home = node_index(self.nodes[node].peers.home(now, server));
            let home = &mut self.nodes[home];
            let stable_since = home.peers.stable_since(now);
            let load = home.directory.load(now, server, address, stable_since);
            let loads: Vec<ServerLoad> = load.into_iter().collect();
            let parts = self.nodes[node].dispatcher.parts_to_ask(call);
            let process = self.nodes[node].dispatcher.process_key(server);
            let estimate = process
                .filter(|_| self.scenario.has_estimates && !parts.is_empty())
                .and_then(|process| {
                    let home = node_index(self.nodes[node].peers.home(now, server));
                    let prefills = &mut self.nodes[home].prefills;
                    prefills.estimate(now, server, process, &parts, true)
                });
            let dispatcher = &mut self.nodes[node].dispatcher;
            dispatcher.set_exact_loads(now, &loads);
            dispatcher.set_estimates(now, call, estimate.as_slice());
        }
    }

    fn handle_arrival(&mut self, index: usize) {
        let node = self.rng.random_range(0..self.nodes.len());
        self.requests[index].node = node;
        let call = self.call(index);
        let now = self.now();
        self.nodes[node].dispatcher.record_arrival(now, &call);
        let request = &self.requests[index];
        if !request.is_retried {
            let (kind, arrived_us) = (request.kind, request.arrived_us);
            self.outcome.count(kind, arrived_us, |k| k.calls += 1);
        }
        self.query_loads(node, &call);
        self.schedule(self.now_us + QUERY_US, Event::Dispatch(index));
    }

    fn call(&self, index: usize) -> Call {
        let request = &self.requests[index];
        let kind = &self.scenario.kinds[request.kind];
        Call {
            service: MODELS.into(),
            tier_rank: self.table.tier_rank(&MODELS.into(), kind.urgency),
            objective: Duration::from_millis(kind.target_ms),
            time_left: Duration::from_secs(4),
            version: None,
            key_version: None,
            identity: None,
            allowed_regions: Vec::new(),
            prompt: Some(request.prompt.clone()),
        }
    }

    fn set_all_loads(&mut self, node: usize) {
        let now = self.now();
        let mut sums: BTreeMap<u32, Load> = BTreeMap::new();
        let others = self.nodes.iter().enumerate().filter(|(n, _)| *n != node);
        for load in others.flat_map(|(_, other)| other.dispatcher.reported_loads(now)) {
            sums.entry(load.server_key).or_default().add(&load, 1.0);
        }
        let count = self.nodes.len();
        self.nodes[node].dispatcher.set_peer_loads(&sums, count);
    }

    fn handle_dispatch(&mut self, index: usize) {
        let now = self.now();
        let call = self.call(index);
        let node = self.requests[index].node;
        if self.scenario.knows_all {
            self.set_all_loads(node);
        }
        let request = &mut self.requests[index];
        let (kind_index, arrived_us) = (request.kind, request.arrived_us);
        let kind = &self.scenario.kinds[kind_index];
        let dispatcher = &mut self.nodes[node].dispatcher;
        match dispatcher.dispatch(now, &call, &[]) {
            Ok(placed) => {
                request.attempt = Some(placed.attempt);
                let server = self.server_indexes[placed.instance.id.as_str()];
                let mut was_prefilled = |part| !self.prefilled.insert(part);
                let engine = &mut self.engines[server];
                engine.enqueue(
                    index,
                    kind.urgency,
                    &request.prompt,
                    request.output,
                    &mut was_prefilled,
                );
                if !engine.is_busy {
                    self.start_step(server);
                }
                self.report_changes(node);
            }
            Err(Refusal::Busy { retry_after, .. }) if !request.is_retried => {
                request.is_retried = true;
                let at_us = self.now_us + retry_after.as_micros() as u64;
                self.schedule(at_us, Event::Arrival(index));
            }
            Err(_) => self
                .outcome
                .count(kind_index, arrived_us, |k| k.refused += 1),
        }
    }

    fn start_step(&mut self, server: usize) {
        if let Some(step_us) = self.engines[server].start_step() {
            self.schedule(self.now_us + step_us, Event::StepEnd(server));
        }
    }

    fn end_step(&mut self, server: usize) {
        for progress in self.engines[server].end_step() {
            self.handle_progress(progress);
        }
        self.start_step(server);
    }

    fn handle_progress(&mut self, progress: Progress) {
        let now = self.now();
        let (Progress::Event(index) | Progress::End(index)) = progress;
        let request = &mut self.requests[index];
        let node = request.node;
        let dispatcher = &mut self.nodes[node].dispatcher;
        let Some(attempt) = request.attempt else {
            return;
        };
        let mut is_changed = progress == Progress::End(index);
        if request.first_us.is_none() {
            request.first_us = Some(self.now_us);
            dispatcher.record_first_event(now, attempt);
            is_changed = true;
        } else {
            request.pause_us = request.pause_us.max(self.now_us - request.last_us);
        }
        request.last_us = self.now_us;
        if progress == Progress::End(index) {
            dispatcher.record_success(now, attempt);
        }
        if is_changed {
            self.report_changes(node);
        }
        if progress == Progress::Event(index) {
            return;
        }
        let request = &self.requests[index];
        let kind = &self.scenario.kinds[request.kind];
        let first_ms = request.first_us.map_or(0, |us| us - request.arrived_us) / 1_000;
        let is_in_time = first_ms <= kind.target_ms && request.pause_us / 1_000 <= kind.gap_ms;
        let (kind_index, arrived_us) = (request.kind, request.arrived_us);
        self.outcome.count(kind_index, arrived_us, |kind| {
            if is_in_time {
                kind.in_time += 1;
            } else {
                kind.late += 1;
            }
        });
    }
}

impl Outcome {
    /// Counts a call in the results of its kind, over the whole time and in its second.
    fn count(&mut self, kind: usize, arrived_us: u64, count: impl Fn(&mut KindOutcome)) {
        let second = (arrived_us - WARMUP_US) / 1_000_000;
        count(&mut self.kinds[kind]);
        count(&mut self.by_second[second as usize][kind]);
    }
}

/// Returns the index of the node with a peer address.
fn node_index(address: SocketAddrV4) -> usize {
    let [_, _, high, low] = address.ip().octets();
    usize::from(u16::from_be_bytes([high, low])) - 1
}

/// Returns a log-normal distribution with the given mean of the values.
fn log_normal(mean: f64, sigma: f64) -> LogNormal<f64> {
    LogNormal::new(mean.ln() - sigma * sigma / 2.0, sigma).expect("a valid spread")
}
