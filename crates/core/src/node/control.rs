//! Control events: ticks, peers' messages, published values and leaving servers.

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

/// Maximum number of contacts of a node without a host list.
const CONTACTS_MAX: usize = 16;

impl Node {
    /// Runs the work that is due in all components.
    pub(crate) fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut out = Vec::new();
        self.replicator.tick(now, &mut out);
        self.apply_replicator_outputs(now, out, actions);
        let mut out = Vec::new();
        self.members.tick(now, &mut out);
        self.apply_member_outputs(now, out, actions);
        self.owner.tick(now, actions);
        self.route_event(now, router::Event::Tick, actions);
    }

    /// Begins a graceful shutdown.
    pub(crate) fn stop(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.stopping {
            return;
        }
        self.stopping = true;
        self.owner.stop(now);
        let mut out = Vec::new();
        self.members.leave(now, &mut out);
        self.apply_member_outputs(now, out, actions);
    }

    /// Handles a message from another node.
    pub(crate) fn handle_peer_message(
        &mut self,
        now: Instant,
        envelope: Envelope,
        actions: &mut Vec<Action>,
    ) {
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
                self.apply_member_outputs(now, out, actions);
            }
            Message::Conf(message) => {
                let mut out = Vec::new();
                self.replicator
                    .handle_message(now, &*self.documents, &from, message, &mut out);
                self.apply_replicator_outputs(now, out, actions);
            }
        }
    }

    /// Handles a value returned by the platform.
    pub(crate) fn handle_published(
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
        self.apply_replicator_outputs(now, out, actions);
    }

    /// Handles a server's announcement that it is leaving.
    pub(crate) fn handle_server_leaving(
        &mut self,
        now: Instant,
        server: ServerName,
        actions: &mut Vec<Action>,
    ) {
        self.route_event(now, router::Event::ServerLeaving(server.clone()), actions);
        let mut out = Vec::new();
        self.members.server_leaving(now, server, &mut out);
        self.apply_member_outputs(now, out, actions);
    }

    fn apply_replicator_outputs(
        &mut self,
        now: Instant,
        out: Vec<conf::Output>,
        actions: &mut Vec<Action>,
    ) {
        for output in out {
            match output {
                conf::Output::Adopted(adopted) => self.apply_value(now, adopted, actions),
                conf::Output::Send { to, message } => actions.push(Action::Send {
                    to,
                    message: Message::Conf(message),
                }),
                conf::Output::Watch(on) => actions.push(Action::Watch(on)),
            }
        }
    }

    fn apply_member_outputs(
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
                    self.route_event(now, router::Event::ServerLeaving(server), actions);
                }
                member::Output::Changed { .. } => self.update_sharing_nodes(now, actions),
                member::Output::Paused(_) => {}
            }
        }
    }

    /// Updates the number of nodes that the router divides limits among.
    fn update_sharing_nodes(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let count = self.sharing_host_count();
        self.route_event(now, router::Event::SharingNodes(count), actions);
    }

    /// Returns the number of hosts that limits are divided among.
    ///
    /// The smaller side of a partition does not take over the shares of the larger.
    pub(crate) fn sharing_host_count(&self) -> usize {
        let division = Division::new(self.hosts(), |host| self.members.usable(host));
        division.sharing_hosts().len().max(1)
    }

    fn apply_value(&mut self, now: Instant, adopted: Adopted, actions: &mut Vec<Action>) {
        match adopted {
            Adopted::Hosts(view) => {
                self.contacts.clear();
                self.members.set_hosts(now, &view);
                self.replicator.set_hosts(now, &view);
                self.owner.adopt(now, view, actions);
                self.update_sharing_nodes(now, actions);
            }
            Adopted::Servers(fleet) => {
                self.fleet = Arc::clone(&fleet);
                self.route_event(now, router::Event::Fleet(fleet), actions);
            }
            Adopted::Config(catalog) => {
                self.catalog = Some(Arc::clone(&catalog));
                self.owner.retire(catalog.retired_hosts_revision);
                self.route_event(now, router::Event::Catalog(catalog), actions);
            }
        }
    }
}
