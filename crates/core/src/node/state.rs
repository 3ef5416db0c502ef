//! The node's state machine, options and state dump.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::conf::{self, Documents, Key, Replicator};
use crate::hosts::HostView;
use crate::ids::{AttemptId, CallId, HostName, Incarnation, Revision, ServerName, ZoneName};
use crate::member::{self, Members};
use crate::node::calls::Forwarded;
use crate::node::event::{Action, Event};
use crate::node::owned::OwnedCalls;
use crate::owner::{self, Owner};
use crate::router::{self, Router};

/// Identity of a node, from its settings.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name in the host list.
    pub host: HostName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Random number of this run of the process.
    pub incarnation: Incarnation,
}

/// Options of a node.
#[derive(Clone, Debug)]
pub struct Options {
    /// Time between two [`Event::Tick`] events.
    pub tick: Duration,
    /// Options of the router.
    pub router: router::Options,
    /// Options of the ownership of request ids.
    pub owner: owner::Options,
    /// Options of the replication of published values.
    pub replicator: conf::Options,
    /// Options of membership.
    pub members: member::Options,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            tick: Duration::from_millis(50),
            router: router::Options::default(),
            owner: owner::Options::default(),
            replicator: conf::Options::default(),
            members: member::Options::default(),
        }
    }
}

/// State dump of a node, for operators.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Dump {
    /// Name in the host list.
    pub host: HostName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Whether the node can serve callers.
    pub ready: bool,
    /// Whether a graceful shutdown has begun.
    pub stopping: bool,
    /// Adopted revisions of the host list, the server list and the configuration.
    pub revisions: [Revision; 3],
    /// Number of calls queued or in flight.
    pub calls: usize,
    /// Number of calls forwarded to other nodes.
    pub forwarded: usize,
    /// Ownership of request ids.
    pub owner: owner::Dump,
    /// Number of live members, as far as this node knows.
    pub live_hosts: usize,
    /// Number of hosts that limits of servers and workspaces are divided among.
    pub sharing_hosts: usize,
    /// Servers known to be leaving.
    pub leaving_servers: Vec<ServerName>,
    /// Whether the node watches the platform.
    pub watching: bool,
    /// Newest refused documents.
    pub refused: Vec<RefusedDump>,
}

/// A published document that was refused, for operators.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RefusedDump {
    /// Key of the value.
    pub key: Key,
    /// Revision of the document.
    pub revision: Revision,
    /// Reason of the refusal.
    pub error: Arc<str>,
}

/// State machine of one node; see the [module](crate::node).
pub struct Node {
    pub(crate) identity: Identity,
    pub(crate) documents: Box<dyn Documents>,
    pub(crate) replicator: Replicator,
    pub(crate) members: Members,
    pub(crate) router: Router,
    pub(crate) owner: Owner,
    pub(crate) owned: OwnedCalls,
    /// Calls in the router whose request ids may have been sent before.
    pub(crate) retried_calls: BTreeSet<CallId>,
    pub(crate) forwarded: BTreeMap<CallId, Forwarded>,
    pub(crate) catalog: Option<Arc<crate::catalog::Catalog>>,
    pub(crate) fleet: Arc<crate::catalog::Fleet>,
    /// Peers that contacted this node before it had a host list.
    pub(crate) contacts: BTreeMap<HostName, SocketAddr>,
    pub(crate) stopping: bool,
    pub(crate) stopped: bool,
}

impl std::fmt::Debug for Node {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Node")
            .field("identity", &self.identity)
            .finish_non_exhaustive()
    }
}

impl Node {
    /// Creates a node without published values.
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
        let Identity {
            host,
            zone,
            incarnation,
        } = identity.clone();
        let mut router = Router::new(options.router, incarnation, seed);
        router.set_zone(zone.clone());
        let replicator = Replicator::new(host.clone(), zone, options.replicator, seed);
        let members = Members::new(host.clone(), incarnation, options.members, seed);
        let owner = Owner::new(host, incarnation, options.owner, now, wall_ms);
        Self {
            identity,
            documents,
            replicator,
            members,
            router,
            owner,
            owned: OwnedCalls::default(),
            retried_calls: BTreeSet::new(),
            forwarded: BTreeMap::new(),
            catalog: None,
            fleet: Arc::default(),
            contacts: BTreeMap::new(),
            stopping: false,
            stopped: false,
        }
    }

    /// Whether the node can serve callers.
    #[must_use]
    pub fn ready(&self) -> bool {
        !self.stopping
            && self.catalog.is_some()
            && self.replicator.revision(Key::Servers) > Revision(0)
    }

    /// Returns the revision of a value in force, 0 before the first.
    #[must_use]
    pub fn revision(&self, key: Key) -> Revision {
        self.replicator.revision(key)
    }

    /// Returns the host list in force.
    #[must_use]
    pub fn hosts(&self) -> &HostView {
        self.owner.view()
    }

    /// Returns a peer's address, from the host list or from its messages before one.
    #[must_use]
    pub fn peer_address(&self, host: &HostName) -> Option<SocketAddr> {
        let listed = self.hosts().get(host).map(|h| h.peer_address);
        listed.or_else(|| self.contacts.get(host).copied())
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn catalog(&self) -> Option<&Arc<crate::catalog::Catalog>> {
        self.catalog.as_ref()
    }

    /// Returns the server list in force.
    #[must_use]
    pub fn fleet(&self) -> &Arc<crate::catalog::Fleet> {
        &self.fleet
    }

    /// Claims the send of an attempt before its first byte is handed to a connection.
    ///
    /// For a non-idempotent call it returns `true` at most once.
    pub fn claim_send(&mut self, now: Instant, call: CallId, attempt: AttemptId) -> bool {
        let Some(owned) = self.owned.get(call) else {
            return true;
        };
        if !self.owner.claim_send(now, &owned.request) {
            return false;
        }
        self.owned.record_send(call, attempt);
        true
    }

    /// Returns the state dump for operators.
    #[must_use]
    pub fn dump(&self, now: Instant) -> Dump {
        Dump {
            host: self.identity.host.clone(),
            zone: self.identity.zone.clone(),
            incarnation: self.identity.incarnation,
            ready: self.ready(),
            stopping: self.stopping,
            revisions: Key::ALL.map(|key| self.replicator.revision(key)),
            calls: self.router.calls(),
            forwarded: self.forwarded.len(),
            owner: self.owner.dump(now),
            live_hosts: self.members.live_count(),
            sharing_hosts: self.sharing_host_count(),
            leaving_servers: self.members.leaving_servers().cloned().collect(),
            watching: self.replicator.watching(),
            refused: Key::ALL
                .iter()
                .filter_map(|key| self.dump_refused(*key))
                .collect(),
        }
    }

    fn dump_refused(&self, key: Key) -> Option<RefusedDump> {
        let refused = self.replicator.refused(key)?;
        Some(RefusedDump {
            key,
            revision: refused.revision,
            error: Arc::clone(&refused.error),
        })
    }

    /// Handles one event and returns the resulting actions.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Call {
                call,
                origin,
                content_key,
            } => {
                self.handle_call(now, call, &origin, content_key, &mut actions);
            }
            Event::CallerGone(call) => self.handle_caller_gone(now, call, &mut actions),
            Event::ForwardFailed { call, sent } => {
                self.handle_forward_failed(call, sent, &mut actions);
            }
            Event::ForwardDone(call) => {
                self.forwarded.remove(&call);
            }
            Event::Attempt { attempt, event } => {
                self.record_proof(attempt, event);
                self.route_event(now, router::Event::Attempt { attempt, event }, &mut actions);
            }
            Event::Answered { attempt, answer } => self.owned.store_answer(attempt, answer),
            Event::Load { server, load } => {
                self.route_event(now, router::Event::Load { server, load }, &mut actions);
            }
            Event::ServerLeaving(server) => {
                self.handle_server_leaving(now, server, &mut actions);
            }
            Event::Peer(envelope) => self.handle_peer_message(now, envelope, &mut actions),
            Event::PeerLost(host) => self.members.connection_lost(now, &host),
            Event::Unchanged => self.replicator.handle_unchanged(now),
            Event::Published {
                key,
                revision,
                bytes,
            } => {
                self.handle_published(now, key, revision, &bytes, &mut actions);
            }
            Event::Stop => {
                self.stop(now, &mut actions);
            }
            Event::Tick => self.tick(now, &mut actions),
        }
        self.check_stopped(now, &mut actions);
        actions
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
