//! The router's state machine: arrivals, refusals and what is adopted.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Instant;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::balance::{AffinityBalancer, Balancer};
use crate::budget::RetryBudget;
use crate::catalog::Catalog;
use crate::estimate::Estimator;
use crate::ids::{
    AttemptId, CallId, Incarnation, ProfileName, TargetName, WorkspaceName, ZoneName,
};
use crate::queue::AdmissionQueue;
use crate::router::entry::Entry;
use crate::router::event::{Action, Event};
use crate::router::index::Index;
use crate::router::options::Options;
use crate::router::servers::Servers;

/// Counters of a router since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Attempts dispatched.
    pub dispatched: u64,
    /// Dispatches that resume a stream.
    pub resumed: u64,
    /// Attempts moved away from a slow server.
    pub moved: u64,
    /// Streams preempted for a call of a higher tier.
    pub preempted: u64,
    /// Calls refused for a full queue.
    pub shed: u64,
    /// Calls refused since they could not be in time.
    pub deadline_unreachable: u64,
    /// Events that belong to no running attempt or call.
    pub dropped: u64,
}

/// State machine that serves calls; see the module's page.
#[derive(Debug)]
pub struct Router {
    pub(super) options: Options,
    pub(super) incarnation: Incarnation,
    pub(super) rng: SmallRng,
    pub(super) balancer: Box<dyn Balancer>,
    pub(super) index: Option<Index>,
    pub(super) servers: Servers,
    pub(super) estimator: Estimator,
    pub(super) nodes: usize,
    pub(super) calls: HashMap<CallId, Entry>,
    pub(super) attempts: BTreeMap<AttemptId, CallId>,
    pub(super) queues: BTreeMap<TargetName, AdmissionQueue>,
    pub(super) waiting: usize,
    pub(super) expiries: BTreeSet<(Instant, CallId)>,
    pub(super) dues: BTreeSet<(Instant, CallId)>,
    pub(super) workspaces: HashMap<WorkspaceName, usize>,
    pub(super) budgets: HashMap<ProfileName, RetryBudget>,
    pub(super) next_attempt: u64,
    pub(super) counters: Counters,
}

impl Router {
    /// A router without configuration; it refuses until it gets some.
    #[must_use]
    pub fn new(options: Options, incarnation: Incarnation, seed: u64) -> Self {
        Self {
            options,
            incarnation,
            rng: SmallRng::seed_from_u64(seed),
            balancer: Box::new(AffinityBalancer::new(seed.wrapping_add(1))),
            index: None,
            servers: Servers::default(),
            estimator: Estimator::default(),
            nodes: 1,
            calls: HashMap::new(),
            attempts: BTreeMap::new(),
            queues: BTreeMap::new(),
            waiting: 0,
            expiries: BTreeSet::new(),
            dues: BTreeSet::new(),
            workspaces: HashMap::new(),
            budgets: HashMap::new(),
            next_attempt: 0,
            counters: Counters::default(),
        }
    }

    /// Replaces the choice of servers.
    #[must_use]
    pub fn with_balancer(mut self, balancer: Box<dyn Balancer>) -> Self {
        self.balancer = balancer;
        self
    }

    /// Sets the own availability zone.
    pub fn set_zone(&mut self, zone: ZoneName) {
        self.options.zone = Some(zone);
    }

    /// Number of calls that wait or run.
    #[must_use]
    pub fn calls(&self) -> usize {
        self.calls.len()
    }

    /// Number of calls that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Counters since the start.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Takes one event and appends the actions that follow from it.
    pub fn handle(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        self.expire(now, actions);
        match event {
            Event::Arrive(call) => self.arrive(now, call, actions),
            Event::CallerGone(call) => self.caller_gone(now, call, actions),
            Event::Attempt { attempt, event } => self.attempt(now, attempt, event, actions),
            Event::Load { server, load } => {
                if let Some(entry) = self.servers.get_mut(&server) {
                    entry.report(now, load);
                }
            }
            Event::ServerLeaving(server) => self.server_leaving(now, &server, actions),
            Event::Catalog(catalog) => self.adopt_catalog(&catalog),
            Event::Fleet(fleet) => {
                self.servers.adopt(now, &fleet, self.nodes);
                self.serve_all(now, actions);
            }
            Event::SharingNodes(nodes) => {
                self.nodes = nodes.max(1);
                self.servers.divide(self.nodes);
                self.serve_all(now, actions);
            }
            Event::Tick => {
                self.serve_all(now, actions);
                self.watch(now, actions);
                self.preempt(now, actions);
            }
        }
    }

    fn adopt_catalog(&mut self, catalog: &Catalog) {
        let index = Index::new(catalog);
        self.estimator
            .retain(|p| index.has_class(p), |t| index.has_target(t));
        self.budgets.retain(|name, _| index.has_class(name));
        for queue in self.queues.values_mut() {
            queue.retain(|name| index.has_class(name));
        }
        self.queues
            .retain(|name, queue| !queue.is_empty() || index.has_target(name));
        self.index = Some(index);
    }

    /// Forgets a call that neither waits nor runs.
    pub(super) fn remove(&mut self, id: CallId) -> Option<Entry> {
        let entry = self.calls.remove(&id)?;
        if let Some(count) = self.workspaces.get_mut(&entry.call.workspace) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.workspaces.remove(&entry.call.workspace);
            }
        }
        Some(entry)
    }

    pub(super) fn budget(&mut self, profile: &ProfileName) -> &mut RetryBudget {
        let options = self.options.budget;
        self.budgets
            .entry(profile.clone())
            .or_insert_with(|| RetryBudget::new(options))
    }
}
