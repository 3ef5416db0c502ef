//! Transfer of records between owners when the host list changes.

use std::time::{Duration, Instant};

use crate::ids::{HostName, Revision};
use crate::node::Action;
use crate::owner::handover::{Handover, Incoming, Outgoing, PART_RECORDS_MAX};
use crate::owner::lease::{Lease, RecordsStart};
use crate::owner::message::{Message, Record};
use crate::owner::promise::Holder;
use crate::owner::slots::Slot;
use crate::owner::state::{Owner, send};

/// Time between two sends of an unconfirmed handover.
const RESEND_INTERVAL: Duration = Duration::from_millis(300);

impl Owner {
    /// Releases the slots that the new host list assigns to other hosts.
    pub(crate) fn release_moved_slots(&mut self, now: Instant) {
        let moved: Vec<Slot> = self
            .leases
            .keys()
            .copied()
            .filter(|slot| self.map.owner(*slot) != Some(&self.host))
            .collect();
        if moved.is_empty() {
            return;
        }
        for (slot, records) in self.records.records_by_slot(now, &moved) {
            let Some(lease) = self.leases.remove(&slot) else {
                continue;
            };
            self.release_slot(now, slot, &lease, &records);
        }
    }

    /// Releases one slot, and prepares its handover if it is still held.
    fn release_slot(&mut self, now: Instant, slot: Slot, lease: &Lease, records: &[Record]) {
        let index = usize::from(slot.0);
        let Some(epoch) = self.epochs.get_mut(index) else {
            return;
        };
        let holder = Holder {
            host: self.host.clone(),
            incarnation: self.incarnation,
            epoch: *epoch,
        };
        *epoch += 1;
        let Some(term) = lease.term.as_ref().filter(|t| now < t.valid_until) else {
            return;
        };
        let Some(to) = self.map.owner(slot).cloned() else {
            return;
        };
        let parts = split_into_parts(
            now,
            slot,
            self.map.revision(),
            &holder,
            term.records_start,
            records,
        );
        let outgoing = Outgoing {
            to,
            parts,
            created_at: now,
            next_send: now,
        };
        self.outgoing.insert(slot, outgoing);
    }

    /// Redirects unconfirmed handovers to the owners under the new host list.
    pub(crate) fn redirect_handovers(&mut self, now: Instant) {
        let view = self.map.revision();
        for (slot, outgoing) in &mut self.outgoing {
            let Some(owner) = self.map.owner(*slot) else {
                continue;
            };
            outgoing.to = owner.clone();
            outgoing.next_send = now;
            for part in &mut outgoing.parts {
                part.view = view;
            }
        }
        let host = &self.host;
        self.outgoing.retain(|_, outgoing| outgoing.to != *host);
    }

    /// Sends the unconfirmed handovers that are due, and drops expired ones.
    pub(crate) fn resend_handovers(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let window = self.options.retry_window;
        self.outgoing
            .retain(|_, o| now.saturating_duration_since(o.created_at) < window);
        for outgoing in self.outgoing.values_mut() {
            if now < outgoing.next_send {
                continue;
            }
            outgoing.next_send = now + RESEND_INTERVAL;
            let parts = outgoing.parts_at(now);
            actions.extend(parts.map(|p| send(&outgoing.to, Message::Handover(p))));
        }
    }

    /// Removes a handover of which the new owner has all parts.
    pub(crate) fn handle_handover_ack(&mut self, from: &HostName, slot: Slot, view: Revision) {
        let is_confirmed =
            |o: &Outgoing| o.to == *from && o.parts.first().is_some_and(|part| part.view == view);
        if self.outgoing.get(&slot).is_some_and(is_confirmed) {
            self.outgoing.remove(&slot);
        }
    }

    /// Records a part of a handover, and applies the handover if it is complete.
    pub(crate) fn handle_handover(
        &mut self,
        now: Instant,
        from: &HostName,
        part: Handover,
        actions: &mut Vec<Action>,
    ) {
        let (slot, view) = (part.slot, part.view);
        if part.holder.host != *from || view < self.map.revision() {
            return;
        }
        let is_known = self.incoming.get(&slot).is_some_and(|i| i.matches(&part));
        if !is_known {
            let Some(incoming) = Incoming::start(now, &part) else {
                return;
            };
            self.incoming.insert(slot, incoming);
        }
        let Some(incoming) = self.incoming.get_mut(&slot) else {
            return;
        };
        incoming.view = incoming.view.max(view);
        if incoming.take(now, part) {
            self.apply_handover(now, slot, actions);
        }
    }

    /// Applies handovers that were received before the host list they belong to.
    pub(crate) fn apply_incoming(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let view = self.map.revision();
        self.incoming.retain(|_, incoming| incoming.view >= view);
        let complete: Vec<Slot> = self
            .incoming
            .iter()
            .filter(|(_, i)| i.is_complete())
            .map(|(slot, _)| *slot)
            .collect();
        for slot in complete {
            self.apply_handover(now, slot, actions);
        }
    }

    /// Takes over the records of a slot, if the handover is for the current host list.
    fn apply_handover(&mut self, now: Instant, slot: Slot, actions: &mut Vec<Action>) {
        if !self.leases.contains_key(&slot) {
            return;
        }
        let Some(incoming) = self.incoming.remove(&slot) else {
            return;
        };
        if incoming.view != self.map.revision() {
            self.incoming.insert(slot, incoming);
            return;
        }
        let holder = incoming.holder.clone();
        let records_start = RecordsStart {
            at: incoming.records_start_at,
            wall_ms: incoming.records_start_wall_ms,
        };
        let ack = Message::HandoverAck {
            slot,
            view: incoming.view,
        };
        actions.push(send(&holder.host, ack));
        for (received, record) in incoming.into_records() {
            self.records.take(received, record);
        }
        if let Some(lease) = self.leases.get_mut(&slot) {
            lease.record_release(holder, records_start);
        }
        self.evaluate(now, slot);
        self.next_wanted_ask = now;
    }
}

/// Splits records into parts; a slot without records gets one empty part.
fn split_into_parts(
    now: Instant,
    slot: Slot,
    view: Revision,
    holder: &Holder,
    records_start: RecordsStart,
    records: &[Record],
) -> Vec<Handover> {
    let age = now.saturating_duration_since(records_start.at);
    let records_start_age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
    let chunks: Vec<&[Record]> = if records.is_empty() {
        vec![&[]]
    } else {
        records.chunks(PART_RECORDS_MAX).collect()
    };
    let count = u16::try_from(chunks.len()).unwrap_or(u16::MAX);
    let numbered = (0..count).zip(chunks);
    numbered
        .map(|(part, chunk)| Handover {
            slot,
            view,
            holder: holder.clone(),
            records_start_wall_ms: records_start.wall_ms,
            records_start_age_ms,
            part,
            parts: count,
            records: chunk.to_vec(),
        })
        .collect()
}
