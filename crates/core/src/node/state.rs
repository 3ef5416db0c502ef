//! The composed state machine.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::call::{Call, Outcome, Reason, Refusal};
use crate::conf::{Adopted, Documents, Key, Log};
use crate::hosts::HostView;
use crate::ids::{AttemptId, CallId, HostName, Incarnation, Revision, ZoneName};
use crate::node::event::{Action, Event, Origin};
use crate::node::owned::OwnedCalls;
use crate::owner::{self, Begin, Owner, Place};
use crate::router::{self, AttemptEvent, Router};

/// Who this node is, from its settings.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Its name in the host list.
    pub host: HostName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Random for each start of the process.
    pub incarnation: Incarnation,
}

/// Fixed choices of a node.
#[derive(Clone, Debug)]
pub struct Options {
    /// Time between two [`Event::Tick`].
    pub tick: Duration,
    /// Choices of the router.
    pub router: router::Options,
    /// Choices of the ownership of request ids.
    pub owner: owner::Options,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            tick: Duration::from_millis(50),
            router: router::Options::default(),
            owner: owner::Options::default(),
        }
    }
}

/// State of a node, for operators.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Dump {
    /// Name in the host list.
    pub host: HostName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Number of this run of the process.
    pub incarnation: Incarnation,
    /// Whether the node can serve callers.
    pub ready: bool,
    /// Whether a planned stop has begun.
    pub stopping: bool,
    /// Adopted revisions of the host list, the server list and the configuration.
    pub revisions: [Revision; 3],
    /// Calls that wait or run here.
    pub calls: usize,
    /// Calls forwarded to other nodes.
    pub forwarded: usize,
    /// Ownership of request ids.
    pub owner: owner::Dump,
}

/// A call that another node answers.
#[derive(Debug)]
struct Forwarded {
    first_try: bool,
}

/// State machine of one node; see the module's page.
pub struct Node {
    identity: Identity,
    documents: Box<dyn Documents>,
    log: Log,
    router: Router,
    owner: Owner,
    owned: OwnedCalls,
    /// Calls in the router whose ids may have been used before.
    repeats: BTreeSet<CallId>,
    forwarded: BTreeMap<CallId, Forwarded>,
    catalog: Option<Arc<crate::catalog::Catalog>>,
    fleet: Arc<crate::catalog::Fleet>,
    stopping: bool,
    stopped: bool,
}

impl std::fmt::Debug for Node {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Node")
            .field("identity", &self.identity)
            .finish_non_exhaustive()
    }
}

impl Node {
    /// A node that knows nothing published yet.
    ///
    /// `wall_ms` is the wall clock at `now`, in milliseconds since 1970.
    #[must_use]
    pub fn new(
        identity: Identity,
        options: Options,
        documents: Box<dyn Documents>,
        now: Instant,
        wall_ms: u64,
        seed: u64,
    ) -> Self {
        let router = Router::new(options.router, identity.incarnation, seed);
        let owner = Owner::new(
            identity.host.clone(),
            identity.incarnation,
            options.owner,
            now,
            wall_ms,
        );
        Self {
            identity,
            documents,
            log: Log::default(),
            router,
            owner,
            owned: OwnedCalls::default(),
            repeats: BTreeSet::new(),
            forwarded: BTreeMap::new(),
            catalog: None,
            fleet: Arc::default(),
            stopping: false,
            stopped: false,
        }
    }

    /// Whether the node can serve callers.
    #[must_use]
    pub fn ready(&self) -> bool {
        !self.stopping && self.catalog.is_some() && self.log.revision(Key::Servers) > Revision(0)
    }

    /// Adopted revision of a published value, 0 before the first.
    #[must_use]
    pub fn revision(&self, key: Key) -> Revision {
        self.log.revision(key)
    }

    /// The host list in force.
    #[must_use]
    pub fn hosts(&self) -> &HostView {
        self.owner.view()
    }

    /// Configuration in force.
    #[must_use]
    pub fn catalog(&self) -> Option<&Arc<crate::catalog::Catalog>> {
        self.catalog.as_ref()
    }

    /// Server list in force.
    #[must_use]
    pub fn fleet(&self) -> &Arc<crate::catalog::Fleet> {
        &self.fleet
    }

    /// Last check before the first byte of an attempt is handed to a connection.
    ///
    /// For a call that may not be repeated it is true at most once.
    pub fn may_send(&mut self, now: Instant, call: CallId, attempt: AttemptId) -> bool {
        let Some(owned) = self.owned.get(call) else {
            return true;
        };
        if !self.owner.may_send(now, &owned.request) {
            return false;
        }
        self.owned.send(call, attempt);
        true
    }

    /// State for operators.
    #[must_use]
    pub fn dump(&self, now: Instant) -> Dump {
        Dump {
            host: self.identity.host.clone(),
            zone: self.identity.zone.clone(),
            incarnation: self.identity.incarnation,
            ready: self.ready(),
            stopping: self.stopping,
            revisions: Key::ALL.map(|key| self.log.revision(key)),
            calls: self.router.calls(),
            forwarded: self.forwarded.len(),
            owner: self.owner.dump(now),
        }
    }

    /// Takes one event and returns the actions that follow from it.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Call {
                call,
                origin,
                content_key,
            } => {
                self.call(now, call, &origin, content_key, &mut actions);
            }
            Event::CallerGone(call) => self.caller_gone(now, call, &mut actions),
            Event::ForwardFailed { call, sent } => self.forward_failed(call, sent, &mut actions),
            Event::ForwardDone(call) => {
                self.forwarded.remove(&call);
            }
            Event::Attempt { attempt, event } => {
                self.take_proof(attempt, event);
                self.route(now, router::Event::Attempt { attempt, event }, &mut actions);
            }
            Event::Answered { attempt, answer } => self.owned.answer(attempt, answer),
            Event::Load { server, load } => {
                self.route(now, router::Event::Load { server, load }, &mut actions);
            }
            Event::ServerLeaving(server) => {
                self.route(now, router::Event::ServerLeaving(server), &mut actions);
            }
            Event::Peer(envelope) => self.peer(now, envelope, &mut actions),
            Event::PeerLost(_) => {}
            Event::Published {
                key,
                revision,
                bytes,
            } => {
                if let Some(adopted) = self.log.offer(&*self.documents, key, revision, &bytes) {
                    self.adopt(now, adopted, &mut actions);
                }
            }
            Event::Stop => {
                self.stopping = true;
                self.owner.stop(now);
            }
            Event::Tick => self.tick(now, &mut actions),
        }
        self.check_stopped(now, &mut actions);
        actions
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.owner.tick(now, actions);
        self.route(now, router::Event::Tick, actions);
    }

    fn peer(&mut self, now: Instant, envelope: crate::peer::Envelope, actions: &mut Vec<Action>) {
        match envelope.message {
            crate::peer::Message::Owner(message) => {
                self.owner
                    .message(now, &envelope.from, envelope.incarnation, message, actions);
            }
            crate::peer::Message::Member(_) | crate::peer::Message::Conf(_) => {}
        }
    }

    fn adopt(&mut self, now: Instant, adopted: Adopted, actions: &mut Vec<Action>) {
        match adopted {
            Adopted::Hosts(view) => self.owner.adopt(now, view, actions),
            Adopted::Servers(fleet) => {
                self.fleet = Arc::clone(&fleet);
                self.route(now, router::Event::Fleet(fleet), actions);
            }
            Adopted::Config(catalog) => {
                self.catalog = Some(Arc::clone(&catalog));
                self.owner.retire(catalog.retired_hosts_revision);
                self.route(now, router::Event::Catalog(catalog), actions);
            }
        }
    }

    fn call(
        &mut self,
        now: Instant,
        call: Call,
        origin: &Origin,
        content_key: u64,
        actions: &mut Vec<Action>,
    ) {
        let profile = self.catalog.as_ref().and_then(|c| c.profile(&call.profile));
        if profile.is_none_or(|p| p.idempotent) {
            self.arrive(now, call, actions);
            return;
        }
        match (self.owner.place(&call.request), origin) {
            (Place::Here, _) => self.own(now, call, content_key, actions),
            (Place::At(to), Origin::Caller) => {
                self.forwarded.insert(
                    call.id,
                    Forwarded {
                        first_try: call.first_try,
                    },
                );
                actions.push(Action::Forward { call: call.id, to });
            }
            (Place::At(_) | Place::Nowhere, _) => {
                let outcome = call.unproven();
                self.refuse(call.id, Reason::NoOwner, outcome, actions);
            }
        }
    }

    fn own(&mut self, now: Instant, call: Call, content_key: u64, actions: &mut Vec<Action>) {
        match self.owner.begin(now, &call, content_key) {
            Begin::Run => {
                self.owned.begin(call.id, call.request.clone());
                self.route(now, router::Event::Arrive(call), actions);
            }
            Begin::Replay(answer) => actions.push(Action::Replay {
                call: call.id,
                answer,
            }),
            Begin::Refuse(reason, outcome) => self.refuse(call.id, reason, outcome, actions),
        }
    }

    /// Passes a call that may be repeated to the router.
    fn arrive(&mut self, now: Instant, call: Call, actions: &mut Vec<Action>) {
        if !call.first_try {
            self.repeats.insert(call.id);
        }
        self.route(now, router::Event::Arrive(call), actions);
    }

    fn forward_failed(&mut self, call: CallId, sent: bool, actions: &mut Vec<Action>) {
        let Some(forwarded) = self.forwarded.remove(&call) else {
            return;
        };
        let is_first = forwarded.first_try && !sent;
        let outcome = if is_first {
            Outcome::NotRun
        } else {
            Outcome::Unknown
        };
        self.refuse(call, Reason::NoOwner, outcome, actions);
    }

    /// A sent call that may not be repeated goes on without its caller.
    fn caller_gone(&mut self, now: Instant, call: CallId, actions: &mut Vec<Action>) {
        self.forwarded.remove(&call);
        if self
            .owned
            .get(call)
            .is_some_and(|owned| owned.sent.is_some())
        {
            return;
        }
        self.route(now, router::Event::CallerGone(call), actions);
    }

    /// Takes note of a proof that a sent attempt did not run.
    fn take_proof(&mut self, attempt: AttemptId, event: AttemptEvent) {
        let AttemptEvent::Failed(failure) = event else {
            return;
        };
        if !failure.proves_not_run() {
            return;
        }
        if let Some(request) = self.owned.unsend(attempt) {
            self.owner.unsend(&request);
        }
    }

    /// Passes an event to the router and takes note of how calls end.
    fn route(&mut self, now: Instant, event: router::Event, actions: &mut Vec<Action>) {
        let mut routed = Vec::new();
        self.router.handle(now, event, &mut routed);
        for action in routed {
            let action = self.routed(now, action, actions);
            actions.push(action);
        }
    }

    fn routed(
        &mut self,
        now: Instant,
        action: router::Action,
        actions: &mut Vec<Action>,
    ) -> Action {
        match action {
            router::Action::Dispatch(dispatch) => Action::Dispatch(dispatch),
            router::Action::Cancel { attempt, server } => Action::Cancel { attempt, server },
            router::Action::Refuse { call, refusal } => {
                let outcome = self.ended(now, call, refusal.outcome, actions);
                Action::Refuse {
                    call,
                    refusal: Refusal { outcome, ..refusal },
                }
            }
            router::Action::End { call, outcome } => {
                let outcome = self.ended(now, call, outcome, actions);
                Action::End { call, outcome }
            }
        }
    }

    /// Records the end of a call and returns what may be said of it.
    fn ended(
        &mut self,
        now: Instant,
        call: CallId,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) -> Outcome {
        if self.repeats.remove(&call) && outcome == Outcome::NotRun {
            return Outcome::Unknown;
        }
        let ended = self.owned.end(call, outcome == Outcome::Completed);
        let Some((request, state, outcome)) = ended else {
            return outcome;
        };
        self.owner.settle(now, &request, state, actions);
        outcome
    }

    fn refuse(&self, call: CallId, reason: Reason, outcome: Outcome, actions: &mut Vec<Action>) {
        let retry_after = self.owner.retry_after();
        actions.push(Action::Refuse {
            call,
            refusal: Refusal {
                reason,
                outcome,
                retry_after,
            },
        });
    }

    fn check_stopped(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let idle = self.router.calls() == 0 && self.forwarded.is_empty();
        let idle = idle && self.owner.may_stop(now);
        if self.stopping && !self.stopped && idle {
            self.stopped = true;
            actions.push(Action::Stopped);
        }
    }
}

impl AttemptEvent {
    /// Whether nothing follows for the attempt.
    #[must_use]
    pub fn is_last(self) -> bool {
        !matches!(self, Self::Progress { .. })
    }
}
