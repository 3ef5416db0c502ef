//! Requests to the committees to confirm this host's slots.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::ids::{HostName, Revision};
use crate::node::Action;
use crate::owner::confirm::confirmation;
use crate::owner::message::{HeldSlot, Message, SlotAsk};
use crate::owner::promise::Holder;
use crate::owner::slots::Slot;
use crate::owner::state::{Owner, PendingAsk, send};

/// Maximum number of unanswered requests for confirmation.
const PENDING_ASKS_MAX: usize = 4096;

/// Slots that one host is asked to confirm.
#[derive(Debug, Default)]
struct SlotRequests {
    held: Vec<HeldSlot>,
    wanted: Vec<SlotAsk>,
}

impl Owner {
    /// Asks the committees to confirm all owned slots, or only those not yet held.
    pub(crate) fn request_confirmations(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let is_due = now >= self.next_ask;
        if !is_due && now < self.next_wanted_ask {
            return;
        }
        if is_due {
            self.next_ask = now + self.options.renew_interval;
        }
        self.next_wanted_ask = now + self.options.acquire_interval;
        self.pending_asks
            .retain(|_, ask| ask.sent_at + self.options.lease > now);
        let slots: Vec<Slot> = self.leases.keys().copied().collect();
        let mut requests_by_host: BTreeMap<HostName, SlotRequests> = BTreeMap::new();
        for slot in slots {
            self.request_slot(now, slot, is_due, &mut requests_by_host);
        }
        for (to, requests) in requests_by_host {
            self.send_ask(now, &to, requests, actions);
        }
    }

    /// Adds one slot to the requests to its committee members.
    fn request_slot(
        &mut self,
        now: Instant,
        slot: Slot,
        is_due: bool,
        requests_by_host: &mut BTreeMap<HostName, SlotRequests>,
    ) {
        let index = usize::from(slot.0);
        let settled = self.settled.get(index).copied().unwrap_or_default();
        let epoch = self.epochs.get(index).copied().unwrap_or_default();
        let is_settled = self.is_settled(now, slot);
        if is_settled && !is_due {
            return;
        }
        if is_settled {
            self.request_held(now, HeldSlot { slot, epoch }, requests_by_host);
        } else {
            self.request_wanted(
                now,
                &SlotAsk {
                    slot,
                    epoch,
                    settled,
                },
                requests_by_host,
            );
        }
        self.evaluate(now, slot);
    }

    /// Adds a held slot to the requests to its committee.
    fn request_held(
        &mut self,
        now: Instant,
        held: HeldSlot,
        requests_by_host: &mut BTreeMap<HostName, SlotRequests>,
    ) {
        let committee = self.map.committee(held.slot);
        for member in committee.iter().filter(|m| **m != self.host) {
            if let Some(requests) = requests_by_host.get_mut(member) {
                requests.held.push(held);
                continue;
            }
            requests_by_host
                .entry(member.clone())
                .or_default()
                .held
                .push(held);
        }
        if committee.contains(&self.host) {
            self.confirm_own_slot(now, held.slot, held.epoch, self.map.revision());
        }
    }

    /// Adds a slot that is not yet held to the requests to all its committees.
    fn request_wanted(
        &mut self,
        now: Instant,
        ask: &SlotAsk,
        requests_by_host: &mut BTreeMap<HostName, SlotRequests>,
    ) {
        for member in self.confirming_members(ask.slot, ask.settled) {
            if member == self.host {
                self.confirm_own_slot(now, ask.slot, ask.epoch, ask.settled);
                continue;
            }
            requests_by_host
                .entry(member)
                .or_default()
                .wanted
                .push(ask.clone());
        }
    }

    /// Returns the members of all committees that have to confirm the slot.
    fn confirming_members(&self, slot: Slot, settled: Revision) -> Vec<HostName> {
        let mut members: Vec<HostName> = self.map.committee(slot).to_vec();
        if settled < self.map.revision() {
            let older_maps = self.older_maps.range(settled.max(self.retired)..);
            members.extend(older_maps.flat_map(|(_, map)| map.committee(slot).iter().cloned()));
        }
        members.sort();
        members.dedup();
        members
    }

    fn confirm_own_slot(&mut self, now: Instant, slot: Slot, epoch: u32, settled: Revision) {
        let holder = Holder {
            host: self.host.clone(),
            incarnation: self.incarnation,
            epoch,
        };
        let Some(grant) = self.promises.grant(now, slot, &holder, settled) else {
            return;
        };
        let confirmation = confirmation(now, now, grant.previous.as_ref(), &grant);
        let host = self.host.clone();
        if let Some(lease) = self.leases.get_mut(&slot) {
            lease.add_confirmation(&host, confirmation);
        }
    }

    fn send_ask(
        &mut self,
        now: Instant,
        to: &HostName,
        requests: SlotRequests,
        actions: &mut Vec<Action>,
    ) {
        if self.pending_asks.len() >= PENDING_ASKS_MAX {
            self.pending_asks.pop_first();
        }
        self.next_number = self.next_number.wrapping_add(1);
        let number = self.next_number;
        let held = requests.held.iter().map(|h| h.slot);
        let slots = held.chain(requests.wanted.iter().map(|w| w.slot)).collect();
        self.pending_asks.insert(
            number,
            PendingAsk {
                to: to.clone(),
                sent_at: now,
                slots,
            },
        );
        let view = self.map.revision();
        let SlotRequests { held, wanted } = requests;
        actions.push(send(
            to,
            Message::Ask {
                view,
                number,
                held,
                wanted,
            },
        ));
    }
}
