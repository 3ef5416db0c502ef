//! A simulated fleet whose servers crash under calls with harmful parts.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use briarbank_core::flow::{
    AttemptId, Call, Dispatcher, Fault, Heartbeat, HeartbeatEntry, PartStatement, PeerOptions,
    Peers, Prompt, Refusal, RetryOptions, TierRank,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::fleet::{MODELS, dispatcher, instance};

const STEP: Duration = Duration::from_millis(10);

/// Steps between two heartbeats of a node.
const HEARTBEAT_STEPS: u32 = 8;

/// Time from a send to the first event, which is when a harmful part crashes the server.
const FIRST_EVENT: Duration = Duration::from_millis(100);

/// Time from a send to the end of the answer.
const ANSWER: Duration = Duration::from_millis(500);

/// Time after which a crashed server is back as a new process.
const RESTART: Duration = Duration::from_secs(3);

/// Attempts of a call.
const ATTEMPTS_MAX: u32 = 2;

/// First part of all calls that hold a harmful one, and of some others.
pub(crate) const SYSTEM: u64 = 100;

/// Part of the calls that come shortly before servers fail, and not before.
const BURST_PART: u64 = 300;

const BURST_CALLS: usize = 40;

/// Identities of plain calls that come often, and of those that hardly come twice.
const POPULAR: std::ops::Range<u64> = 1_000..1_010;
const SINGLE: std::ops::Range<u64> = 1 << 32..1 << 40;

const TEMPLATES: std::ops::Range<u64> = 200..240;

/// What happens in a simulated fleet.
#[derive(Clone, Debug)]
pub(crate) struct Scene {
    pub(crate) nodes: usize,
    pub(crate) servers: usize,
    pub(crate) seed: u64,
    /// Parts that crash servers from a time on; each comes in two calls a second.
    pub(crate) harmful: Vec<(u64, Duration)>,
    pub(crate) harmful_per_s: f64,
    /// A call that crashes servers itself; calls have no prompts then.
    pub(crate) harmful_call: Option<u64>,
    pub(crate) sound_per_s: f64,
    /// Number of first parts, one of which harmful calls have as well.
    pub(crate) systems: u64,
    /// Fraction of datagrams that are lost.
    pub(crate) lost_ratio: f64,
    /// Nodes that end when this many servers have crashed.
    pub(crate) killed: Option<(std::ops::Range<usize>, usize)>,
    /// Node that hears of no other one, and until when.
    pub(crate) cut_off: Option<(usize, Duration)>,
    /// Servers that crash at a time.
    pub(crate) failing: Option<(std::ops::Range<usize>, Duration)>,
    /// Servers that reset a fraction of the calls and go on.
    pub(crate) grey: Option<(std::ops::Range<usize>, f64)>,
}

impl Scene {
    pub(crate) fn new(nodes: usize, harmful: &[u64]) -> Self {
        Self {
            nodes,
            servers: (nodes / 2).max(12),
            seed: 1,
            harmful: harmful.iter().map(|p| (*p, Duration::ZERO)).collect(),
            harmful_per_s: 2.0,
            harmful_call: None,
            sound_per_s: 40.0,
            systems: 3,
            lost_ratio: 0.0,
            killed: None,
            cut_off: None,
            failing: None,
            grey: None,
        }
    }
}

struct Node {
    dispatcher: Dispatcher,
    peers: Peers,
    is_killed: bool,
}

struct ServerProcess {
    born_ms: u64,
    /// Set while it is down.
    back_at: Option<Duration>,
}

struct Flight {
    node: usize,
    attempt: AttemptId,
    server: usize,
    born_ms: u64,
    sent: Duration,
    call: Call,
    is_harmful: bool,
    tries: u32,
    is_reset: bool,
}

/// A simulated fleet, and what was seen of it.
pub(crate) struct Fleet {
    scene: Scene,
    started_at: Instant,
    pub(crate) elapsed: Duration,
    nodes: Vec<Node>,
    servers: Vec<ServerProcess>,
    flights: Vec<Flight>,
    /// When the connection of a node to a server was opened.
    connections: HashMap<(usize, usize), Duration>,
    in_transit: Vec<(usize, Heartbeat, Vec<PartStatement>)>,
    rng: SmallRng,
    step: u32,
    /// Times of crashes under harmful calls.
    pub(crate) crashes: Vec<Duration>,
    /// Times at which nodes in touch sent harmful calls to servers.
    pub(crate) harmful_sends: Vec<Duration>,
    /// Times at which nodes in touch refused sound calls as harmful.
    pub(crate) sound_refusals: Vec<Duration>,
    /// Number of sound calls that the node that was cut off refused.
    pub(crate) cut_off_refusals: usize,
    pub(crate) sound_served: usize,
    /// Times and sizes of lists of statements in datagrams.
    pub(crate) sent_bytes: Vec<(Duration, usize)>,
}

fn address(index: usize) -> SocketAddrV4 {
    let [high, low] = (index as u16).to_be_bytes();
    SocketAddrV4::new(Ipv4Addr::new(10, 1, high, low), 7_000)
}

fn node(scene: &Scene, index: usize, now: Instant) -> Node {
    let mut dispatcher = dispatcher(0, 0);
    dispatcher.set_retry_options(RetryOptions {
        ratio: 1.0,
        extra: 1_000.0,
        ..RetryOptions::default()
    });
    for server in 0..scene.servers {
        let mut instance = instance(&format!("m{server}"), MODELS, 100);
        instance.born_ms = 1;
        dispatcher.add_server(now, instance);
    }
    let entry = |index| HeartbeatEntry {
        address: address(index),
        incarnation: 1,
        count: 0,
    };
    let mut peers = Peers::new(address(index), 1, Vec::new(), PeerOptions::default());
    let heartbeat = Heartbeat {
        sender: entry((index + 1) % scene.nodes),
        is_leaving: false,
        is_watching: true,
        revision: 1,
        loads: Vec::new(),
        entries: (0..scene.nodes).map(entry).collect(),
    };
    peers.receive(now, heartbeat);
    Node {
        dispatcher,
        peers,
        is_killed: false,
    }
}

/// Returns a call with these shared parts.
pub(crate) fn call(parts: &[u64]) -> Call {
    let shared = parts.iter().map(|part| (*part, 100));
    Call {
        service: MODELS.into(),
        tier_rank: TierRank::First,
        objective: Duration::from_millis(500),
        time_left: Duration::from_secs(5),
        version: None,
        key_version: None,
        identity: None,
        allowed_regions: Vec::new(),
        prompt: Some(Prompt {
            tokens: 500,
            output_tokens_max: 100,
            parts: shared.chain([(9_999, 200)]).collect(),
        }),
    }
}

/// Returns a call without a prompt.
pub(crate) fn plain_call(identity: u64) -> Call {
    Call {
        identity: Some(identity),
        allowed_regions: Vec::new(),
        prompt: None,
        ..call(&[])
    }
}

impl Fleet {
    pub(crate) fn new(scene: Scene) -> Self {
        let started_at = Instant::now();
        Self {
            nodes: (0..scene.nodes)
                .map(|index| node(&scene, index, started_at))
                .collect(),
            servers: (0..scene.servers)
                .map(|_| ServerProcess {
                    born_ms: 1,
                    back_at: None,
                })
                .collect(),
            flights: Vec::new(),
            connections: HashMap::new(),
            in_transit: Vec::new(),
            rng: SmallRng::seed_from_u64(scene.seed),
            started_at,
            elapsed: Duration::ZERO,
            step: 0,
            crashes: Vec::new(),
            harmful_sends: Vec::new(),
            sound_refusals: Vec::new(),
            cut_off_refusals: 0,
            sound_served: 0,
            sent_bytes: Vec::new(),
            scene,
        }
    }

    pub(crate) fn run_until(&mut self, end: Duration) {
        while self.elapsed < end {
            self.advance();
        }
    }

    fn now(&self) -> Instant {
        self.started_at + self.elapsed
    }

    fn advance(&mut self) {
        self.elapsed += STEP;
        self.step += 1;
        self.restart_servers();
        self.send_burst();
        self.fail_servers();
        self.kill_nodes();
        self.exchange_heartbeats();
        self.make_calls();
        self.move_flights();
    }

    fn restart_servers(&mut self) {
        let now = self.now();
        for (index, server) in self.servers.iter_mut().enumerate() {
            if server.back_at.is_none_or(|at| at > self.elapsed) {
                continue;
            }
            server.back_at = None;
            server.born_ms += 1;
            for node in &mut self.nodes {
                let mut instance = instance(&format!("m{index}"), MODELS, 100);
                instance.born_ms = server.born_ms;
                node.dispatcher.add_server(now, instance);
            }
        }
    }

    /// Sends many calls with a new part shortly before servers fail, and some later.
    fn send_burst(&mut self) {
        let Some((_, failing_at)) = self.scene.failing else {
            return;
        };
        let calls = if self.elapsed + FIRST_EVENT / 2 == failing_at {
            BURST_CALLS
        } else {
            let is_later = self.elapsed > failing_at;
            usize::from(is_later && self.rng.random_bool(2.0 * STEP.as_secs_f64()))
        };
        for _ in 0..calls {
            self.call_at_random(&[SYSTEM, BURST_PART]);
        }
    }

    fn fail_servers(&mut self) {
        if let Some((servers, at)) = self.scene.failing.clone()
            && at == self.elapsed
        {
            servers.for_each(|server| self.crash(server));
        }
    }

    fn crash(&mut self, server: usize) {
        self.servers[server].back_at = Some(self.elapsed + RESTART);
        self.connections.retain(|(_, to), _| *to != server);
        let broken = |flight: &mut Flight| flight.server == server;
        let flights: Vec<Flight> = self.flights.extract_if(.., broken).collect();
        for flight in flights {
            self.fail(flight, Fault::Broken);
        }
    }

    fn fail(&mut self, flight: Flight, fault: Fault) {
        let now = self.now();
        let node = &mut self.nodes[flight.node];
        node.dispatcher.record_failure(now, flight.attempt, fault);
        let is_retried = flight.tries < ATTEMPTS_MAX || fault == Fault::Unreachable;
        if is_retried && !node.is_killed && flight.tries < 5 {
            self.send(
                flight.node,
                flight.call,
                flight.is_harmful,
                flight.tries,
                Some(flight.server),
            );
        }
    }

    fn kill_nodes(&mut self) {
        if let Some((nodes, crashes)) = self.scene.killed.clone()
            && self.crashes.len() >= crashes
        {
            self.flights.retain(|f| !nodes.contains(&f.node));
            nodes.for_each(|index| self.nodes[index].is_killed = true);
            self.scene.killed = None;
        }
    }

    fn is_cut_off(&self, node: usize) -> bool {
        let cut_off = self.scene.cut_off;
        cut_off.is_some_and(|(index, until)| index == node && self.elapsed < until)
    }

    fn exchange_heartbeats(&mut self) {
        let now = self.now();
        for (target, heartbeat, statements) in std::mem::take(&mut self.in_transit) {
            let node = &mut self.nodes[target];
            node.peers.receive(now, heartbeat);
            node.dispatcher.receive_parts(now, &statements);
        }
        for index in 0..self.nodes.len() {
            let is_due = (self.step + index as u32).is_multiple_of(HEARTBEAT_STEPS);
            if is_due && !self.nodes[index].is_killed {
                self.send_heartbeats(now, index);
            }
        }
    }

    fn send_heartbeats(&mut self, now: Instant, index: usize) {
        let node = &mut self.nodes[index];
        let statements = node.dispatcher.part_statements(now);
        let (heartbeat, targets) = node.peers.next_heartbeat(now, 1, true, Vec::new());
        let bytes = if statements.is_empty() {
            0
        } else {
            bincode::serde::encode_to_vec(&statements, bincode::config::standard())
                .map_or(0, |b| b.len())
        };
        for target in targets {
            let [_, _, high, low] = target.ip().octets();
            let target = usize::from(u16::from_be_bytes([high, low]));
            self.sent_bytes.push((self.elapsed, bytes));
            let is_lost = self.rng.random_bool(self.scene.lost_ratio);
            let is_down = self.nodes[target].is_killed;
            if !is_lost && !is_down && !self.is_cut_off(index) && !self.is_cut_off(target) {
                self.in_transit
                    .push((target, heartbeat.clone(), statements.clone()));
            }
        }
    }

    fn make_calls(&mut self) {
        let step_s = STEP.as_secs_f64();
        if self.rng.random_bool(self.scene.sound_per_s * step_s) {
            if self.scene.harmful_call.is_some() {
                // Some calls come again and again, others only once.
                let is_popular = self.rng.random_bool(0.5);
                let identities = if is_popular { POPULAR } else { SINGLE };
                let (node, identity) = (self.random_node(), self.rng.random_range(identities));
                return self.send(node, plain_call(identity), false, 0, None);
            }
            let system = SYSTEM + self.rng.random_range(0..self.scene.systems);
            let template = self.rng.random_range(TEMPLATES);
            self.call_at_random(&[system, template]);
        }
        if let Some(identity) = self.scene.harmful_call {
            if self.rng.random_bool(self.scene.harmful_per_s * step_s) {
                let node = self.random_node();
                self.send(node, plain_call(identity), true, 0, None);
            }
            return;
        }
        for (part, _) in self.scene.harmful.clone() {
            if self.rng.random_bool(self.scene.harmful_per_s * step_s) {
                let template = self.rng.random_range(TEMPLATES);
                self.call_at_random(&[SYSTEM, part, template]);
            }
        }
    }

    fn random_node(&mut self) -> usize {
        let live = (0..self.nodes.len()).filter(|index| !self.nodes[*index].is_killed);
        let live: Vec<usize> = live.collect();
        live[self.rng.random_range(0..live.len())]
    }

    fn call_at_random(&mut self, parts: &[u64]) {
        let node = self.random_node();
        let harmful = self.scene.harmful.iter();
        let mut harmful = harmful.filter(|(_, from)| *from <= self.elapsed);
        let is_harmful = harmful.any(|(part, _)| parts.contains(part));
        self.send(node, call(parts), is_harmful, 0, None);
    }

    fn send(
        &mut self,
        node: usize,
        call: Call,
        is_harmful: bool,
        tries: u32,
        avoid: Option<usize>,
    ) {
        let now = self.now();
        let avoid: Vec<_> = avoid
            .map(|s| format!("m{s}").as_str().into())
            .into_iter()
            .collect();
        let placed = self.nodes[node].dispatcher.dispatch(now, &call, &avoid);
        let placement = match placed {
            Ok(placement) => placement,
            Err(refusal) => {
                if refusal == Refusal::HarmfulPrompt && !is_harmful {
                    if self.is_cut_off(node) {
                        self.cut_off_refusals += 1;
                    } else {
                        self.sound_refusals.push(self.elapsed);
                    }
                }
                return;
            }
        };
        let name = placement.instance.id.as_str();
        let server: usize = name.trim_start_matches('m').parse().unwrap_or_default();
        let grey = self.scene.grey.clone();
        let is_reset = grey.is_some_and(|(servers, ratio)| {
            servers.contains(&server) && self.rng.random_bool(ratio)
        });
        let flight = Flight {
            node,
            attempt: placement.attempt,
            server,
            born_ms: placement.instance.born_ms,
            sent: self.elapsed,
            call,
            is_harmful,
            tries: tries + 1,
            is_reset,
        };
        if self.servers[server].back_at.is_some() {
            self.fail(flight, Fault::Unreachable);
            return;
        }
        let opened = self.connections.entry((node, server));
        let opened = self.started_at + *opened.or_insert(self.elapsed);
        let dispatcher = &mut self.nodes[node].dispatcher;
        dispatcher.record_connection(flight.attempt, opened);
        if is_harmful && !self.is_cut_off(node) {
            self.harmful_sends.push(self.elapsed);
        }
        self.flights.push(flight);
    }

    fn move_flights(&mut self) {
        let now = self.now();
        let mut flights = std::mem::take(&mut self.flights);
        flights.retain_mut(|flight| {
            let age = self.elapsed.saturating_sub(flight.sent);
            let dispatcher = &mut self.nodes[flight.node].dispatcher;
            if age >= ANSWER {
                dispatcher.record_success(now, flight.attempt);
                self.sound_served += 1;
                return false;
            }
            if age >= FIRST_EVENT && !flight.is_harmful && !flight.is_reset {
                dispatcher.record_first_event(now, flight.attempt);
            }
            true
        });
        self.flights = flights;
        while let Some(index) = self.flights.iter().position(|f| {
            (f.is_harmful || f.is_reset) && self.elapsed.saturating_sub(f.sent) >= FIRST_EVENT
        }) {
            let flight = self.flights.swap_remove(index);
            let server = flight.server;
            self.connections.remove(&(flight.node, server));
            let (is_harmful, is_running) = (
                flight.is_harmful,
                flight.born_ms == self.servers[server].born_ms,
            );
            self.fail(flight, Fault::Broken);
            if is_harmful && is_running {
                self.crashes.push(self.elapsed);
                self.crash(server);
            }
        }
    }

    /// Returns the number of nodes in touch that send a call with these parts to a server.
    pub(crate) fn count_sending(&mut self, parts: &[u64]) -> usize {
        self.count_sending_call(&call(parts))
    }

    /// Returns the number of nodes in touch that send the call to a server.
    pub(crate) fn count_sending_call(&mut self, call: &Call) -> usize {
        let now = self.now();
        let mut count = 0;
        for index in 0..self.nodes.len() {
            if self.nodes[index].is_killed || self.is_cut_off(index) {
                continue;
            }
            let dispatcher = &mut self.nodes[index].dispatcher;
            if let Ok(placement) = dispatcher.dispatch(now, call, &[]) {
                dispatcher.record_failure(now, placement.attempt, Fault::Cancelled);
                count += 1;
            }
        }
        count
    }

    /// Runs until no node in touch sends such a call, and returns when that was.
    pub(crate) fn run_until_refused(&mut self, parts: &[u64], end: Duration) -> Option<Duration> {
        while self.elapsed < end {
            self.advance();
            if self.step.is_multiple_of(5)
                && self.crashes.len() >= 2
                && self.count_sending(parts) == 0
            {
                return Some(self.elapsed);
            }
        }
        None
    }

    /// Returns the bytes of statements that a node sends each second between two times.
    pub(crate) fn bytes_per_s(&self, from: Duration, until: Duration) -> f64 {
        let sent = self.sent_bytes.iter();
        let within = sent.filter(|(at, _)| *at >= from && *at < until);
        let sum: usize = within.map(|(_, bytes)| bytes).sum();
        sum as f64 / self.scene.nodes as f64 / until.saturating_sub(from).as_secs_f64()
    }
}
