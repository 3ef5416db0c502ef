//! Exchange of older host lists, and joining after a start.

use std::sync::Arc;
use std::time::Instant;

use crate::hosts::HostView;
use crate::ids::{HostName, Incarnation, Revision};
use crate::node::Action;
use crate::owner::message::Message;
use crate::owner::slots::SlotMap;
use crate::owner::state::{Owner, send};

impl Owner {
    /// Sends an older host list that another owner does not know.
    pub(crate) fn handle_view_ask(
        &self,
        from: &HostName,
        revision: Revision,
        actions: &mut Vec<Action>,
    ) {
        if let Some(map) = self.older_maps.get(&revision) {
            actions.push(send(from, Message::View(HostView::clone(map.view()))));
        }
    }

    /// Records an older host list from another node.
    pub(crate) fn handle_view(&mut self, view: HostView) {
        if view.revision < self.map.revision() && !view.hosts.is_empty() {
            let view = HostView::new(view.revision, view.hosts);
            self.add_older_map(SlotMap::new(Arc::new(view)));
        }
    }

    /// Asks the other hosts, after a start, for the revision of their host list.
    pub(crate) fn send_hellos(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if now < self.next_ask {
            return;
        }
        self.next_ask = now + self.options.acquire_interval;
        let (view, process) = (self.map.revision(), self.incarnation);
        let awaited_hosts = self.join.awaited_hosts(self.map.view(), &self.host);
        actions.extend(awaited_hosts.map(|to| send(to, Message::Hello { view, process })));
    }

    /// Answers a process that has just started.
    pub(crate) fn handle_hello(
        &mut self,
        from: &HostName,
        view: Revision,
        process: Incarnation,
        actions: &mut Vec<Action>,
    ) {
        if !self.join.is_joined() {
            self.join.record_reply(from, view, false);
        }
        let joined = self.join.is_joined();
        let here = Message::Here {
            view: self.map.revision(),
            joined,
            process,
        };
        actions.push(send(from, here));
    }

    /// Records another host's answer to [`Message::Hello`].
    pub(crate) fn handle_here(
        &mut self,
        now: Instant,
        from: &HostName,
        (view, joined): (Revision, bool),
        process: Incarnation,
        actions: &mut Vec<Action>,
    ) {
        if self.join.is_joined() || process != self.incarnation {
            return;
        }
        self.join.record_reply(from, view, joined);
        self.join.evaluate(self.map.view(), &self.host);
        if self.join.is_joined() {
            self.next_ask = now;
            self.request_confirmations(now, actions);
        }
    }

    /// Drops pending requests to a host that refused and has a newer host list.
    pub(crate) fn handle_nack(&mut self, from: &HostName, view: Revision) {
        if view <= self.map.revision() {
            return;
        }
        self.pending_asks.retain(|_, ask| ask.to != *from);
    }
}
