//! State machine of request id ownership.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::hosts::HostView;
use crate::ids::{HostName, Incarnation, RequestId, Revision};
use crate::node::Action;
use crate::owner::clock::WallClock;
use crate::owner::handover::{Incoming, Outgoing};
use crate::owner::join::Join;
use crate::owner::lease::{Evaluation, Lease};
use crate::owner::message::Message;
use crate::owner::options::Options;
use crate::owner::promise::{Holder, Promises};
use crate::owner::records::Records;
use crate::owner::slots::{SLOT_COUNT, Slot, SlotMap, slot_of};
use crate::peer;

/// Maximum number of older host lists that are kept.
const OLDER_MAPS_MAX: usize = 64;

/// Location of a request id's owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnerLocation {
    /// This node owns it.
    Local,
    /// The node on another host owns it.
    Remote(HostName),
    /// No node owns it: no host list is known, or it names no live host.
    Unowned,
}

/// State of ownership, as shown to operators.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Dump {
    /// Revision of the host list in force.
    pub view: Revision,
    /// Whether this process may confirm owners.
    pub joined: bool,
    /// Number of slots that the host list assigns to this host.
    pub owned_slots: usize,
    /// Number of slots whose lease this host holds.
    pub held_slots: usize,
    /// Number of recorded request ids.
    pub records: usize,
    /// Number of handovers that the new owner has not confirmed yet.
    pub handovers: usize,
}

/// A request for confirmation that has not been answered yet.
#[derive(Debug)]
pub(crate) struct PendingAsk {
    pub(crate) to: HostName,
    pub(crate) sent_at: Instant,
    pub(crate) slots: Vec<Slot>,
}

/// State machine of ownership; see the module documentation.
#[derive(Debug)]
pub struct Owner {
    pub(crate) host: HostName,
    pub(crate) incarnation: Incarnation,
    pub(crate) options: Options,
    pub(crate) clock: WallClock,
    pub(crate) map: SlotMap,
    pub(crate) older_maps: BTreeMap<Revision, SlotMap>,
    pub(crate) join: Join,
    pub(crate) promises: Promises,
    pub(crate) leases: BTreeMap<Slot, Lease>,
    pub(crate) settled: Vec<Revision>,
    pub(crate) epochs: Vec<u32>,
    pub(crate) records: Records,
    pub(crate) outgoing: BTreeMap<Slot, Outgoing>,
    pub(crate) incoming: BTreeMap<Slot, Incoming>,
    pub(crate) pending_asks: BTreeMap<u64, PendingAsk>,
    pub(crate) next_number: u64,
    pub(crate) next_ask: Instant,
    pub(crate) next_wanted_ask: Instant,
    pub(crate) retired: Revision,
    stopping: Option<Instant>,
}

impl Owner {
    /// Creates an owner that knows no host list yet.
    ///
    /// `wall_ms` is the wall clock at `now`, in milliseconds since 1970.
    #[must_use]
    pub fn new(
        host: HostName,
        incarnation: Incarnation,
        options: Options,
        now: Instant,
        wall_ms: u64,
    ) -> Self {
        let records = Records::new(
            options.retry_window,
            options.records_limit,
            options.answers_limit_bytes,
            incarnation.0,
        );
        Self {
            host,
            incarnation,
            clock: WallClock::new(now, wall_ms),
            map: SlotMap::new(Arc::default()),
            older_maps: BTreeMap::new(),
            join: Join::default(),
            promises: Promises::new(now, options.promise_duration()),
            leases: BTreeMap::new(),
            settled: vec![Revision(0); usize::from(SLOT_COUNT)],
            epochs: vec![0; usize::from(SLOT_COUNT)],
            records,
            outgoing: BTreeMap::new(),
            incoming: BTreeMap::new(),
            pending_asks: BTreeMap::new(),
            next_number: incarnation.0,
            next_ask: now,
            next_wanted_ask: now,
            retired: Revision(0),
            stopping: None,
            options,
        }
    }

    /// Returns the host list in force.
    #[must_use]
    pub fn view(&self) -> &HostView {
        self.map.view()
    }

    /// Returns the time after which refused callers may retry.
    #[must_use]
    pub fn retry_after(&self) -> Duration {
        self.options.retry_after
    }

    /// Returns the state of ownership for operators.
    #[must_use]
    pub fn dump(&self, now: Instant) -> Dump {
        Dump {
            view: self.map.revision(),
            joined: self.join.is_joined(),
            owned_slots: self.leases.len(),
            held_slots: self.leases.values().filter(|l| l.is_held(now)).count(),
            records: self.records.len(),
            handovers: self.outgoing.len(),
        }
    }

    /// Adopts a newer host list; ignores an older one.
    pub fn adopt(&mut self, now: Instant, view: Arc<HostView>, actions: &mut Vec<Action>) {
        if view.revision <= self.map.revision() {
            return;
        }
        let old = std::mem::replace(&mut self.map, SlotMap::new(view));
        if !old.view().hosts.is_empty() {
            self.add_older_map(old);
        }
        self.release_moved_slots(now);
        let owned: Vec<Slot> = self.map.owned_by(&self.host).collect();
        for slot in owned {
            self.leases.entry(slot).or_default().clear_confirmations();
        }
        self.pending_asks.clear();
        self.redirect_handovers(now);
        self.apply_incoming(now, actions);
        self.next_ask = now;
        self.tick(now, actions);
    }

    /// Keeps an older host list, whose owners may still be confirmed.
    pub(crate) fn add_older_map(&mut self, map: SlotMap) {
        if map.revision() < self.retired {
            return;
        }
        self.older_maps.insert(map.revision(), map);
        while self.older_maps.len() > OLDER_MAPS_MAX {
            self.older_maps.pop_first();
        }
    }

    /// Records that no host runs with a list older than `revision`.
    ///
    /// Older lists are dropped; their committees need not confirm.
    pub fn retire(&mut self, revision: Revision) {
        self.retired = self.retired.max(revision);
        self.older_maps = self.older_maps.split_off(&self.retired);
    }

    /// Returns where a request id is owned under the host list in force.
    #[must_use]
    pub fn locate(&self, request: &RequestId) -> OwnerLocation {
        match self.map.owner(slot_of(request)) {
            None => OwnerLocation::Unowned,
            Some(host) if *host == self.host => OwnerLocation::Local,
            Some(host) => OwnerLocation::Remote(host.clone()),
        }
    }

    /// Begins a graceful shutdown.
    pub fn stop(&mut self, now: Instant) {
        self.stopping.get_or_insert(now);
    }

    /// Returns whether a graceful shutdown can complete without losing records.
    ///
    /// Also true once the shutdown has waited for [`Options::stop_timeout`].
    #[must_use]
    pub fn may_stop(&self, now: Instant) -> bool {
        let Some(since) = self.stopping else {
            return false;
        };
        let is_moved = self.leases.is_empty() && self.outgoing.is_empty();
        is_moved
            || self.records.is_empty()
            || now.saturating_duration_since(since) >= self.options.stop_timeout
    }

    /// Handles a message from another node.
    pub fn message(
        &mut self,
        now: Instant,
        from: &HostName,
        incarnation: Incarnation,
        message: Message,
        actions: &mut Vec<Action>,
    ) {
        match message {
            Message::Ask {
                view,
                number,
                held,
                wanted,
            } => {
                let holder = Holder {
                    host: from.clone(),
                    incarnation,
                    epoch: 0,
                };
                self.handle_ask(now, &holder, (view, number), &held, &wanted, actions);
            }
            Message::Ack {
                number,
                wall_ms,
                views,
                slots,
            } => {
                self.handle_ack(now, from, (number, wall_ms), &views, slots, actions);
            }
            Message::Nack { view } => self.handle_nack(from, view),
            Message::ViewAsk(revision) => self.handle_view_ask(from, revision, actions),
            Message::View(view) => self.handle_view(view),
            Message::Hello { view, process } => self.handle_hello(from, view, process, actions),
            Message::Here {
                view,
                joined,
                process,
            } => {
                self.handle_here(now, from, (view, joined), process, actions);
            }
            Message::Handover(part) => self.handle_handover(now, from, part, actions),
            Message::HandoverAck { slot, view } => self.handle_handover_ack(from, slot, view),
            Message::Update { slot, record } => {
                if slot_of(&record.request) == slot {
                    self.records.take(now, record);
                }
            }
        }
    }

    /// Drops expired records and sends the messages that are due.
    pub fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.records.expire(now);
        self.join.evaluate(self.map.view(), &self.host);
        if !self.join.is_joined() {
            self.send_hellos(now, actions);
            return;
        }
        self.request_confirmations(now, actions);
        self.resend_handovers(now, actions);
    }

    /// Returns whether the slot is held and confirmed under the host list in force.
    pub(crate) fn is_settled(&self, now: Instant, slot: Slot) -> bool {
        let settled = self.settled.get(usize::from(slot.0));
        let is_held = self.leases.get(&slot).is_some_and(|l| l.is_held(now));
        is_held && settled == Some(&self.map.revision())
    }

    /// Starts or extends the lease term of one slot if its confirmations allow it.
    pub(crate) fn evaluate(&mut self, now: Instant, slot: Slot) {
        let index = usize::from(slot.0);
        let settled = self
            .settled
            .get(index)
            .copied()
            .unwrap_or_default()
            .max(self.retired);
        let older_committees = self
            .older_maps
            .range(settled..)
            .map(|(_, map)| map.committee(slot));
        let mut committees: Vec<&[HostName]> = Vec::new();
        if settled < self.map.revision() {
            committees.extend(older_committees);
        }
        committees.push(self.map.committee(slot));
        let Some(lease) = self.leases.get_mut(&slot) else {
            return;
        };
        let wall_ms = self.clock.wall_ms(now);
        let evaluation = lease.evaluate(now, wall_ms, self.options.lease, &committees);
        if evaluation != Evaluation::Unconfirmed
            && let Some(settled) = self.settled.get_mut(index)
        {
            *settled = self.map.revision();
        }
    }
}

/// Returns the action that sends a message of ownership.
pub(crate) fn send(to: &HostName, message: Message) -> Action {
    Action::Send {
        to: to.clone(),
        message: peer::Message::Owner(message),
    }
}
