//! Confirmation of slot holders, by committee members and at the owner.

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
    /// Confirms the asking owner's slots, or refuses if this host may not confirm.
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
        let held_asks = held.iter().map(|h| SlotAsk {
            slot: h.slot,
            epoch: h.epoch,
            settled: view,
        });
        let asks = held_asks.chain(wanted.iter().cloned());
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
            .older_maps
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

    /// Confirms one slot; returns what the asking owner has to know of it.
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

    /// Records a committee member's confirmations and evaluates the leases.
    ///
    /// Asks for host lists instead that the member knows and this host does not:
    /// their committees have to confirm as well.
    pub(crate) fn handle_ack(
        &mut self,
        now: Instant,
        from: &HostName,
        (number, wall_ms): (u64, u64),
        views: &[Revision],
        acks: Vec<SlotAck>,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending_ask) = self.pending_asks.remove(&number).filter(|a| a.to == *from) else {
            return;
        };
        if !self.is_clock_within_error(now, pending_ask.sent_at, wall_ms) {
            return;
        }
        let unknown = views
            .iter()
            .filter(|v| **v >= self.retired && !self.older_maps.contains_key(v));
        let unknown: Vec<Revision> = unknown.copied().collect();
        if !unknown.is_empty() {
            let unknown_views = unknown.into_iter();
            actions.extend(unknown_views.map(|v| send(from, Message::ViewAsk(v))));
            return;
        }
        let mut ack_by_slot: BTreeMap<Slot, SlotAck> =
            acks.into_iter().map(|a| (a.slot, a)).collect();
        for slot in pending_ask.slots {
            let grant = ack_by_slot
                .remove(&slot)
                .map_or_else(unbound_grant, |ack| grant_from_ack(&ack));
            let index = usize::from(slot.0);
            if let Some(settled) = self.settled.get_mut(index) {
                *settled = grant.settled.max(*settled);
            }
            let confirmation =
                confirmation(now, pending_ask.sent_at, grant.previous.as_ref(), &grant);
            if let Some(lease) = self.leases.get_mut(&slot) {
                lease.add_confirmation(from, confirmation);
            }
            if !self.is_settled(now, slot) {
                self.evaluate(now, slot);
            }
        }
    }

    /// Returns whether another node's clock is certainly within the allowed error.
    ///
    /// The reading was taken between the request and its answer.
    fn is_clock_within_error(&self, now: Instant, requested_at: Instant, wall_ms: u64) -> bool {
        let error_ms = self.options.node_clock_error.as_millis() as u64;
        let earliest_ms = self.clock.wall_ms(now).saturating_sub(error_ms);
        let latest_ms = self.clock.wall_ms(requested_at) + error_ms;
        (earliest_ms..=latest_ms).contains(&wall_ms)
    }
}

/// Returns the grant of a slot that [`Message::Ack`] does not list.
fn unbound_grant() -> Grant {
    Grant {
        previous: None,
        previous_wait: Duration::ZERO,
        earlier_wait: Duration::ZERO,
        settled: Revision(0),
    }
}

/// Converts a received confirmation.
fn grant_from_ack(ack: &SlotAck) -> Grant {
    Grant {
        previous: ack.previous.clone(),
        previous_wait: Duration::from_millis(ack.previous_wait_ms),
        earlier_wait: Duration::from_millis(ack.earlier_wait_ms),
        settled: ack.settled,
    }
}

/// Returns what the holder has to know of a grant, if anything.
fn slot_ack(slot: Slot, grant: Grant, ask: &SlotAsk) -> Option<SlotAck> {
    let is_wait = grant.previous_wait > Duration::ZERO || grant.earlier_wait > Duration::ZERO;
    let is_new = grant.settled > ask.settled || grant.previous.is_some();
    let is_reported = is_wait || is_new;
    is_reported.then(|| SlotAck {
        slot,
        previous: grant.previous,
        previous_wait_ms: ceil_ms(grant.previous_wait),
        earlier_wait_ms: ceil_ms(grant.earlier_wait),
        settled: grant.settled,
    })
}

/// Converts to milliseconds, rounded up.
fn ceil_ms(wait: Duration) -> u64 {
    u64::try_from(wait.as_micros().div_ceil(1000)).unwrap_or(u64::MAX)
}

/// Returns a confirmation with 5% longer waits, to allow for clock drift.
pub(crate) fn confirmation(
    now: Instant,
    requested_at: Instant,
    previous: Option<&Holder>,
    grant: &Grant,
) -> Confirmation {
    Confirmation {
        requested_at,
        previous: previous.cloned(),
        previous_until: now + grant.previous_wait + grant.previous_wait / 20,
        earlier_until: now + grant.earlier_wait + grant.earlier_wait / 20,
    }
}
