//! Plays one run: arrivals and service times against the nodes' state machines.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use briarbank_core::call::{Call, Dispatch, Failure, ServerLoad};
use briarbank_core::ids::{AttemptId, CallId, Incarnation};
use briarbank_core::router::{Action, AttemptEvent, Event, Options, Router};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::baseline::{Baseline, Kind};
use crate::engine::Engine;
use crate::report::{CallEnd, Report};
use crate::workload::{
    Arrival, BETWEEN_TOKENS_US, BURST, CLASSES, DURATION_MS, FIRST_TOKEN_US, LOWEST, SERVER_COUNT,
    Situation, Span, catalog, fleet, server_name, workspace_name,
};

const TICK_US: u64 = 50_000;
const REPORT_US: u64 = 1_000_000;
const SAMPLE_US: u64 = 100_000;
const WINDOW_SAMPLES: usize = 100;
const CHUNK_TOKENS: u32 = 8;
const DOWN_US: u64 = 15_000_000;
/// Callers go away after this multiple of their target.
const PATIENCE: u64 = 2;

/// Which policy is played.
#[derive(Clone, Copy)]
pub(crate) enum Side {
    Baseline(Kind),
    Router,
}

enum Node {
    Baseline(Box<Baseline>),
    Router(Box<Router>),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Arrive(usize),
    Tokens(AttemptId),
    Gone(usize),
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
pub(crate) struct Play<'a> {
    situation: &'a Situation,
    begin: Instant,
    now_us: u64,
    happenings: BinaryHeap<Reverse<(u64, u64, Happening)>>,
    next: u64,
    nodes: Vec<Node>,
    engines: Vec<Engine>,
    calls: Vec<CallState>,
    attempts: HashMap<AttemptId, Attempt>,
    open: usize,
    generated: u64,
    samples: VecDeque<(usize, usize, bool)>,
    least_share: Option<f64>,
}

impl<'a> Play<'a> {
    pub(crate) fn new(situation: &'a Situation, side: Side, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let calls: Vec<_> = situation
            .arrivals(&mut rng)
            .into_iter()
            .map(|arrival| CallState {
                arrival,
                node: rng.random_range(0..situation.nodes),
                tokens: 0,
                started: false,
                ended: false,
            })
            .collect();
        let node = |index: usize| Node::new(side, situation.nodes, index, seed);
        Self {
            situation,
            begin: Instant::now(),
            now_us: 0,
            happenings: BinaryHeap::new(),
            next: 0,
            nodes: (0..situation.nodes).map(node).collect(),
            engines: (0..SERVER_COUNT).map(|_| Engine::default()).collect(),
            open: calls.len(),
            calls,
            attempts: HashMap::new(),
            generated: 0,
            samples: VecDeque::new(),
            least_share: None,
        }
    }

    /// Plays until every call has ended.
    pub(crate) fn run(mut self, report: &mut Report) {
        self.prepare();
        while self.open > 0 {
            let Some(Reverse((at_us, _, happening))) = self.happenings.pop() else {
                panic!("calls without an end");
            };
            self.now_us = at_us;
            self.happen(happening, report);
        }
        report.run(self.generated, self.least_share);
    }

    fn prepare(&mut self) {
        for node in 0..self.nodes.len() {
            self.tell(node, Event::Catalog(Arc::new(catalog())), None);
            self.tell(node, Event::Fleet(Arc::new(fleet())), None);
            self.tell(node, Event::SharingNodes(self.situation.nodes), None);
        }
        for index in 0..self.calls.len() {
            self.at(self.calls[index].arrival.at_us, Happening::Arrive(index));
        }
        if let Some(Span(from, to)) = self.situation.stragglers {
            self.at(from * 1_000, Happening::Slow(true));
            self.at(to * 1_000, Happening::Slow(false));
        }
        for (server, at_ms) in self.situation.crashes_ms.iter().enumerate() {
            self.at(at_ms * 1_000, Happening::Crash(server));
            self.at(at_ms * 1_000 + DOWN_US, Happening::Restart(server));
        }
        for server in 0..SERVER_COUNT {
            self.at(server as u64 * 77_000, Happening::Report(server));
        }
        self.at(0, Happening::Tick);
        self.at(0, Happening::Sample);
    }

    fn at(&mut self, at_us: u64, happening: Happening) {
        self.next += 1;
        self.happenings.push(Reverse((at_us, self.next, happening)));
    }

    fn after(&mut self, delay_us: u64, happening: Happening) {
        self.at(self.now_us + delay_us, happening);
    }

    fn happen(&mut self, happening: Happening, report: &mut Report) {
        match happening {
            Happening::Arrive(index) => self.arrive(index, report),
            Happening::Tokens(attempt) => self.tokens(attempt, report),
            Happening::Gone(index) => self.gone(index, report),
            Happening::Tick => {
                for node in 0..self.nodes.len() {
                    self.tell(node, Event::Tick, Some(report));
                }
                self.after(TICK_US, Happening::Tick);
            }
            Happening::Report(server) => self.report(server),
            Happening::Load {
                server,
                running,
                waiting,
            } => self.deliver(server, running, waiting, report),
            Happening::Slow(slow) => {
                for engine in self.engines.iter_mut().rev().take(SERVER_COUNT / 6) {
                    engine.slowness = if slow { 5 } else { 1 };
                }
            }
            Happening::Crash(server) => {
                for attempt in self.engines[server].crash() {
                    self.fail(attempt, Failure::Broken, report);
                }
            }
            Happening::Restart(server) => self.engines[server].is_down = false,
            Happening::Sample => self.sample(),
        }
    }

    fn arrive(&mut self, index: usize, report: &mut Report) {
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
        self.after(plan.whole_ms * 1_000 * PATIENCE, Happening::Gone(index));
        self.tell(node, event, Some(report));
    }

    fn gone(&mut self, index: usize, report: &mut Report) {
        let call = &self.calls[index];
        if !call.ended {
            let event = Event::CallerGone(CallId(index as u64));
            self.tell(call.node, event, Some(report));
        }
    }

    fn report(&mut self, server: usize) {
        let load = self.engines[server].load();
        let happening = Happening::Load {
            server,
            running: load.running,
            waiting: load.waiting,
        };
        self.after(self.situation.report_lag_ms * 1_000, happening);
        self.after(REPORT_US, Happening::Report(server));
    }

    fn deliver(&mut self, server: usize, running: u32, waiting: u32, report: &mut Report) {
        let load = ServerLoad {
            running,
            waiting,
            age_ms: self.situation.report_lag_ms,
        };
        for node in 0..self.nodes.len() {
            let server = server_name(server).as_str().into();
            self.tell(node, Event::Load { server, load }, Some(report));
        }
    }

    fn tokens(&mut self, id: AttemptId, report: &mut Report) {
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
        self.tell(node, Event::Attempt { attempt: id, event }, Some(report));
        if tokens < length {
            let chunk = CHUNK_TOKENS.min(length - tokens);
            let delay_us = u64::from(chunk) * BETWEEN_TOKENS_US * self.engines[server].slowness;
            self.after(delay_us, Happening::Tokens(id));
        } else {
            self.finish(id, server, node, report);
        }
    }

    fn finish(&mut self, id: AttemptId, server: usize, node: usize, report: &mut Report) {
        self.attempts.remove(&id);
        self.engines[server].remove(id);
        self.start(server, report);
        let load = self.engines[server].load();
        let name = server_name(server).as_str().into();
        self.tell(node, Event::Load { server: name, load }, Some(report));
        let event = AttemptEvent::Done;
        self.tell(node, Event::Attempt { attempt: id, event }, Some(report));
    }

    fn fail(&mut self, id: AttemptId, failure: Failure, report: &mut Report) {
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        let node = self.calls[attempt.call].node;
        let event = AttemptEvent::Failed(failure);
        self.tell(node, Event::Attempt { attempt: id, event }, Some(report));
    }

    fn tell(&mut self, node: usize, event: Event, report: Option<&mut Report>) {
        let mut actions = Vec::new();
        let now = self.instant();
        self.nodes[node].handle(now, event, &mut actions);
        let Some(report) = report else {
            return;
        };
        for action in actions {
            match action {
                Action::Dispatch(dispatch) => self.dispatch(&dispatch, report),
                Action::Cancel { attempt, .. } => self.cancel(attempt, report),
                Action::Refuse { call, .. } => self.end(call, false, report),
                Action::End { call, outcome } => {
                    let completed = outcome == briarbank_core::call::Outcome::Completed;
                    self.end(call, completed, report);
                }
            }
        }
    }

    fn dispatch(&mut self, dispatch: &Dispatch, report: &mut Report) {
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
            self.fail(dispatch.attempt, Failure::NotSent, report);
            return;
        }
        self.engines[server].push(dispatch.tier, dispatch.attempt);
        self.start(server, report);
    }

    fn start(&mut self, server: usize, report: &mut Report) {
        while let Some(id) = self.engines[server].start() {
            let delay_us = FIRST_TOKEN_US * self.engines[server].slowness;
            self.after(delay_us, Happening::Tokens(id));
            let index = self.attempts[&id].call;
            self.waited(index, report);
        }
    }

    fn cancel(&mut self, id: AttemptId, report: &mut Report) {
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        self.engines[attempt.server].remove(id);
        self.start(attempt.server, report);
    }

    fn end(&mut self, call: CallId, completed: bool, report: &mut Report) {
        let index = call.0 as usize;
        self.waited(index, report);
        let call = &mut self.calls[index];
        assert!(!call.ended, "call ended twice");
        call.ended = true;
        self.open -= 1;
        let plan = &CLASSES[call.arrival.class];
        let took_us = self.now_us - call.arrival.at_us;
        report.call(&CallEnd {
            class: call.arrival.class,
            workspace: call.arrival.workspace,
            tokens: call.arrival.tokens,
            completed,
            in_burst: (BURST.0..BURST.1).contains(&(self.now_us / 1_000)),
            in_time: completed && took_us <= plan.whole_ms * 1_000,
        });
    }

    /// Takes the wait until an engine starts the call, or until it is refused.
    fn waited(&mut self, index: usize, report: &mut Report) {
        let call = &mut self.calls[index];
        if !call.started && call.arrival.class == LOWEST {
            report.wait(self.now_us - call.arrival.at_us);
        }
        call.started = true;
    }

    /// Takes the part of the busy slots that the lowest class has over ten seconds
    /// in which some of its calls waited all the time.
    fn sample(&mut self) {
        self.after(SAMPLE_US, Happening::Sample);
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
        self.begin + Duration::from_micros(self.now_us)
    }
}

impl Node {
    fn new(side: Side, nodes: usize, index: usize, seed: u64) -> Self {
        let incarnation = Incarnation(index as u64);
        let seed = seed * 1_000 + index as u64;
        match side {
            Side::Baseline(kind) => {
                Self::Baseline(Box::new(Baseline::new(kind, nodes, incarnation, seed)))
            }
            Side::Router => {
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
