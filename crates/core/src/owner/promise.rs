//! Confirmations that this host gave to owners of slots.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::ids::{HostName, Incarnation, Revision};
use crate::owner::slots::{SLOT_COUNT, Slot};

/// A process that holds a slot, and the epoch in which it holds it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// Host of the process.
    pub host: HostName,
    /// The process.
    pub incarnation: Incarnation,
    /// Number of times that the process has handed the slot over.
    #[serde(rename = "stint")]
    pub epoch: u32,
}

/// Confirmations that one host gave for one slot.
#[derive(Clone, Debug)]
struct Promise {
    holder: Option<Holder>,
    until: Instant,
    previous: Option<Holder>,
    previous_until: Instant,
    earlier_until: Instant,
    settled: Revision,
}

/// A confirmation, with what its member knows of earlier holders.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Holder before this one.
    pub previous: Option<Holder>,
    /// Time for which the previous holder may still act.
    pub previous_wait: Duration,
    /// Time for which any earlier holder may still act.
    pub earlier_wait: Duration,
    /// Newest host list under which a holder of the slot was confirmed.
    pub settled: Revision,
}

/// Confirmations that this host gave, by slot.
///
/// A process that has just started does not know the confirmations that an
/// earlier process gave, and reports to every holder that it may be bound.
#[derive(Debug)]
pub struct Promises {
    slots: Vec<Promise>,
    promise_duration: Duration,
}

impl Promises {
    /// Creates an empty table; earlier confirmations bind for `promise_duration`.
    ///
    /// An earlier process of this host may have given them until `now`.
    #[must_use]
    pub fn new(now: Instant, promise_duration: Duration) -> Self {
        let empty = Promise {
            holder: None,
            until: now,
            previous: None,
            previous_until: now,
            earlier_until: now + promise_duration,
            settled: Revision(0),
        };
        Self {
            slots: vec![empty; usize::from(SLOT_COUNT)],
            promise_duration,
        }
    }

    /// Confirms `holder` for the slot; `None` if the slot does not exist.
    pub fn grant(
        &mut self,
        now: Instant,
        slot: Slot,
        holder: &Holder,
        settled: Revision,
    ) -> Option<Grant> {
        let promise = self.slots.get_mut(usize::from(slot.0))?;
        if promise.holder.as_ref() != Some(holder) {
            promise.earlier_until = promise.earlier_until.max(promise.previous_until);
            promise.previous_until = promise.until;
            promise.previous = promise.holder.replace(holder.clone());
        }
        promise.until = now + self.promise_duration;
        promise.settled = promise.settled.max(settled);
        Some(Grant {
            previous: promise.previous.clone(),
            previous_wait: promise.previous_until.saturating_duration_since(now),
            earlier_wait: promise.earlier_until.saturating_duration_since(now),
            settled: promise.settled,
        })
    }
}
