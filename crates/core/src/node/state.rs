//! The composed state machine.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::call::{Call, Outcome, Reason, Refusal};
use crate::conf::{Adopted, Documents, Key, Log};
use crate::hosts::HostView;
use crate::ids::{AttemptId, CallId, HostName, Incarnation, RequestId, Revision, ZoneName};
use crate::node::event::{Action, Event, Origin};
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

/// One call that may not be repeated and runs here as its owner.
#[derive(Debug)]
struct Owned {
    request: RequestId,
    sent: Option<AttemptId>,
}

/// State machine of one node; see the module's page.
pub struct Node {
    identity: Identity,
    documents: Box<dyn Documents>,
    log: Log,
    router: Router,
    owner: Owner,
    owned: BTreeMap<CallId, Owned>,
    forwarded: BTreeMap<CallId, RequestId>,
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
            owned: BTreeMap::new(),
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
        let Some(owned) = self.owned.get_mut(&call) else {
            return true;
        };
        if !self.owner.may_send(now, &owned.request) {
            return false;
        }
        owned.sent = Some(attempt);
        true
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
            Event::CallerGone(call) => {
                self.forwarded.remove(&call);
                self.route(now, router::Event::CallerGone(call), &mut actions);
            }
            Event::ForwardFailed { call, sent } => self.forward_failed(call, sent, &mut actions),
            Event::ForwardDone(call) => {
                self.forwarded.remove(&call);
            }
            Event::Attempt { attempt, event } => {
                self.route(now, router::Event::Attempt { attempt, event }, &mut actions);
            }
            Event::Answered { attempt, answer } => self.answered(now, attempt, answer),
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
            Event::Stop => self.stopping = true,
            Event::Tick => self.tick(now, &mut actions),
        }
        self.check_stopped(&mut actions);
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
            Adopted::Hosts(view) => self.owner.adopt(now, view),
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
            self.route(now, router::Event::Arrive(call), actions);
            return;
        }
        match (self.owner.place(&call.request), origin) {
            (Place::Here, _) => self.own(now, call, content_key, actions),
            (Place::At(to), Origin::Caller) => {
                self.forwarded.insert(call.id, call.request);
                actions.push(Action::Forward { call: call.id, to });
            }
            (Place::At(_) | Place::Nowhere, _) => {
                let outcome = unproven(&call);
                self.refuse(call.id, Reason::NoOwner, outcome, actions);
            }
        }
    }

    fn own(&mut self, now: Instant, call: Call, content_key: u64, actions: &mut Vec<Action>) {
        match self.owner.begin(now, &call, content_key) {
            Begin::Run => {
                let owned = Owned {
                    request: call.request.clone(),
                    sent: None,
                };
                self.owned.insert(call.id, owned);
                self.route(now, router::Event::Arrive(call), actions);
            }
            Begin::Replay(answer) => actions.push(Action::Replay {
                call: call.id,
                answer,
            }),
            Begin::Refuse(reason, outcome) => self.refuse(call.id, reason, outcome, actions),
        }
    }

    fn forward_failed(&mut self, call: CallId, sent: bool, actions: &mut Vec<Action>) {
        if self.forwarded.remove(&call).is_none() {
            return;
        }
        let _ = sent;
        self.refuse(call, Reason::NoOwner, Outcome::Unknown, actions);
    }

    fn answered(&mut self, now: Instant, attempt: AttemptId, answer: crate::call::StoredAnswer) {
        let owned = self.owned.values().find(|o| o.sent == Some(attempt));
        if let Some(owned) = owned {
            self.owner.finish(now, &owned.request, Some(answer));
        }
    }

    /// Passes an event to the router and takes note of how owned calls end.
    fn route(&mut self, now: Instant, event: router::Event, actions: &mut Vec<Action>) {
        let mut routed = Vec::new();
        self.router.handle(now, event, &mut routed);
        for action in routed {
            actions.push(self.routed(now, action));
        }
    }

    fn routed(&mut self, now: Instant, action: router::Action) -> Action {
        match action {
            router::Action::Dispatch(dispatch) => Action::Dispatch(dispatch),
            router::Action::Cancel { attempt, server } => Action::Cancel { attempt, server },
            router::Action::Refuse { call, refusal } => {
                let outcome = self.ended(now, call, refusal.outcome);
                Action::Refuse {
                    call,
                    refusal: Refusal { outcome, ..refusal },
                }
            }
            router::Action::End { call, outcome } => {
                let outcome = self.ended(now, call, outcome);
                Action::End { call, outcome }
            }
        }
    }

    /// Records the end of an owned call and returns what may be said of it.
    fn ended(&mut self, now: Instant, call: CallId, outcome: Outcome) -> Outcome {
        let Some(owned) = self.owned.remove(&call) else {
            return outcome;
        };
        match outcome {
            Outcome::Completed => self.owner.finish(now, &owned.request, None),
            Outcome::NotRun => self.owner.release(&owned.request),
            Outcome::Unknown => self.owner.lose(now, &owned.request),
        }
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

    fn check_stopped(&mut self, actions: &mut Vec<Action>) {
        let idle = self.router.calls() == 0 && self.forwarded.is_empty();
        if self.stopping && !self.stopped && idle {
            self.stopped = true;
            actions.push(Action::Stopped);
        }
    }
}

/// Outcome to state when this node has no record of the request id.
fn unproven(call: &Call) -> Outcome {
    if call.first_try {
        Outcome::NotRun
    } else {
        Outcome::Unknown
    }
}

impl AttemptEvent {
    /// Whether nothing follows for the attempt.
    #[must_use]
    pub fn is_last(self) -> bool {
        !matches!(self, Self::Progress { .. })
    }
}
