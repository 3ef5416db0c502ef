//! Model of a node that hedges calls to plain servers, with a fixed seed.
#![expect(clippy::unwrap_used, reason = "a failed setup fails the test")]

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

use briarbank_core::flow::{
    AttemptId, CallKind, Dispatcher, HedgeRefusal, Hedging, RetryOptions, WaitingCall,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};

use crate::fleet::{DESK, dispatcher, plain_call};

/// Slots of each server.
const SLOTS: usize = 6;

/// Mean time of a call without waiting, in microseconds.
const SERVICE_US: f64 = 20_000.0;

/// Latency objective of [`plain_call`].
const OBJECTIVE: Duration = Duration::from_millis(150);

const WINDOW: Duration = Duration::from_secs(10);

/// Load and servers of a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scenario {
    pub(crate) seed: u64,
    pub(crate) servers: usize,
    pub(crate) seconds: u64,
    /// Load as a multiple of the capacity.
    pub(crate) load: f64,
    pub(crate) hedge_ratio: f64,
    /// Retries allowed for each call.
    pub(crate) retry_ratio: f64,
    /// Number of servers that are slow at any moment; others take over each second.
    pub(crate) slow_servers: usize,
    /// Time of calls that begin at a slow server, as a multiple.
    pub(crate) slowness: f64,
}

/// Results of a run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) calls: u32,
    pub(crate) hedges: u32,
    pub(crate) won: u32,
    pub(crate) in_time: u32,
    /// Times of answered calls, in ascending order.
    pub(crate) times: Vec<Duration>,
}

impl Outcome {
    pub(crate) fn quantile(&self, ratio: f64) -> Duration {
        let index = (self.times.len() as f64 * ratio) as usize;
        self.times[index.min(self.times.len() - 1)]
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    /// A hedge of the call is considered.
    Hedge(usize),
    /// The attempt ends at its server.
    End(usize),
}

struct Attempt {
    call: usize,
    id: AttemptId,
    server: usize,
    is_hedge: bool,
    is_running: bool,
    is_over: bool,
}

struct Call {
    arrived_us: u64,
    /// Time of the call at a usual server.
    size_us: f64,
    attempts: Vec<usize>,
    is_answered: bool,
}

#[derive(Default)]
struct Server {
    running: usize,
    queue: VecDeque<usize>,
}

struct Run {
    scenario: Scenario,
    start: Instant,
    now_us: u64,
    rng: SmallRng,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    event_count: u64,
    dispatcher: Dispatcher,
    hedging: Hedging,
    kind: CallKind,
    servers: Vec<Server>,
    calls: Vec<Call>,
    attempts: Vec<Attempt>,
    outcome: Outcome,
}

/// Runs a scenario.
pub(crate) fn run(scenario: Scenario) -> Outcome {
    let mut dispatcher = dispatcher(0, scenario.servers);
    dispatcher.set_retry_options(RetryOptions {
        window: WINDOW,
        ratio: scenario.retry_ratio,
        ..RetryOptions::default()
    });
    let mut run = Run {
        start: Instant::now(),
        now_us: 0,
        rng: SmallRng::seed_from_u64(scenario.seed),
        events: BinaryHeap::new(),
        event_count: 0,
        dispatcher,
        hedging: Hedging::new(scenario.hedge_ratio, WINDOW),
        kind: CallKind::new(&DESK.into(), 300),
        servers: (0..scenario.servers).map(|_| Server::default()).collect(),
        calls: Vec::new(),
        attempts: Vec::new(),
        outcome: Outcome::default(),
        scenario,
    };
    run.schedule(0, Event::Arrival);
    while let Some(Reverse((at, _, event))) = run.events.pop() {
        run.now_us = at;
        match event {
            Event::Arrival => run.arrive(),
            Event::Hedge(call) => run.consider_hedge(call),
            Event::End(attempt) => run.end(attempt),
        }
    }
    run.outcome.times.sort_unstable();
    run.outcome
}

impl Run {
    fn now(&self) -> Instant {
        self.start + Duration::from_micros(self.now_us)
    }

    fn schedule(&mut self, after_us: u64, event: Event) {
        self.event_count += 1;
        let at = self.now_us + after_us;
        self.events.push(Reverse((at, self.event_count, event)));
    }

    fn arrive(&mut self) {
        let slots = (self.scenario.servers * SLOTS) as f64;
        let rate_per_us = slots / SERVICE_US * self.scenario.load;
        let pause_us = Exp::new(rate_per_us).unwrap().sample(&mut self.rng) as u64;
        if self.now_us + pause_us < self.scenario.seconds * 1_000_000 {
            self.schedule(pause_us, Event::Arrival);
        }
        let now = self.now();
        let call = plain_call();
        self.dispatcher.record_arrival(now, &call);
        self.hedging.record_call(now);
        self.outcome.calls += 1;
        let Ok(placement) = self.dispatcher.dispatch(now, &call, &[]) else {
            return;
        };
        let spread = LogNormal::new(0.0, 0.3).unwrap();
        self.calls.push(Call {
            arrived_us: self.now_us,
            size_us: SERVICE_US * spread.sample(&mut self.rng) / 1.046,
            attempts: Vec::new(),
            is_answered: false,
        });
        let index = self.calls.len() - 1;
        self.send(
            index,
            placement.attempt,
            placement.instance.id.as_str(),
            false,
        );
        let trigger = self
            .hedging
            .trigger(now, &self.kind, Duration::ZERO, OBJECTIVE);
        if let Some(trigger) = trigger {
            self.schedule(trigger.as_micros() as u64, Event::Hedge(index));
        }
    }

    fn send(&mut self, call: usize, id: AttemptId, server: &str, is_hedge: bool) {
        let server: usize = server.trim_start_matches('d').parse().unwrap();
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            call,
            id,
            server,
            is_hedge,
            is_running: false,
            is_over: false,
        });
        self.calls[call].attempts.push(attempt);
        self.servers[server].queue.push_back(attempt);
        self.start_next(server);
    }

    fn start_next(&mut self, server: usize) {
        if self.servers[server].running >= SLOTS {
            return;
        }
        let Some(attempt) = self.servers[server].queue.pop_front() else {
            return;
        };
        self.servers[server].running += 1;
        self.attempts[attempt].is_running = true;
        let size_us = self.calls[self.attempts[attempt].call].size_us;
        let noise: f64 = self.rng.random_range(0.7..1.3);
        let slow_us = size_us * noise * self.slowness(server);
        self.schedule(slow_us as u64, Event::End(attempt));
    }

    fn slowness(&self, server: usize) -> f64 {
        let Scenario {
            servers,
            slow_servers,
            ..
        } = self.scenario;
        let second = (self.now_us / 1_000_000) as usize;
        let first_slow = second * slow_servers % servers;
        if (server + servers - first_slow) % servers < slow_servers {
            self.scenario.slowness
        } else {
            1.0
        }
    }

    fn consider_hedge(&mut self, index: usize) {
        let call = &self.calls[index];
        if call.is_answered || call.attempts.len() > 1 {
            return;
        }
        let elapsed = Duration::from_micros(self.now_us - call.arrived_us);
        let first = self.attempts[call.attempts[0]].server;
        let avoid = [format!("d{first}").as_str().into()];
        let now = self.now();
        let mut wanted = plain_call();
        wanted.objective = OBJECTIVE.saturating_sub(elapsed);
        let waiting = WaitingCall {
            elapsed,
            age: elapsed,
            objective: OBJECTIVE,
        };
        let offer = self.dispatcher.hedge_offer(now, &wanted, &avoid);
        let decided =
            offer.and_then(|offer| self.hedging.decide(now, &self.kind, &waiting, &offer));
        match decided {
            Err(HedgeRefusal::NoBenefit { recheck_after }) => {
                self.schedule(recheck_after.as_micros() as u64, Event::Hedge(index));
            }
            Err(_) => {}
            Ok(_) => {
                let placement = self.dispatcher.dispatch(now, &wanted, &avoid).unwrap();
                assert!(self.hedging.withdraw(now));
                assert!(self.dispatcher.withdraw_hedge(now, &wanted.service));
                self.outcome.hedges += 1;
                self.send(
                    index,
                    placement.attempt,
                    placement.instance.id.as_str(),
                    true,
                );
            }
        }
    }

    fn end(&mut self, attempt: usize) {
        if self.attempts[attempt].is_over {
            return;
        }
        let now = self.now();
        self.leave(attempt);
        self.dispatcher
            .record_success(now, self.attempts[attempt].id);
        let index = self.attempts[attempt].call;
        let call = &mut self.calls[index];
        call.is_answered = true;
        let time = Duration::from_micros(self.now_us - call.arrived_us);
        let others: Vec<usize> = call
            .attempts
            .iter()
            .copied()
            .filter(|a| *a != attempt)
            .collect();
        if self.attempts[attempt].is_hedge {
            self.hedging.record_overtaken(now, &self.kind, time);
        } else {
            self.hedging.record_time(now, &self.kind, time);
        }
        self.outcome.times.push(time);
        self.outcome.in_time += u32::from(time <= OBJECTIVE);
        self.outcome.won += u32::from(self.attempts[attempt].is_hedge);
        for other in others {
            self.leave(other);
            self.dispatcher
                .record_overtaken(now, self.attempts[other].id);
        }
    }

    /// Ends the work of an attempt at its server.
    fn leave(&mut self, attempt: usize) {
        let Attempt {
            server, is_running, ..
        } = self.attempts[attempt];
        self.attempts[attempt].is_over = true;
        if is_running {
            self.servers[server].running -= 1;
        } else {
            self.servers[server].queue.retain(|a| *a != attempt);
        }
        self.start_next(server);
    }
}
