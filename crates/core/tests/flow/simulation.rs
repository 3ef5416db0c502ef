//! Simulation of nodes that dispatch calls to engines, with a fixed seed.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use briarbank_core::flow::{
    AttemptId, Call, Dispatcher, EngineSpec, Options, PeerOptions, Peers, Prompt, Refusal,
    RouteConfig, RouteTable, ServiceSpec,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, LogNormal, Zipf};

use crate::engine::{Engine, EngineTiming, Progress};
use crate::fleet::{MODELS, instance};

/// Time between two heartbeats of a node, in microseconds.
const HEARTBEAT_US: u64 = 80_000;

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
}

/// Load, nodes and engines of a simulation.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) seed: u64,
    pub(crate) nodes: usize,
    pub(crate) servers: usize,
    pub(crate) seconds: u64,
    pub(crate) timing: EngineTiming,
    pub(crate) long_prompts: CallKind,
    pub(crate) chats: CallKind,
    pub(crate) options: Options,
    pub(crate) peers: PeerOptions,
    /// Fraction of the long prompts that share one prefix.
    pub(crate) hot_ratio: f64,
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
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) long_prompts: KindOutcome,
    pub(crate) chats: KindOutcome,
    /// Fraction of shared tokens that were prefilled again after some engine had them.
    pub(crate) prefill_again_ratio: f64,
}

#[derive(Clone, Debug)]
struct Request {
    is_long: bool,
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
    StepEnd(usize),
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    start: Instant,
    now_us: u64,
    rng: SmallRng,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    event_count: u64,
    nodes: Vec<(Dispatcher, Peers)>,
    engines: Vec<Engine>,
    server_indexes: HashMap<String, usize>,
    prefilled: HashSet<u64>,
    requests: Vec<Request>,
    outcome: Outcome,
}

impl Scenario {
    pub(crate) fn run(&self) -> Outcome {
        let mut simulation = Simulation::new(self);
        simulation.schedule_calls(true, &self.long_prompts);
        simulation.schedule_calls(false, &self.chats);
        let end_us = WARMUP_US + (self.seconds + 5) * 1_000_000;
        while let Some(Reverse((at_us, _, event))) = simulation.events.pop() {
            if at_us > end_us {
                break;
            }
            simulation.now_us = at_us;
            match event {
                Event::Heartbeat(node) => simulation.send_heartbeat(node),
                Event::Arrival(request) => simulation.handle_arrival(request),
                Event::StepEnd(server) => simulation.end_step(server),
            }
        }
        let sums = |f: fn(&Engine) -> u64| simulation.engines.iter().map(f).sum::<u64>() as f64;
        let shared = sums(|e| e.shared_tokens).max(1.0);
        simulation.outcome.prefill_again_ratio = sums(|e| e.repeated_tokens) / shared;
        simulation.outcome
    }

    fn kind(&self, is_long: bool) -> &CallKind {
        if is_long {
            &self.long_prompts
        } else {
            &self.chats
        }
    }
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario) -> Self {
        let engine = EngineSpec {
            slots: scenario.timing.slots as u32,
            memory_tokens: scenario.timing.cache_tokens,
            event_tokens: scenario.timing.event_tokens as u32,
        };
        let table = RouteTable::new(RouteConfig {
            version: 1,
            services: vec![ServiceSpec {
                name: MODELS.into(),
                connections_max: 1_000,
                engine: Some(engine),
            }],
            ..RouteConfig::default()
        });
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
                dispatcher.add_server(instance(name, MODELS, scenario.timing.slots as u32));
            }
            let peers = Peers::new(
                address(node),
                node as u64 + 1,
                seeds.clone(),
                scenario.peers,
            );
            (dispatcher, peers)
        };
        let mut simulation = Self {
            scenario,
            start: Instant::now(),
            now_us: 0,
            rng: SmallRng::seed_from_u64(scenario.seed),
            events: BinaryHeap::new(),
            event_count: 0,
            nodes: (0..scenario.nodes).map(node).collect(),
            engines: (0..scenario.servers)
                .map(|_| Engine::new(scenario.timing))
                .collect(),
            server_indexes: names.into_iter().zip(0..).collect(),
            prefilled: HashSet::new(),
            requests: Vec::new(),
            outcome: Outcome::default(),
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
    fn schedule_calls(&mut self, is_long: bool, kind: &CallKind) {
        let unshared = log_normal(kind.unshared_tokens, 1.0);
        let events = log_normal(kind.events, 0.7);
        let prefixes = Zipf::new(kind.prefix.1 as f64, 0.3).expect("a valid skew");
        let count = (kind.calls_per_s * self.scenario.seconds as f64) as usize;
        let base = if is_long { 1 << 40 } else { 1 << 41 };
        for _ in 0..count {
            let rng = &mut self.rng;
            let unshared_tokens = unshared
                .sample(rng)
                .clamp(20.0, kind.unshared_tokens * 14.0) as u32;
            let is_hot = is_long && rng.random_bool(self.scenario.hot_ratio);
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
            let at_us = WARMUP_US + rng.random_range(0..self.scenario.seconds * 1_000_000);
            let request = Request {
                is_long,
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

    fn send_heartbeat(&mut self, node: usize) {
        let now = self.now();
        let (dispatcher, peers) = &mut self.nodes[node];
        let loads = dispatcher.reported_loads(now);
        let (heartbeat, receivers) = peers.next_heartbeat(now, 1, false, loads);
        for receiver in receivers {
            let [_, _, high, low] = receiver.ip().octets();
            let receiver = usize::from(u16::from_be_bytes([high, low])) - 1;
            self.nodes[receiver].1.receive(now, heartbeat.clone());
        }
        let (dispatcher, peers) = &mut self.nodes[node];
        dispatcher.set_peer_loads(&peers.loads(now), peers.sharing_nodes(now));
        self.schedule(self.now_us + HEARTBEAT_US, Event::Heartbeat(node));
    }

    fn handle_arrival(&mut self, index: usize) {
        let now = self.now();
        let node = self.rng.random_range(0..self.nodes.len());
        let request = &mut self.requests[index];
        let kind = *self.scenario.kind(request.is_long);
        request.node = node;
        let call = Call {
            service: MODELS.into(),
            is_most_urgent: kind.urgency == 0,
            objective: Duration::from_millis(kind.target_ms),
            time_left: Duration::from_secs(4),
            is_resumed: false,
            prompt: Some(request.prompt.clone()),
        };
        let dispatcher = &mut self.nodes[node].0;
        dispatcher.record_arrival(now, &call);
        if !request.is_retried {
            self.outcome.kind_mut(request.is_long).calls += 1;
        }
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
            }
            Err(Refusal::Busy { retry_after, .. }) if !request.is_retried => {
                request.is_retried = true;
                let at_us = self.now_us + retry_after.as_micros() as u64;
                self.schedule(at_us, Event::Arrival(index));
            }
            Err(_) => self.outcome.kind_mut(request.is_long).refused += 1,
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
        let dispatcher = &mut self.nodes[request.node].0;
        let Some(attempt) = request.attempt else {
            return;
        };
        if request.first_us.is_none() {
            request.first_us = Some(self.now_us);
            dispatcher.record_first_event(now, attempt);
        } else {
            request.pause_us = request.pause_us.max(self.now_us - request.last_us);
        }
        request.last_us = self.now_us;
        if progress == Progress::Event(index) {
            return;
        }
        dispatcher.record_success(now, attempt);
        let kind = self.scenario.kind(request.is_long);
        let first_ms = request.first_us.map_or(0, |us| us - request.arrived_us) / 1_000;
        let is_in_time = first_ms <= kind.target_ms && request.pause_us / 1_000 <= kind.gap_ms;
        let outcome = self.outcome.kind_mut(request.is_long);
        if is_in_time {
            outcome.in_time += 1;
        } else {
            outcome.late += 1;
        }
    }
}

impl Outcome {
    fn kind_mut(&mut self, is_long: bool) -> &mut KindOutcome {
        if is_long {
            &mut self.long_prompts
        } else {
            &mut self.chats
        }
    }
}

/// Returns a log-normal distribution with the given mean of the values.
fn log_normal(mean: f64, sigma: f64) -> LogNormal<f64> {
    LogNormal::new(mean.ln() - sigma * sigma / 2.0, sigma).expect("a valid spread")
}
