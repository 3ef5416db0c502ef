//! Many dispatchers before many engines, over some seconds of load, by a fixed seed.

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

/// Time between two beats of a node, in microseconds.
const BEAT_US: u64 = 80_000;

/// Time for nodes to find each other before the load begins, in microseconds.
const LEAD_US: u64 = 3_000_000;

/// One kind of call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Kind {
    pub(crate) per_s: f64,
    /// Rank, 0 is the most urgent.
    pub(crate) rank: u8,
    pub(crate) target_ms: u64,
    /// Longest pause between two events.
    pub(crate) gap_ms: u64,
    /// Tokens of the part that many subjects share, and how many such parts there are.
    pub(crate) common: (u32, u64),
    /// Tokens of a subject, and how many subjects there are.
    pub(crate) subject: (u32, u64),
    /// Mean tokens of a call's own part.
    pub(crate) own_tokens: f64,
    /// Mean events of an answer.
    pub(crate) events: f64,
}

/// A load and what serves it.
#[derive(Clone, Debug)]
pub(crate) struct Day {
    pub(crate) seed: u64,
    pub(crate) nodes: usize,
    pub(crate) servers: usize,
    pub(crate) seconds: u64,
    pub(crate) timing: EngineTiming,
    pub(crate) sheets: Kind,
    pub(crate) chats: Kind,
    pub(crate) options: Options,
    pub(crate) peers: PeerOptions,
    /// Part of the long prompts that are about one subject.
    pub(crate) hot_ratio: f64,
}

/// What came of the calls of a kind.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Share {
    pub(crate) asked: usize,
    pub(crate) in_time: usize,
    pub(crate) late: usize,
    pub(crate) refused: usize,
}

impl Share {
    /// Part of the calls that were answered in time.
    pub(crate) fn in_time_ratio(&self) -> f64 {
        self.in_time as f64 / self.asked.max(1) as f64
    }
}

/// What came of a day.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) sheets: Share,
    pub(crate) chats: Share,
    /// Part of the shared tokens asked for that was read though some engine had read it.
    pub(crate) again_ratio: f64,
}

#[derive(Clone, Debug)]
struct Request {
    is_sheet: bool,
    prompt: Prompt,
    output: u64,
    arrived_us: u64,
    /// Whether it was refused once.
    came_back: bool,
    node: usize,
    attempt: Option<AttemptId>,
    first_us: Option<u64>,
    last_us: u64,
    pause_us: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Beat(usize),
    Arrival(usize),
    StepEnd(usize),
}

struct Play<'a> {
    day: &'a Day,
    start: Instant,
    now_us: u64,
    rng: SmallRng,
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    queued: u64,
    nodes: Vec<(Dispatcher, Peers)>,
    engines: Vec<Engine>,
    names: HashMap<String, usize>,
    read: HashSet<u64>,
    requests: Vec<Request>,
    outcome: Outcome,
}

impl Day {
    pub(crate) fn play(&self) -> Outcome {
        let mut play = Play::new(self);
        play.draw(true, &self.sheets);
        play.draw(false, &self.chats);
        let end_us = LEAD_US + (self.seconds + 5) * 1_000_000;
        while let Some(Reverse((at_us, _, event))) = play.queue.pop() {
            if at_us > end_us {
                break;
            }
            play.now_us = at_us;
            match event {
                Event::Beat(node) => play.beat(node),
                Event::Arrival(request) => play.arrive(request),
                Event::StepEnd(server) => play.step_end(server),
            }
        }
        let sums = |f: fn(&Engine) -> u64| play.engines.iter().map(f).sum::<u64>() as f64;
        let shared = sums(|e| e.shared_tokens).max(1.0);
        play.outcome.again_ratio = sums(|e| e.again_tokens) / shared;
        play.outcome
    }

    fn kind(&self, is_sheet: bool) -> &Kind {
        if is_sheet { &self.sheets } else { &self.chats }
    }
}

impl<'a> Play<'a> {
    fn new(day: &'a Day) -> Self {
        let engine = EngineSpec {
            slots: day.timing.slots as u32,
            memory_tokens: day.timing.cache_tokens,
            event_tokens: day.timing.event_tokens as u32,
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
        let seeds: Vec<SocketAddrV4> = (0..3.min(day.nodes)).map(address).collect();
        let names: Vec<String> = (0..day.servers).map(|s| format!("i-{s:04x}")).collect();
        let node = |node: usize| {
            let mut dispatcher = Dispatcher::new("recife".into(), day.options.clone());
            dispatcher.configure(&table);
            for name in &names {
                dispatcher.add_server(instance(name, MODELS, day.timing.slots as u32));
            }
            let peers = Peers::new(address(node), node as u64 + 1, seeds.clone(), day.peers);
            (dispatcher, peers)
        };
        let mut play = Self {
            day,
            start: Instant::now(),
            now_us: 0,
            rng: SmallRng::seed_from_u64(day.seed),
            queue: BinaryHeap::new(),
            queued: 0,
            nodes: (0..day.nodes).map(node).collect(),
            engines: (0..day.servers).map(|_| Engine::new(day.timing)).collect(),
            names: names.into_iter().zip(0..).collect(),
            read: HashSet::new(),
            requests: Vec::new(),
            outcome: Outcome::default(),
        };
        for node in 0..day.nodes {
            let at_us = play.rng.random_range(0..BEAT_US);
            play.push(at_us, Event::Beat(node));
        }
        play
    }

    fn push(&mut self, at_us: u64, event: Event) {
        self.queued += 1;
        self.queue.push(Reverse((at_us, self.queued, event)));
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_micros(self.now_us)
    }

    /// Draws all calls of a kind.
    fn draw(&mut self, is_sheet: bool, kind: &Kind) {
        let own = log_normal(kind.own_tokens, 1.0);
        let events = log_normal(kind.events, 0.7);
        let subjects = Zipf::new(kind.subject.1 as f64, 0.3).expect("a valid skew");
        let count = (kind.per_s * self.day.seconds as f64) as usize;
        let base = if is_sheet { 1 << 40 } else { 1 << 41 };
        for _ in 0..count {
            let rng = &mut self.rng;
            let own_tokens = own.sample(rng).clamp(20.0, kind.own_tokens * 14.0) as u32;
            let is_hot = is_sheet && rng.random_bool(self.day.hot_ratio);
            let subject = if is_hot {
                1
            } else {
                subjects.sample(rng) as u64
            };
            let common = subject % kind.common.1;
            let parts = vec![
                (base + common, kind.common.0),
                (base + 1_000 + subject, kind.subject.0),
                (rng.random::<u64>() | 1 << 63, own_tokens),
            ];
            let events = events.sample(rng).clamp(1.0, kind.events * 4.0);
            let output = (events * self.day.timing.event_tokens as f64) as u64;
            let at_us = LEAD_US + rng.random_range(0..self.day.seconds * 1_000_000);
            let request = Request {
                is_sheet,
                prompt: Prompt {
                    tokens: parts.iter().map(|(_, tokens)| tokens).sum(),
                    output_tokens_max: output as u32 * 2,
                    parts,
                },
                output,
                arrived_us: at_us,
                came_back: false,
                node: 0,
                attempt: None,
                first_us: None,
                last_us: 0,
                pause_us: 0,
            };
            self.requests.push(request);
            self.push(at_us, Event::Arrival(self.requests.len() - 1));
        }
    }

    fn beat(&mut self, node: usize) {
        let now = self.now();
        let (dispatcher, peers) = &mut self.nodes[node];
        let loads = dispatcher.reported_loads(now);
        let (beat, targets) = peers.next_heartbeat(now, 1, false, loads);
        for target in targets {
            let [_, _, high, low] = target.ip().octets();
            let target = usize::from(u16::from_be_bytes([high, low])) - 1;
            self.nodes[target].1.receive(now, beat.clone());
        }
        let (dispatcher, peers) = &mut self.nodes[node];
        dispatcher.set_peer_loads(&peers.loads(now), peers.sharing_nodes(now));
        self.push(self.now_us + BEAT_US, Event::Beat(node));
    }

    fn arrive(&mut self, index: usize) {
        let now = self.now();
        let node = self.rng.random_range(0..self.nodes.len());
        let request = &mut self.requests[index];
        let kind = *self.day.kind(request.is_sheet);
        request.node = node;
        let call = Call {
            service: MODELS.into(),
            is_most_urgent: kind.rank == 0,
            objective: Duration::from_millis(kind.target_ms),
            time_left: Duration::from_secs(4),
            is_resumed: false,
            prompt: Some(request.prompt.clone()),
        };
        let dispatcher = &mut self.nodes[node].0;
        dispatcher.record_arrival(now, &call);
        if !request.came_back {
            self.outcome.share(request.is_sheet).asked += 1;
        }
        match dispatcher.dispatch(now, &call, &[]) {
            Ok(placed) => {
                request.attempt = Some(placed.attempt);
                let server = self.names[placed.instance.id.as_str()];
                let mut is_known = |part| !self.read.insert(part);
                let engine = &mut self.engines[server];
                engine.push(
                    index,
                    kind.rank,
                    &request.prompt,
                    request.output,
                    &mut is_known,
                );
                if !engine.is_busy {
                    self.step(server);
                }
            }
            Err(Refusal::Busy { retry_after, .. }) if !request.came_back => {
                request.came_back = true;
                let at_us = self.now_us + retry_after.as_micros() as u64;
                self.push(at_us, Event::Arrival(index));
            }
            Err(_) => self.outcome.share(request.is_sheet).refused += 1,
        }
    }

    fn step(&mut self, server: usize) {
        if let Some(step_us) = self.engines[server].begin() {
            self.push(self.now_us + step_us, Event::StepEnd(server));
        }
    }

    fn step_end(&mut self, server: usize) {
        for progress in self.engines[server].end() {
            self.progress(progress);
        }
        self.step(server);
    }

    fn progress(&mut self, progress: Progress) {
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
        let kind = self.day.kind(request.is_sheet);
        let first_ms = request.first_us.map_or(0, |us| us - request.arrived_us) / 1_000;
        let is_in_time = first_ms <= kind.target_ms && request.pause_us / 1_000 <= kind.gap_ms;
        let share = self.outcome.share(request.is_sheet);
        if is_in_time {
            share.in_time += 1;
        } else {
            share.late += 1;
        }
    }
}

impl Outcome {
    fn share(&mut self, is_sheet: bool) -> &mut Share {
        if is_sheet {
            &mut self.sheets
        } else {
            &mut self.chats
        }
    }
}

/// A distribution by its mean, not that of its logarithm.
fn log_normal(mean: f64, sigma: f64) -> LogNormal<f64> {
    LogNormal::new(mean.ln() - sigma * sigma / 2.0, sigma).expect("a valid spread")
}
