//! Simulates one run: nodes dispatch calls to engines in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use briarbank_core::call::{Call, Dispatch, Failure, ServerLoad};
use briarbank_core::ids::{AttemptId, CallId, Incarnation};
use briarbank_core::router::{Action, AttemptEvent, Event, Options, Router};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::baseline::{Baseline, BaselineKind};
use crate::engine::Engine;
use crate::report::{CallEnd, Report};
use crate::workload::{
    Arrival, BETWEEN_TOKENS_US, BURST, CLASSES, DURATION_MS, FIRST_TOKEN_US, LOWEST, SERVER_COUNT,
    Scenario, Span, catalog, fleet, server_name, workspace_name,
};

const TICK_US: u64 = 50_000;
const REPORT_US: u64 = 1_000_000;
const SAMPLE_US: u64 = 100_000;
const WINDOW_SAMPLES: usize = 100;
const CHUNK_TOKENS: u32 = 8;
const DOWN_US: u64 = 15_000_000;
/// Callers leave after this multiple of their latency objective.
const CALLER_TIMEOUT_FACTOR: u64 = 2;

/// Policy of the simulated nodes.
#[derive(Clone, Copy)]
pub(crate) enum Policy {
    Baseline(BaselineKind),
    Router,
}

enum Node {
    Baseline(Box<Baseline>),
    Router(Box<Router>),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimulationEvent {
    Arrive(usize),
    Tokens(AttemptId),
    CallerGone(usize),
    Tick,
    Report(usize),
    Load {
        server: usize,
        running: u32,
        waiting: u32,
    },
    Slow(bool),
    Crash(usize),
    Restart(usize),
    Sample,
}

struct CallState {
    arrival: Arrival,
    node: usize,
    tokens: u32,
    started: bool,
    ended: bool,
}

struct Attempt {
    call: usize,
    server: usize,
    tokens: u32,
}

/// One run.
pub(crate) struct Simulation<'a> {
    scenario: &'a Scenario,
    start: Instant,
    now_us: u64,
    events: BinaryHeap<Reverse<(u64, u64, SimulationEvent)>>,
    event_count: u64,
    nodes: Vec<Node>,
    engines: Vec<Engine>,
    calls: Vec<CallState>,
    attempts: HashMap<AttemptId, Attempt>,
    open_calls: usize,
    generated: u64,
    samples: VecDeque<(usize, usize, bool)>,
    least_share: Option<f64>,
}

impl<'a> Simulation<'a> {
    pub(crate) fn new(scenario: &'a Scenario, policy: Policy, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let calls: Vec<_> = scenario
            .arrivals(&mut rng)
            .into_iter()
            .map(|arrival| CallState {
                arrival,
                node: rng.random_range(0..scenario.nodes),
                tokens: 0,
                started: false,
                ended: false,
            })
            .collect();
        let node = |index: usize| Node::new(policy, scenario.nodes, index, seed);
        Self {
            scenario,
            start: Instant::now(),
            now_us: 0,
            events: BinaryHeap::new(),
            event_count: 0,
            nodes: (0..scenario.nodes).map(node).collect(),
            engines: (0..SERVER_COUNT).map(|_| Engine::default()).collect(),
            open_calls: calls.len(),
            calls,
            attempts: HashMap::new(),
            generated: 0,
            samples: VecDeque::new(),
            least_share: None,
        }
    }

    /// Runs until every call has ended.
    pub(crate) fn run(mut self, report: &mut Report) {
        self.schedule_initial_events();
        while self.open_calls > 0 {
            let Some(Reverse((at_us, _, event))) = self.events.pop() else {
                panic!("no events left before all calls ended");
            };
            self.now_us = at_us;
            self.handle(event, report);
        }
        report.record_run(self.generated, self.least_share);
    }

    fn schedule_initial_events(&mut self) {
        for node in 0..self.nodes.len() {
            self.send_event(node, Event::Catalog(Arc::new(catalog())), None);
            self.send_event(node, Event::Fleet(Arc::new(fleet())), None);
            self.send_event(node, Event::SharingNodes(self.scenario.nodes), None);
        }
        for index in 0..self.calls.len() {
            self.schedule_at(
                self.calls[index].arrival.at_us,
                SimulationEvent::Arrive(index),
            );
        }
        if let Some(Span(from, to)) = self.scenario.stragglers {
            self.schedule_at(from * 1_000, SimulationEvent::Slow(true));
            self.schedule_at(to * 1_000, SimulationEvent::Slow(false));
        }
        for (server, at_ms) in self.scenario.crashes_ms.iter().enumerate() {
            self.schedule_at(at_ms * 1_000, SimulationEvent::Crash(server));
            self.schedule_at(at_ms * 1_000 + DOWN_US, SimulationEvent::Restart(server));
        }
        for server in 0..SERVER_COUNT {
            self.schedule_at(server as u64 * 77_000, SimulationEvent::Report(server));
        }
        self.schedule_at(0, SimulationEvent::Tick);
        self.schedule_at(0, SimulationEvent::Sample);
    }

    fn schedule_at(&mut self, at_us: u64, event: SimulationEvent) {
        self.event_count += 1;
        self.events.push(Reverse((at_us, self.event_count, event)));
    }

    fn schedule_after(&mut self, delay_us: u64, event: SimulationEvent) {
        self.schedule_at(self.now_us + delay_us, event);
    }

    fn handle(&mut self, event: SimulationEvent, report: &mut Report) {
        match event {
            SimulationEvent::Arrive(index) => self.handle_arrival(index, report),
            SimulationEvent::Tokens(attempt) => self.generate_tokens(attempt, report),
            SimulationEvent::CallerGone(index) => self.handle_caller_gone(index, report),
            SimulationEvent::Tick => {
                for node in 0..self.nodes.len() {
                    self.send_event(node, Event::Tick, Some(report));
                }
                self.schedule_after(TICK_US, SimulationEvent::Tick);
            }
            SimulationEvent::Report(server) => self.send_load_report(server),
            SimulationEvent::Load {
                server,
                running,
                waiting,
            } => self.deliver_load(server, running, waiting, report),
            SimulationEvent::Slow(slow) => {
                for engine in self.engines.iter_mut().rev().take(SERVER_COUNT / 6) {
                    engine.slowness = if slow { 5 } else { 1 };
                }
            }
            SimulationEvent::Crash(server) => {
                for attempt in self.engines[server].crash() {
                    self.fail_attempt(attempt, Failure::Broken, report);
                }
            }
            SimulationEvent::Restart(server) => self.engines[server].is_down = false,
            SimulationEvent::Sample => self.sample_slots(),
        }
    }

    fn handle_arrival(&mut self, index: usize, report: &mut Report) {
        let call = &self.calls[index];
        let plan = &CLASSES[call.arrival.class];
        let event = Event::Arrive(Call {
            id: CallId(index as u64),
            request: format!("r{index}").as_str().into(),
            profile: plan.name.into(),
            workspace: workspace_name(call.arrival.workspace).as_str().into(),
            target: "model".into(),
            prefix_key: call.arrival.prefix_key,
            max_tokens: plan.max_tokens,
            received: self.instant(),
            first_try: true,
        });
        let node = call.node;
        self.schedule_after(
            plan.whole_ms * 1_000 * CALLER_TIMEOUT_FACTOR,
            SimulationEvent::CallerGone(index),
        );
        self.send_event(node, event, Some(report));
    }

    fn handle_caller_gone(&mut self, index: usize, report: &mut Report) {
        let call = &self.calls[index];
        if !call.ended {
            let event = Event::CallerGone(CallId(index as u64));
            self.send_event(call.node, event, Some(report));
        }
    }

    fn send_load_report(&mut self, server: usize) {
        let load = self.engines[server].load();
        let event = SimulationEvent::Load {
            server,
            running: load.running,
            waiting: load.waiting,
        };
        self.schedule_after(self.scenario.report_lag_ms * 1_000, event);
        self.schedule_after(REPORT_US, SimulationEvent::Report(server));
    }

    fn deliver_load(&mut self, server: usize, running: u32, waiting: u32, report: &mut Report) {
        let load = ServerLoad {
            running,
            waiting,
            age_ms: self.scenario.report_lag_ms,
        };
        for node in 0..self.nodes.len() {
            let server = server_name(server).as_str().into();
            self.send_event(node, Event::Load { server, load }, Some(report));
        }
    }

    fn generate_tokens(&mut self, id: AttemptId, report: &mut Report) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let (index, server, had) = (attempt.call, attempt.server, attempt.tokens);
        if !self.engines[server].is_running(id) {
            return;
        }
        let length = self.calls[index].arrival.tokens;
        let first = had == self.calls[index].tokens && had == 0;
        let chunk = if first { 1 } else { CHUNK_TOKENS };
        let tokens = (had + chunk).min(length);
        self.generated += u64::from(tokens - had);
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.tokens = tokens;
        }
        self.calls[index].tokens = tokens;
        let node = self.calls[index].node;
        let event = AttemptEvent::Progress { tokens };
        self.send_event(node, Event::Attempt { attempt: id, event }, Some(report));
        if tokens < length {
            let chunk = CHUNK_TOKENS.min(length - tokens);
            let delay_us = u64::from(chunk) * BETWEEN_TOKENS_US * self.engines[server].slowness;
            self.schedule_after(delay_us, SimulationEvent::Tokens(id));
        } else {
            self.finish_attempt(id, server, node, report);
        }
    }

    fn finish_attempt(&mut self, id: AttemptId, server: usize, node: usize, report: &mut Report) {
        self.attempts.remove(&id);
        self.engines[server].remove(id);
        self.start_attempts(server, report);
        let load = self.engines[server].load();
        let name = server_name(server).as_str().into();
        self.send_event(node, Event::Load { server: name, load }, Some(report));
        let event = AttemptEvent::Done;
        self.send_event(node, Event::Attempt { attempt: id, event }, Some(report));
    }

    fn fail_attempt(&mut self, id: AttemptId, failure: Failure, report: &mut Report) {
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        let node = self.calls[attempt.call].node;
        let event = AttemptEvent::Failed(failure);
        self.send_event(node, Event::Attempt { attempt: id, event }, Some(report));
    }

    fn send_event(&mut self, node: usize, event: Event, report: Option<&mut Report>) {
        let mut actions = Vec::new();
        let now = self.instant();
        self.nodes[node].handle(now, event, &mut actions);
        let Some(report) = report else {
            return;
        };
        for action in actions {
            match action {
                Action::Dispatch(dispatch) => self.start_dispatch(&dispatch, report),
                Action::Cancel { attempt, .. } => self.cancel_attempt(attempt, report),
                Action::Refuse { call, .. } => self.end_call(call, false, report),
                Action::End { call, outcome } => {
                    let completed = outcome == briarbank_core::call::Outcome::Completed;
                    self.end_call(call, completed, report);
                }
            }
        }
    }

    fn start_dispatch(&mut self, dispatch: &Dispatch, report: &mut Report) {
        let index = dispatch.call.0 as usize;
        let server = server_index(dispatch.server.as_str());
        let tokens = if dispatch.resume {
            self.calls[index].tokens
        } else {
            0
        };
        self.calls[index].tokens = tokens;
        let attempt = Attempt {
            call: index,
            server,
            tokens,
        };
        self.attempts.insert(dispatch.attempt, attempt);
        if self.engines[server].is_down {
            self.fail_attempt(dispatch.attempt, Failure::NotSent, report);
            return;
        }
        self.engines[server].enqueue(dispatch.tier, dispatch.attempt);
        self.start_attempts(server, report);
    }

    fn start_attempts(&mut self, server: usize, report: &mut Report) {
        while let Some(id) = self.engines[server].start_next() {
            let delay_us = FIRST_TOKEN_US * self.engines[server].slowness;
            self.schedule_after(delay_us, SimulationEvent::Tokens(id));
            let index = self.attempts[&id].call;
            self.record_wait(index, report);
        }
    }

    fn cancel_attempt(&mut self, id: AttemptId, report: &mut Report) {
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        self.engines[attempt.server].remove(id);
        self.start_attempts(attempt.server, report);
    }

    fn end_call(&mut self, call: CallId, completed: bool, report: &mut Report) {
        let index = call.0 as usize;
        self.record_wait(index, report);
        let call = &mut self.calls[index];
        assert!(!call.ended, "call ended twice");
        call.ended = true;
        self.open_calls -= 1;
        let plan = &CLASSES[call.arrival.class];
        let took_us = self.now_us - call.arrival.at_us;
        report.record_call(&CallEnd {
            class: call.arrival.class,
            workspace: call.arrival.workspace,
            tokens: call.arrival.tokens,
            completed,
            in_burst: (BURST.0..BURST.1).contains(&(self.now_us / 1_000)),
            in_time: completed && took_us <= plan.whole_ms * 1_000,
        });
    }

    /// Records the wait of a call until an engine starts it or it ends.
    fn record_wait(&mut self, index: usize, report: &mut Report) {
        let call = &mut self.calls[index];
        if !call.started && call.arrival.class == LOWEST {
            report.record_wait(self.now_us - call.arrival.at_us);
        }
        call.started = true;
    }

    /// Samples the share of busy slots that the lowest class has.
    ///
    /// Only windows of ten seconds in which some of its calls waited all the time count.
    fn sample_slots(&mut self) {
        self.schedule_after(SAMPLE_US, SimulationEvent::Sample);
        let running = self.engines.iter().flat_map(Engine::running);
        let classes = running.map(|id| self.calls[self.attempts[&id].call].arrival.class);
        let (mut busy, mut lowest) = (0, 0);
        for class in classes {
            busy += 1;
            lowest += usize::from(class == LOWEST);
        }
        let arrived = self
            .calls
            .iter()
            .take_while(|c| c.arrival.at_us <= self.now_us);
        let waits = arrived
            .filter(|c| c.arrival.class == LOWEST)
            .any(|c| !c.started);
        self.samples.push_back((busy, lowest, waits));
        if self.samples.len() > WINDOW_SAMPLES {
            self.samples.pop_front();
        }
        let waited = self.samples.iter().all(|(_, _, waits)| *waits);
        if self.samples.len() < WINDOW_SAMPLES || !waited || self.now_us > DURATION_MS * 1_000 {
            return;
        }
        let busy: usize = self.samples.iter().map(|(busy, _, _)| busy).sum();
        let lowest: usize = self.samples.iter().map(|(_, lowest, _)| lowest).sum();
        let share = lowest as f64 / busy.max(1) as f64;
        self.least_share = Some(self.least_share.unwrap_or(1.0).min(share));
    }

    fn instant(&self) -> Instant {
        self.start + Duration::from_micros(self.now_us)
    }
}

impl Node {
    fn new(policy: Policy, nodes: usize, index: usize, seed: u64) -> Self {
        let incarnation = Incarnation(index as u64);
        let seed = seed * 1_000 + index as u64;
        match policy {
            Policy::Baseline(kind) => {
                Self::Baseline(Box::new(Baseline::new(kind, nodes, incarnation, seed)))
            }
            Policy::Router => {
                Self::Router(Box::new(Router::new(Options::default(), incarnation, seed)))
            }
        }
    }

    fn handle(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        match self {
            Self::Baseline(baseline) => baseline.handle(event, actions),
            Self::Router(router) => router.handle(now, event, actions),
        }
    }
}

fn server_index(name: &str) -> usize {
    (0..SERVER_COUNT)
        .find(|index| server_name(*index) == name)
        .expect("a listed server")
}
