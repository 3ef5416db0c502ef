//! Simple policies for comparison.

use std::collections::{HashMap, VecDeque};

use briarbank_core::call::{Dispatch, Outcome, Reason, Refusal};
use briarbank_core::ids::{AttemptId, CallId, Incarnation};
use briarbank_core::router::{Action, AttemptEvent, Event};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::workload::{SERVER_COUNT, SLOTS, server_name};

const ATTEMPTS_MAX: u32 = 3;

/// Simple dispatch policies.
#[derive(Clone, Copy)]
pub(crate) enum BaselineKind {
    /// A random server at once; engines queue without bound, first come, first served.
    Random,
    /// Servers in turn up to the node's share of their slots, with an unbounded queue.
    RoundRobin,
    /// The server with the fewest requests of the node in flight, at once.
    LeastInFlight,
}

#[derive(Default)]
struct Entry {
    attempts: u32,
    running: Option<(AttemptId, usize)>,
}

/// A node with a simple policy, which restarts failed calls up to [`ATTEMPTS_MAX`] times.
pub(crate) struct Baseline {
    kind: BaselineKind,
    limit: u32,
    rng: SmallRng,
    incarnation: Incarnation,
    in_flight: [u32; SERVER_COUNT],
    last_server: usize,
    queue: VecDeque<CallId>,
    calls: HashMap<CallId, Entry>,
    attempts: HashMap<AttemptId, CallId>,
    next_attempt: u64,
}

impl Baseline {
    pub(crate) fn new(
        kind: BaselineKind,
        nodes: usize,
        incarnation: Incarnation,
        seed: u64,
    ) -> Self {
        Self {
            kind,
            limit: SLOTS.div_ceil(nodes as u32),
            rng: SmallRng::seed_from_u64(seed),
            incarnation,
            in_flight: [0; SERVER_COUNT],
            last_server: 0,
            queue: VecDeque::new(),
            calls: HashMap::new(),
            attempts: HashMap::new(),
            next_attempt: 0,
        }
    }

    pub(crate) fn handle(&mut self, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Arrive(call) => {
                self.calls.insert(call.id, Entry::default());
                self.queue.push_back(call.id);
            }
            Event::CallerGone(call) => self.handle_caller_gone(call, actions),
            Event::Attempt { attempt, event } => self.handle_attempt(attempt, event, actions),
            _ => {}
        }
        self.dispatch_queue(actions);
    }

    fn handle_caller_gone(&mut self, call: CallId, actions: &mut Vec<Action>) {
        let Some(entry) = self.calls.remove(&call) else {
            return;
        };
        self.queue.retain(|id| *id != call);
        if let Some((attempt, server)) = entry.running {
            self.release_attempt(attempt, server);
            let server = server_name(server).as_str().into();
            actions.push(Action::Cancel { attempt, server });
        }
        let outcome = Outcome::Unknown;
        actions.push(Action::End { call, outcome });
    }

    fn handle_attempt(
        &mut self,
        attempt: AttemptId,
        event: AttemptEvent,
        actions: &mut Vec<Action>,
    ) {
        let Some(call) = self.attempts.get(&attempt).copied() else {
            return;
        };
        let Some(entry) = self.calls.get_mut(&call) else {
            return;
        };
        if let AttemptEvent::Progress { .. } = event {
            return;
        }
        let attempts = entry.attempts;
        if let Some((attempt, server)) = entry.running.take() {
            self.release_attempt(attempt, server);
        }
        if event == AttemptEvent::Done {
            self.calls.remove(&call);
            let outcome = Outcome::Completed;
            actions.push(Action::End { call, outcome });
        } else if attempts < ATTEMPTS_MAX {
            self.queue.push_front(call);
        } else {
            self.calls.remove(&call);
            let refusal = Refusal {
                reason: Reason::ServerFailed,
                outcome: Outcome::Unknown,
                retry_after: std::time::Duration::from_secs(1),
            };
            actions.push(Action::Refuse { call, refusal });
        }
    }

    fn release_attempt(&mut self, attempt: AttemptId, server: usize) {
        self.attempts.remove(&attempt);
        self.in_flight[server] -= 1;
    }

    fn dispatch_queue(&mut self, actions: &mut Vec<Action>) {
        while !self.queue.is_empty() {
            let Some(server) = self.choose_server() else {
                return;
            };
            let Some(call) = self.queue.pop_front() else {
                return;
            };
            self.next_attempt += 1;
            let attempt = AttemptId {
                incarnation: self.incarnation,
                number: self.next_attempt,
            };
            let entry = self.calls.entry(call).or_default();
            entry.attempts += 1;
            entry.running = Some((attempt, server));
            self.attempts.insert(attempt, call);
            self.in_flight[server] += 1;
            actions.push(Action::Dispatch(Dispatch {
                call,
                attempt,
                server: server_name(server).as_str().into(),
                tier: 0,
                resume: false,
                trial: false,
            }));
        }
    }

    fn choose_server(&mut self) -> Option<usize> {
        match self.kind {
            BaselineKind::Random => Some(self.rng.random_range(0..SERVER_COUNT)),
            BaselineKind::LeastInFlight => {
                let start = self.rng.random_range(0..SERVER_COUNT);
                (0..SERVER_COUNT)
                    .map(|i| (start + i) % SERVER_COUNT)
                    .min_by_key(|s| self.in_flight[*s])
            }
            BaselineKind::RoundRobin => {
                let order = (1..=SERVER_COUNT).map(|i| (self.last_server + i) % SERVER_COUNT);
                let free = order
                    .into_iter()
                    .find(|s| self.in_flight[*s] < self.limit)?;
                self.last_server = free;
                Some(free)
            }
        }
    }
}
