//! Asking committees to confirm this host's slots.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::ids::{HostName, Revision};
use crate::node::Action;
use crate::owner::confirm::confirmation;
use crate::owner::message::{HeldSlot, Message, SlotAsk};
use crate::owner::promise::Holder;
use crate::owner::slots::Slot;
use crate::owner::state::{Asked, Owner, send};

/// Most requests for confirmation whose answers are awaited.
const ASKED_LIMIT: usize = 4096;

/// Slots to ask one host for.
#[derive(Debug, Default)]
struct SlotRequests {
    held: Vec<HeldSlot>,
    wanted: Vec<SlotAsk>,
}

impl Owner {
    /// Asks the committees of owned slots, all or just those not held.
    pub(crate) fn request_confirmations(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let is_due = now >= self.next_ask;
        if !is_due && now < self.next_wanted_ask {
            return;
        }
        if is_due {
            self.next_ask = now + self.options.ask_every;
        }
        self.next_wanted_ask = now + self.options.ask_again;
        self.asked
            .retain(|_, asked| asked.at + self.options.lease > now);
        let slots: Vec<Slot> = self.leases.keys().copied().collect();
        let mut requests_by_host: BTreeMap<HostName, SlotRequests> = BTreeMap::new();
        for slot in slots {
            self.request_slot(now, slot, is_due, &mut requests_by_host);
        }
        for (to, requests) in requests_by_host {
            self.send_ask(now, &to, requests, actions);
        }
    }

    /// Adds one slot to what each of its committee's members is asked for.
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

    /// Asks the slot's committee to go on confirming it.
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
            self.confirm_self(now, held.slot, held.epoch, self.map.revision());
        }
    }

    /// Asks all committees that have to confirm a slot that is not held yet.
    fn request_wanted(
        &mut self,
        now: Instant,
        ask: &SlotAsk,
        requests_by_host: &mut BTreeMap<HostName, SlotRequests>,
    ) {
        for member in self.members(ask.slot, ask.settled) {
            if member == self.host {
                self.confirm_self(now, ask.slot, ask.epoch, ask.settled);
                continue;
            }
            requests_by_host
                .entry(member)
                .or_default()
                .wanted
                .push(ask.clone());
        }
    }

    /// Members of all committees that have to confirm the slot.
    fn members(&self, slot: Slot, settled: Revision) -> Vec<HostName> {
        let mut members: Vec<HostName> = self.map.committee(slot).to_vec();
        if settled < self.map.revision() {
            let older = self.older.range(settled.max(self.retired)..);
            members.extend(older.flat_map(|(_, map)| map.committee(slot).iter().cloned()));
        }
        members.sort();
        members.dedup();
        members
    }

    fn confirm_self(&mut self, now: Instant, slot: Slot, epoch: u32, settled: Revision) {
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
            lease.confirm(&host, confirmation);
        }
    }

    fn send_ask(
        &mut self,
        now: Instant,
        to: &HostName,
        requests: SlotRequests,
        actions: &mut Vec<Action>,
    ) {
        if self.asked.len() >= ASKED_LIMIT {
            self.asked.pop_first();
        }
        self.next_number = self.next_number.wrapping_add(1);
        let number = self.next_number;
        let held = requests.held.iter().map(|h| h.slot);
        let slots = held.chain(requests.wanted.iter().map(|w| w.slot)).collect();
        self.asked.insert(
            number,
            Asked {
                to: to.clone(),
                at: now,
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
