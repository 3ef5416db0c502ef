//! What this host has confirmed to owners of slots.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::ids::{HostName, Incarnation, Revision};
use crate::owner::slots::{SLOT_COUNT, Slot};

/// One unbroken run of an owner on a slot.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// The host.
    pub host: HostName,
    /// Its process.
    pub incarnation: Incarnation,
    /// Number of times that the process handed the slot over before.
    #[serde(rename = "stint")]
    pub epoch: u32,
}

/// What one host has confirmed for one slot.
#[derive(Clone, Debug)]
struct Promise {
    holder: Option<Holder>,
    until: Instant,
    previous: Option<Holder>,
    previous_until: Instant,
    earlier_until: Instant,
    settled: Revision,
}

/// A confirmation, with what it is still bound to.
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
/// A host that has just started may have given confirmations in an earlier
/// run that it knows nothing of, and says so to every holder.
#[derive(Debug)]
pub struct Promises {
    slots: Vec<Promise>,
    promise: Duration,
}

impl Promises {
    /// No confirmations; those of an earlier run last for one `promise` from `now`.
    #[must_use]
    pub fn new(now: Instant, promise: Duration) -> Self {
        let empty = Promise {
            holder: None,
            until: now,
            previous: None,
            previous_until: now,
            earlier_until: now + promise,
            settled: Revision(0),
        };
        Self {
            slots: vec![empty; usize::from(SLOT_COUNT)],
            promise,
        }
    }

    /// Confirms `holder` for the slot, or `None` for a slot that does not exist.
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
        promise.until = now + self.promise;
        promise.settled = promise.settled.max(settled);
        Some(Grant {
            previous: promise.previous.clone(),
            previous_wait: promise.previous_until.saturating_duration_since(now),
            earlier_wait: promise.earlier_until.saturating_duration_since(now),
            settled: promise.settled,
        })
    }
}
