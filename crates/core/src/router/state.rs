//! State machine of the router: event dispatch and adopted configuration.

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
use crate::router::entry::CallEntry;
use crate::router::event::{Action, Event};
use crate::router::index::Index;
use crate::router::options::Options;
use crate::router::servers::Servers;

/// Event counters of a router since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Dispatched attempts.
    pub dispatched: u64,
    /// Dispatched attempts that resume a stream.
    pub resumed: u64,
    /// Attempts migrated from a slow server.
    pub migrated: u64,
    /// Streams preempted for calls of a higher tier.
    pub preempted: u64,
    /// Calls refused because a queue was full.
    pub shed: u64,
    /// Calls refused because they could not finish before their deadline.
    pub deadline_unreachable: u64,
    /// Ignored events, which belong to no known attempt or call.
    pub dropped: u64,
}

/// State machine that admits and dispatches calls; see the module documentation.
#[derive(Debug)]
pub struct Router {
    pub(super) options: Options,
    pub(super) incarnation: Incarnation,
    pub(super) rng: SmallRng,
    pub(super) balancer: Box<dyn Balancer>,
    pub(super) index: Option<Index>,
    pub(super) servers: Servers,
    pub(super) estimator: Estimator,
    /// Nodes that share the servers.
    pub(super) nodes: usize,
    pub(super) calls: HashMap<CallId, CallEntry>,
    pub(super) attempts: BTreeMap<AttemptId, CallId>,
    pub(super) queues: BTreeMap<TargetName, AdmissionQueue>,
    /// Number of queued calls.
    pub(super) waiting: usize,
    /// Queued calls by latest start.
    pub(super) latest_starts: BTreeSet<(Instant, CallId)>,
    /// Queued calls by preferred start.
    pub(super) preferred_starts: BTreeSet<(Instant, CallId)>,
    /// Number of queued and running calls of each workspace.
    pub(super) workspaces: HashMap<WorkspaceName, usize>,
    pub(super) retry_budgets: HashMap<ProfileName, RetryBudget>,
    pub(super) next_attempt: u64,
    pub(super) counters: Counters,
}

impl Router {
    /// Creates a router without configuration, which refuses all calls.
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
            latest_starts: BTreeSet::new(),
            preferred_starts: BTreeSet::new(),
            workspaces: HashMap::new(),
            retry_budgets: HashMap::new(),
            next_attempt: 0,
            counters: Counters::default(),
        }
    }

    /// Replaces the balancer.
    #[must_use]
    pub fn with_balancer(mut self, balancer: Box<dyn Balancer>) -> Self {
        self.balancer = balancer;
        self
    }

    /// Sets the availability zone of this node.
    pub fn set_zone(&mut self, zone: ZoneName) {
        self.options.zone = Some(zone);
    }

    /// Number of queued and running calls.
    #[must_use]
    pub fn calls(&self) -> usize {
        self.calls.len()
    }

    /// Number of queued calls.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns the counters since the start.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Handles one event and appends the resulting actions.
    pub fn handle(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        self.refuse_expired(now, actions);
        match event {
            Event::Arrive(call) => self.handle_arrival(now, call, actions),
            Event::CallerGone(call) => self.handle_caller_gone(now, call, actions),
            Event::Attempt { attempt, event } => self.handle_attempt(now, attempt, event, actions),
            Event::Load { server, load } => {
                if let Some(entry) = self.servers.get_mut(&server) {
                    entry.record_report(now, load);
                }
            }
            Event::ServerLeaving(server) => self.handle_server_leaving(now, &server, actions),
            Event::Catalog(catalog) => self.adopt_catalog(&catalog),
            Event::Fleet(fleet) => {
                self.servers.adopt(now, &fleet, self.nodes);
                self.serve_all(now, actions);
            }
            Event::SharingNodes(nodes) => {
                self.nodes = nodes.max(1);
                self.servers.set_nodes(self.nodes);
                self.serve_all(now, actions);
            }
            Event::Tick => {
                self.serve_all(now, actions);
                self.migrate_slow_streams(now, actions);
                self.preempt(now, actions);
            }
        }
    }

    fn adopt_catalog(&mut self, catalog: &Catalog) {
        let index = Index::new(catalog);
        self.estimator
            .retain(|p| index.has_class(p), |t| index.has_target(t));
        self.retry_budgets.retain(|name, _| index.has_class(name));
        for queue in self.queues.values_mut() {
            queue.retain(|name| index.has_class(name));
        }
        self.queues
            .retain(|name, queue| !queue.is_empty() || index.has_target(name));
        self.index = Some(index);
    }

    /// Removes a call that is neither queued nor running.
    pub(super) fn remove_call(&mut self, id: CallId) -> Option<CallEntry> {
        let entry = self.calls.remove(&id)?;
        if let Some(count) = self.workspaces.get_mut(&entry.call.workspace) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.workspaces.remove(&entry.call.workspace);
            }
        }
        Some(entry)
    }

    /// Retry budget of a profile, created on first use.
    pub(super) fn retry_budget(&mut self, profile: &ProfileName) -> &mut RetryBudget {
        let options = self.options.retry_budget;
        self.retry_budgets
            .entry(profile.clone())
            .or_insert_with(|| RetryBudget::new(options))
    }
}
