//! News of the platform, of other nodes and of servers.

use std::sync::Arc;
use std::time::Instant;

use crate::conf::{self, Adopted, Key};
use crate::division::Division;
use crate::ids::{Revision, ServerName};
use crate::member;
use crate::node::event::Action;
use crate::node::state::Node;
use crate::peer::{Envelope, Message};
use crate::router;

/// Most peers remembered by a node that knows no host list.
const CONTACTS_MAX: usize = 16;

impl Node {
    /// Does what is due in all parts.
    pub(crate) fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut out = Vec::new();
        self.replicator.tick(now, &mut out);
        self.replicator_outputs(now, out, actions);
        let mut out = Vec::new();
        self.members.tick(now, &mut out);
        self.member_outputs(now, out, actions);
        self.owner.tick(now, actions);
        self.route(now, router::Event::Tick, actions);
    }

    /// Begins a planned stop.
    pub(crate) fn stop(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.stopping {
            return;
        }
        self.stopping = true;
        self.owner.stop(now);
        let mut out = Vec::new();
        self.members.leave(now, &mut out);
        self.member_outputs(now, out, actions);
    }

    /// Takes a message from another node's core.
    pub(crate) fn peer(&mut self, now: Instant, envelope: Envelope, actions: &mut Vec<Action>) {
        let Envelope {
            from,
            address,
            incarnation,
            message,
        } = envelope;
        if self.hosts().hosts.is_empty() && self.contacts.len() < CONTACTS_MAX {
            self.contacts.insert(from.clone(), address);
        }
        match message {
            Message::Owner(message) => {
                self.owner
                    .message(now, &from, incarnation, message, actions);
            }
            Message::Member(message) => {
                let mut out = Vec::new();
                self.members
                    .handle_message(now, &from, incarnation, message, &mut out);
                self.member_outputs(now, out, actions);
            }
            Message::Conf(message) => {
                let mut out = Vec::new();
                self.replicator
                    .handle_message(now, &*self.documents, &from, message, &mut out);
                self.replicator_outputs(now, out, actions);
            }
        }
    }

    /// Takes a value that the platform answered with.
    pub(crate) fn published(
        &mut self,
        now: Instant,
        key: Key,
        revision: Revision,
        bytes: &Arc<[u8]>,
        actions: &mut Vec<Action>,
    ) {
        let mut out = Vec::new();
        self.replicator
            .handle_published(now, &*self.documents, key, revision, bytes, &mut out);
        self.replicator_outputs(now, out, actions);
    }

    /// A server said that it is leaving.
    pub(crate) fn server_leaving(
        &mut self,
        now: Instant,
        server: ServerName,
        actions: &mut Vec<Action>,
    ) {
        self.route(now, router::Event::ServerLeaving(server.clone()), actions);
        let mut out = Vec::new();
        self.members.server_leaving(now, server, &mut out);
        self.member_outputs(now, out, actions);
    }

    fn replicator_outputs(
        &mut self,
        now: Instant,
        out: Vec<conf::Output>,
        actions: &mut Vec<Action>,
    ) {
        for output in out {
            match output {
                conf::Output::Adopted(adopted) => self.adopt(now, adopted, actions),
                conf::Output::Send { to, message } => actions.push(Action::Send {
                    to,
                    message: Message::Conf(message),
                }),
                conf::Output::Watch(on) => actions.push(Action::Watch(on)),
            }
        }
    }

    fn member_outputs(
        &mut self,
        now: Instant,
        out: Vec<member::Output>,
        actions: &mut Vec<Action>,
    ) {
        for output in out {
            match output {
                member::Output::Send { to, message } => actions.push(Action::Send {
                    to,
                    message: Message::Member(message),
                }),
                member::Output::ServerLeaving(server) => {
                    self.route(now, router::Event::ServerLeaving(server), actions);
                }
                member::Output::Changed { .. } => self.share(now, actions),
                member::Output::Paused(_) => {}
            }
        }
    }

    /// Tells the router among how many nodes the servers are divided.
    fn share(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let count = self.sharing();
        self.route(now, router::Event::SharingNodes(count), actions);
    }

    /// Number of hosts among which limits are divided.
    ///
    /// The smaller side of a partition does not take over the parts of the larger.
    pub(crate) fn sharing(&self) -> usize {
        let division = Division::new(self.hosts(), |host| self.members.usable(host));
        division.sharing_hosts().len().max(1)
    }

    fn adopt(&mut self, now: Instant, adopted: Adopted, actions: &mut Vec<Action>) {
        match adopted {
            Adopted::Hosts(view) => {
                self.contacts.clear();
                self.members.set_hosts(now, &view);
                self.replicator.set_hosts(now, &view);
                self.owner.adopt(now, view, actions);
                self.share(now, actions);
            }
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
}
