//! The router's state machine.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::call::{Call, Dispatch, Failure, Outcome, Reason, Refusal};
use crate::catalog::{Catalog, Fleet, Server, ServerState};
use crate::ids::{AttemptId, CallId, Incarnation, ServerName};
use crate::router::event::{Action, AttemptEvent, Event};

/// Fixed choices of a router.
#[derive(Clone, Debug)]
pub struct Options {
    /// Most attempts for one call.
    pub attempts_max: u32,
    /// When refused callers are asked to come back, at the least.
    pub retry_after: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            attempts_max: 3,
            retry_after: Duration::from_secs(1),
        }
    }
}

/// One call that waits or runs.
#[derive(Debug)]
struct Entry {
    call: Call,
    attempts: u32,
    running: Option<(AttemptId, ServerName)>,
    tokens: u32,
}

/// State machine that serves calls; see the module's page.
#[derive(Debug)]
pub struct Router {
    options: Options,
    incarnation: Incarnation,
    catalog: Option<Arc<Catalog>>,
    fleet: Arc<Fleet>,
    calls: BTreeMap<CallId, Entry>,
    attempts: BTreeMap<AttemptId, CallId>,
    queue: VecDeque<CallId>,
    in_flight: BTreeMap<ServerName, u32>,
    next_attempt: u64,
}

impl Router {
    /// A router without configuration; it refuses until it gets some.
    #[must_use]
    pub fn new(options: Options, incarnation: Incarnation, _seed: u64) -> Self {
        Self {
            options,
            incarnation,
            catalog: None,
            fleet: Arc::new(Fleet::default()),
            calls: BTreeMap::new(),
            attempts: BTreeMap::new(),
            queue: VecDeque::new(),
            in_flight: BTreeMap::new(),
            next_attempt: 0,
        }
    }

    /// Number of calls that wait or run.
    #[must_use]
    pub fn calls(&self) -> usize {
        self.calls.len()
    }

    /// Takes one event and appends the actions that follow from it.
    pub fn handle(&mut self, _now: Instant, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Arrive(call) => self.arrive(call, actions),
            Event::CallerGone(call) => self.caller_gone(call, actions),
            Event::Attempt { attempt, event } => self.attempt(attempt, event, actions),
            Event::Catalog(catalog) => self.catalog = Some(catalog),
            Event::Fleet(fleet) => self.fleet = fleet,
            Event::Load { .. } | Event::ServerLeaving(_) | Event::Sharing(_) | Event::Tick => {}
        }
        self.dispatch(actions);
    }

    fn arrive(&mut self, call: Call, actions: &mut Vec<Action>) {
        let id = call.id;
        if let Err(reason) = self.known(&call) {
            actions.push(self.refuse(id, reason, Outcome::NotRun));
            return;
        }
        self.calls.insert(
            id,
            Entry {
                call,
                attempts: 0,
                running: None,
                tokens: 0,
            },
        );
        self.queue.push_back(id);
    }

    fn known(&self, call: &Call) -> Result<(), Reason> {
        let Some(catalog) = &self.catalog else {
            return Err(Reason::NoConfiguration);
        };
        catalog
            .profile(&call.profile)
            .ok_or(Reason::UnknownProfile)?;
        catalog
            .workspace(&call.workspace)
            .ok_or(Reason::UnknownWorkspace)?;
        catalog.target(&call.target).ok_or(Reason::UnknownTarget)?;
        Ok(())
    }

    fn refuse(&self, call: CallId, reason: Reason, outcome: Outcome) -> Action {
        let refusal = Refusal {
            reason,
            outcome,
            retry_after: self.options.retry_after,
        };
        Action::Refuse { call, refusal }
    }

    fn caller_gone(&mut self, call: CallId, actions: &mut Vec<Action>) {
        let Some(entry) = self.calls.remove(&call) else {
            return;
        };
        self.queue.retain(|id| *id != call);
        let outcome = if entry.attempts == 0 {
            Outcome::NotRun
        } else {
            Outcome::Unknown
        };
        if let Some((attempt, server)) = entry.running {
            self.release(attempt, &server);
            actions.push(Action::Cancel { attempt, server });
        }
        actions.push(Action::End { call, outcome });
    }

    fn attempt(&mut self, attempt: AttemptId, event: AttemptEvent, actions: &mut Vec<Action>) {
        let Some(call) = self.attempts.get(&attempt).copied() else {
            return;
        };
        match event {
            AttemptEvent::Progress { tokens } => {
                if let Some(entry) = self.calls.get_mut(&call) {
                    entry.tokens = tokens;
                }
            }
            AttemptEvent::Done => {
                self.forget(call);
                actions.push(Action::End {
                    call,
                    outcome: Outcome::Completed,
                });
            }
            AttemptEvent::Failed(failure) => self.failed(call, failure, actions),
        }
    }

    fn failed(&mut self, call: CallId, failure: Failure, actions: &mut Vec<Action>) {
        let Some(entry) = self.calls.get_mut(&call) else {
            return;
        };
        let Some((attempt, server)) = entry.running.take() else {
            return;
        };
        let idempotent = self
            .catalog
            .as_ref()
            .and_then(|c| c.profile(&entry.call.profile))
            .is_some_and(|p| p.idempotent);
        let may_repeat = idempotent || failure.proves_not_run();
        let retry = may_repeat && entry.attempts < self.options.attempts_max;
        self.release(attempt, &server);
        if retry {
            self.queue.push_front(call);
            return;
        }
        let proven = failure.proves_not_run() && !idempotent;
        let outcome = if proven {
            Outcome::NotRun
        } else {
            Outcome::Unknown
        };
        self.calls.remove(&call);
        actions.push(self.refuse(call, Reason::ServerFailed, outcome));
    }

    fn forget(&mut self, call: CallId) {
        let Some(entry) = self.calls.remove(&call) else {
            return;
        };
        if let Some((attempt, server)) = entry.running {
            self.release(attempt, &server);
        }
    }

    fn release(&mut self, attempt: AttemptId, server: &ServerName) {
        self.attempts.remove(&attempt);
        if let Some(count) = self.in_flight.get_mut(server) {
            *count = count.saturating_sub(1);
        }
    }

    fn pick(&self, call: &Call) -> Option<&Server> {
        let load = |s: &Server| self.in_flight.get(&s.name).copied().unwrap_or(0);
        self.fleet
            .servers
            .iter()
            .filter(|s| s.state == ServerState::Live && s.targets.contains(&call.target))
            .filter(|s| load(s) < s.slots)
            .min_by_key(|s| load(s))
    }

    fn dispatch(&mut self, actions: &mut Vec<Action>) {
        let waiting = std::mem::take(&mut self.queue);
        for id in waiting {
            let Some(entry) = self.calls.get(&id) else {
                continue;
            };
            let Some(server) = self.pick(&entry.call).map(|s| s.name.clone()) else {
                self.queue.push_back(id);
                continue;
            };
            actions.push(Action::Dispatch(self.start(id, server)));
        }
    }

    fn start(&mut self, call: CallId, server: ServerName) -> Dispatch {
        self.next_attempt += 1;
        let attempt = AttemptId {
            incarnation: self.incarnation,
            number: self.next_attempt,
        };
        *self.in_flight.entry(server.clone()).or_default() += 1;
        self.attempts.insert(attempt, call);
        let mut resume = false;
        let mut tier = 0;
        if let Some(entry) = self.calls.get_mut(&call) {
            entry.attempts += 1;
            entry.running = Some((attempt, server.clone()));
            resume = entry.tokens > 0;
            let profile = self
                .catalog
                .as_ref()
                .and_then(|c| c.profile(&entry.call.profile));
            tier = profile.map_or(0, |p| p.tier);
        }
        Dispatch {
            call,
            attempt,
            server,
            tier,
            resume,
        }
    }
}
