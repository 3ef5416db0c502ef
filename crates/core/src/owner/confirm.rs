//! Asking committees for confirmation, and answering owners that ask.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::hosts::HostView;
use crate::ids::{HostName, Incarnation, Revision};
use crate::node::Action;
use crate::owner::lease::Confirmation;
use crate::owner::message::{HeldSlot, Message, SlotAck, SlotAsk};
use crate::owner::promise::{Grant, Holder};
use crate::owner::slots::{Slot, SlotMap};
use crate::owner::state::{Asked, Owner, send};

/// Most requests for confirmation whose answers are awaited.
const ASKED_LIMIT: usize = 4096;

/// Slots to ask one host for.
#[derive(Debug, Default)]
struct Wish {
    held: Vec<HeldSlot>,
    wanted: Vec<SlotAsk>,
}

impl Owner {
    /// Asks the committees of owned slots, all or just those not held.
    pub(crate) fn ask(&mut self, now: Instant, actions: &mut Vec<Action>) {
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
        let mut wishes: BTreeMap<HostName, Wish> = BTreeMap::new();
        for slot in slots {
            self.wish(now, slot, is_due, &mut wishes);
        }
        for (to, wish) in wishes {
            self.send_ask(now, &to, wish, actions);
        }
    }

    /// Adds one slot to what each of its committee's members is asked for.
    fn wish(
        &mut self,
        now: Instant,
        slot: Slot,
        is_due: bool,
        wishes: &mut BTreeMap<HostName, Wish>,
    ) {
        let index = usize::from(slot.0);
        let settled = self.settled.get(index).copied().unwrap_or_default();
        let stint = self.stints.get(index).copied().unwrap_or_default();
        let is_settled = self.is_settled(now, slot);
        if is_settled && !is_due {
            return;
        }
        if is_settled {
            self.wish_held(now, HeldSlot { slot, stint }, wishes);
        } else {
            self.wish_wanted(
                now,
                &SlotAsk {
                    slot,
                    stint,
                    settled,
                },
                wishes,
            );
        }
        self.evaluate(now, slot);
    }

    /// Asks the slot's committee to go on confirming it.
    fn wish_held(&mut self, now: Instant, held: HeldSlot, wishes: &mut BTreeMap<HostName, Wish>) {
        let committee = self.map.committee(held.slot);
        for member in committee.iter().filter(|m| **m != self.host) {
            if let Some(wish) = wishes.get_mut(member) {
                wish.held.push(held);
                continue;
            }
            wishes.entry(member.clone()).or_default().held.push(held);
        }
        if committee.contains(&self.host) {
            self.confirm_self(now, held.slot, held.stint, self.map.revision());
        }
    }

    /// Asks all committees that have to confirm a slot that is not held yet.
    fn wish_wanted(&mut self, now: Instant, ask: &SlotAsk, wishes: &mut BTreeMap<HostName, Wish>) {
        for member in self.members(ask.slot, ask.settled) {
            if member == self.host {
                self.confirm_self(now, ask.slot, ask.stint, ask.settled);
                continue;
            }
            wishes.entry(member).or_default().wanted.push(ask.clone());
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

    fn confirm_self(&mut self, now: Instant, slot: Slot, stint: u32, settled: Revision) {
        let holder = Holder {
            host: self.host.clone(),
            incarnation: self.incarnation,
            stint,
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

    fn send_ask(&mut self, now: Instant, to: &HostName, wish: Wish, actions: &mut Vec<Action>) {
        if self.asked.len() >= ASKED_LIMIT {
            self.asked.pop_first();
        }
        self.next_number = self.next_number.wrapping_add(1);
        let number = self.next_number;
        let held = wish.held.iter().map(|h| h.slot);
        let slots = held.chain(wish.wanted.iter().map(|w| w.slot)).collect();
        self.asked.insert(
            number,
            Asked {
                to: to.clone(),
                at: now,
                slots,
            },
        );
        let view = self.map.revision();
        let Wish { held, wanted } = wish;
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

    /// Answers an owner that asks for confirmation.
    pub(crate) fn asked_by(
        &mut self,
        now: Instant,
        asker: &Holder,
        (view, number): (Revision, u64),
        held: &[HeldSlot],
        wanted: &[SlotAsk],
        actions: &mut Vec<Action>,
    ) {
        if view != self.map.revision() || !self.join.is_joined() {
            actions.push(send(
                &asker.host,
                Message::Nack {
                    view: self.map.revision(),
                },
            ));
            return;
        }
        let all_held = held.iter().map(|h| SlotAsk {
            slot: h.slot,
            stint: h.stint,
            settled: view,
        });
        let mut slots = Vec::new();
        for ask in all_held.chain(wanted.iter().cloned()) {
            if self.map.owner(ask.slot) != Some(&asker.host) {
                continue;
            }
            let holder = Holder {
                stint: ask.stint,
                ..asker.clone()
            };
            let grant = self.promises.grant(now, ask.slot, &holder, ask.settled);
            slots.extend(grant.and_then(|g| slot_ack(ask.slot, g, &ask)));
        }
        let oldest = wanted
            .iter()
            .map(|w| w.settled)
            .min()
            .unwrap_or(view)
            .max(self.retired);
        let views = self
            .older
            .range(oldest..)
            .map(|(revision, _)| *revision)
            .collect();
        let wall_ms = self.clock.wall_ms(now);
        actions.push(send(
            &asker.host,
            Message::Ack {
                number,
                wall_ms,
                views,
                slots,
            },
        ));
    }

    /// Takes the confirmation of a committee member.
    pub(crate) fn confirmed_by(
        &mut self,
        now: Instant,
        from: &HostName,
        (number, wall_ms): (u64, u64),
        views: &[Revision],
        acks: Vec<SlotAck>,
        actions: &mut Vec<Action>,
    ) {
        let Some(asked) = self.asked.remove(&number).filter(|a| a.to == *from) else {
            return;
        };
        if !self.is_clock_near(now, asked.at, wall_ms) {
            return;
        }
        let unknown = views
            .iter()
            .filter(|v| **v >= self.retired && !self.older.contains_key(v));
        let unknown: Vec<Revision> = unknown.copied().collect();
        if !unknown.is_empty() {
            let lacking = unknown.into_iter();
            actions.extend(lacking.map(|v| send(from, Message::ViewAsk(v))));
            return;
        }
        let mut told: BTreeMap<Slot, SlotAck> = acks.into_iter().map(|a| (a.slot, a)).collect();
        for slot in asked.slots {
            let grant = told
                .remove(&slot)
                .map_or_else(clear_grant, |ack| grant(&ack));
            let index = usize::from(slot.0);
            if let Some(settled) = self.settled.get_mut(index) {
                *settled = grant.settled.max(*settled);
            }
            let confirmation = confirmation(now, asked.at, grant.previous.as_ref(), &grant);
            if let Some(lease) = self.leases.get_mut(&slot) {
                lease.confirm(from, confirmation);
            }
            if !self.is_settled(now, slot) {
                self.evaluate(now, slot);
            }
        }
    }

    /// Whether another node's clock surely differs by no more than is allowed.
    ///
    /// The reading was taken between the request and its answer.
    fn is_clock_near(&self, now: Instant, asked: Instant, wall_ms: u64) -> bool {
        let error_ms = self.options.node_clock_error.as_millis() as u64;
        let earliest_ms = self.clock.wall_ms(now).saturating_sub(error_ms);
        let latest_ms = self.clock.wall_ms(asked) + error_ms;
        (earliest_ms..=latest_ms).contains(&wall_ms)
    }

    /// Tells a host list that another owner does not know.
    pub(crate) fn view_asked(
        &self,
        from: &HostName,
        revision: Revision,
        actions: &mut Vec<Action>,
    ) {
        if let Some(map) = self.older.get(&revision) {
            actions.push(send(from, Message::View(HostView::clone(map.view()))));
        }
    }

    /// Takes an older host list from another node.
    pub(crate) fn view_told(&mut self, view: HostView) {
        if view.revision < self.map.revision() && !view.hosts.is_empty() {
            let view = HostView::new(view.revision, view.hosts);
            self.remember(SlotMap::new(std::sync::Arc::new(view)));
        }
    }

    /// Asks the other hosts which list they have, after a start.
    pub(crate) fn greet(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if now < self.next_ask {
            return;
        }
        self.next_ask = now + self.options.ask_again;
        let (view, process) = (self.map.revision(), self.incarnation);
        let missing = self.join.missing(self.map.view(), &self.host);
        actions.extend(missing.map(|to| send(to, Message::Hello { view, process })));
    }

    /// Answers a host that has just started.
    pub(crate) fn greeted(
        &mut self,
        from: &HostName,
        view: Revision,
        process: Incarnation,
        actions: &mut Vec<Action>,
    ) {
        if !self.join.is_joined() {
            self.join.hear(from, view, false);
        }
        let joined = self.join.is_joined();
        let here = Message::Here {
            view: self.map.revision(),
            joined,
            process,
        };
        actions.push(send(from, here));
    }

    /// Takes the answer of another host after a start.
    pub(crate) fn heard(
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
        self.join.hear(from, view, joined);
        self.join.evaluate(self.map.view(), &self.host);
        if self.join.is_joined() {
            self.next_ask = now;
            self.ask(now, actions);
        }
    }

    /// Another host did not confirm; it is asked again.
    pub(crate) fn refused_by(&mut self, now: Instant, from: &HostName, view: Revision) {
        if view <= self.map.revision() {
            return;
        }
        self.asked
            .retain(|_, asked| asked.to != *from || asked.at > now);
    }
}

fn clear_grant() -> Grant {
    Grant {
        previous: None,
        previous_wait: Duration::ZERO,
        earlier_wait: Duration::ZERO,
        settled: Revision(0),
    }
}

fn grant(ack: &SlotAck) -> Grant {
    Grant {
        previous: ack.previous.clone(),
        previous_wait: Duration::from_millis(ack.previous_wait_ms),
        earlier_wait: Duration::from_millis(ack.earlier_wait_ms),
        settled: ack.settled,
    }
}

/// What has to be told of a grant; nothing for a held slot that is bound to nothing else.
fn slot_ack(slot: Slot, grant: Grant, ask: &SlotAsk) -> Option<SlotAck> {
    let is_wait = grant.previous_wait > Duration::ZERO || grant.earlier_wait > Duration::ZERO;
    let is_news = grant.settled > ask.settled || grant.previous.is_some();
    let is_told = is_wait || is_news;
    is_told.then(|| SlotAck {
        slot,
        previous: grant.previous,
        previous_wait_ms: whole_ms(grant.previous_wait),
        earlier_wait_ms: whole_ms(grant.earlier_wait),
        settled: grant.settled,
    })
}

/// Milliseconds, rounded up.
fn whole_ms(wait: Duration) -> u64 {
    u64::try_from(wait.as_micros().div_ceil(1000)).unwrap_or(u64::MAX)
}

/// A confirmation whose waits are stretched by what two clocks may drift apart.
fn confirmation(
    now: Instant,
    asked: Instant,
    previous: Option<&Holder>,
    grant: &Grant,
) -> Confirmation {
    Confirmation {
        asked,
        previous: previous.cloned(),
        previous_until: now + grant.previous_wait + grant.previous_wait / 20,
        earlier_until: now + grant.earlier_wait + grant.earlier_wait / 20,
    }
}
