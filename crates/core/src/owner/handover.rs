//! Handover of a slot's records to its new owner, in parts.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::ids::{HostName, Revision};
use crate::owner::message::Record;
use crate::owner::promise::Holder;
use crate::owner::slots::Slot;

/// Maximum number of records in one part of a handover.
pub(crate) const PART_RECORDS_MAX: usize = 64;

/// Maximum number of parts in a handover that a receiver accepts.
const PARTS_MAX: u16 = 8192;

/// One part of the records of a slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// The slot.
    pub slot: Slot,
    /// Host list under which the slot moved.
    pub view: Revision,
    /// The previous holder, which will not act again.
    pub holder: Holder,
    /// Start of the records, in milliseconds since 1970.
    #[serde(rename = "floor_wall_ms")]
    pub records_start_wall_ms: u64,
    /// Age of the start of the records.
    #[serde(rename = "floor_age_ms")]
    pub records_start_age_ms: u64,
    /// Number of this part, from 0.
    pub part: u16,
    /// Number of parts.
    pub parts: u16,
    /// The records of this part.
    pub records: Vec<Record>,
}

/// A handover that its receiver has not confirmed.
#[derive(Debug)]
pub(crate) struct Outgoing {
    pub(crate) to: HostName,
    pub(crate) parts: Vec<Handover>,
    pub(crate) created_at: Instant,
    pub(crate) next_send: Instant,
}

impl Outgoing {
    /// Returns the parts, with all ages as of `now`.
    pub(crate) fn parts_at(&self, now: Instant) -> impl Iterator<Item = Handover> + '_ {
        let elapsed = now.saturating_duration_since(self.created_at);
        let elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        self.parts.iter().cloned().map(move |mut part| {
            part.records_start_age_ms = part.records_start_age_ms.saturating_add(elapsed_ms);
            for record in &mut part.records {
                record.age_ms = record.age_ms.saturating_add(elapsed_ms);
            }
            part
        })
    }
}

/// A handover of which some parts may still be missing.
#[derive(Debug)]
pub(crate) struct Incoming {
    pub(crate) holder: Holder,
    pub(crate) view: Revision,
    pub(crate) records_start_wall_ms: u64,
    pub(crate) records_start_at: Instant,
    parts: u16,
    received_parts: BTreeMap<u16, (Instant, Vec<Record>)>,
}

impl Incoming {
    /// Starts a handover with the first part received; `None` if its numbers are invalid.
    pub(crate) fn start(now: Instant, part: &Handover) -> Option<Self> {
        if part.part >= part.parts || part.parts > PARTS_MAX {
            return None;
        }
        let records_start_at = now
            .checked_sub(Duration::from_millis(part.records_start_age_ms))
            .unwrap_or(now);
        Some(Self {
            holder: part.holder.clone(),
            view: part.view,
            records_start_wall_ms: part.records_start_wall_ms,
            records_start_at,
            parts: part.parts,
            received_parts: BTreeMap::new(),
        })
    }

    /// Returns whether the part belongs to this handover.
    pub(crate) fn matches(&self, part: &Handover) -> bool {
        self.holder == part.holder && self.parts == part.parts && part.part < self.parts
    }

    /// Adds a part and returns whether all parts have been received.
    pub(crate) fn take(&mut self, now: Instant, part: Handover) -> bool {
        self.received_parts
            .entry(part.part)
            .or_insert((now, part.records));
        self.is_complete()
    }

    /// Returns whether all parts have been received.
    pub(crate) fn is_complete(&self) -> bool {
        self.received_parts.len() == usize::from(self.parts)
    }

    /// Returns all records with the times at which they were received.
    pub(crate) fn into_records(self) -> impl Iterator<Item = (Instant, Record)> {
        let parts = self.received_parts.into_values();
        parts.flat_map(|(received, records)| records.into_iter().map(move |r| (received, r)))
    }
}
