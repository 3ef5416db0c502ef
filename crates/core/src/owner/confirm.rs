//! Confirming owners of slots, and taking confirmations.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ids::{HostName, Revision};
use crate::node::Action;
use crate::owner::lease::Confirmation;
use crate::owner::message::{HeldSlot, Message, SlotAck, SlotAsk};
use crate::owner::promise::{Grant, Holder};
use crate::owner::slots::Slot;
use crate::owner::state::{Owner, send};

impl Owner {
    /// Answers an owner that asks for confirmation.
    pub(crate) fn handle_ask(
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
            epoch: h.epoch,
            settled: view,
        });
        let asks = all_held.chain(wanted.iter().cloned());
        let slots = asks
            .filter_map(|ask| self.grant(now, asker, &ask))
            .collect();
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

    /// Confirms one slot; what has to be told of it.
    fn grant(&mut self, now: Instant, asker: &Holder, ask: &SlotAsk) -> Option<SlotAck> {
        if self.map.owner(ask.slot) != Some(&asker.host) {
            return None;
        }
        let holder = Holder {
            epoch: ask.epoch,
            ..asker.clone()
        };
        let grant = self.promises.grant(now, ask.slot, &holder, ask.settled)?;
        slot_ack(ask.slot, grant, ask)
    }

    /// Takes the confirmation of a committee member.
    pub(crate) fn handle_ack(
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
pub(crate) fn confirmation(
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
