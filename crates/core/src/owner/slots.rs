//! Slots of request ids, with their owners and committees.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::hosts::HostView;
use crate::ids::{HostName, RequestId, Revision};
use crate::rendezvous;

/// Number of slots that request ids are hashed into.
pub const SLOT_COUNT: u16 = 128;

/// Maximum number of hosts in a committee.
const COMMITTEE_SIZE: usize = 7;

/// Set of request ids that share an owner, by hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Slot(pub u16);

/// Returns the slot of a request id.
#[must_use]
pub fn slot_of(request: &RequestId) -> Slot {
    let hash = rendezvous::key(request.as_str().as_bytes());
    Slot((hash % u64::from(SLOT_COUNT)) as u16)
}

/// Owner and committee of one slot.
#[derive(Clone, Debug)]
struct Assignment {
    owner: Option<HostName>,
    committee: Arc<[HostName]>,
}

/// Owners and committees of all slots under one host list.
///
/// # Examples
///
/// ```
/// use briarbank_core::hosts::HostView;
/// use briarbank_core::owner::{Slot, SlotMap};
/// use std::sync::Arc;
///
/// let map = SlotMap::new(Arc::new(HostView::default()));
/// assert!(map.owner(Slot(0)).is_none());
/// ```
#[derive(Clone, Debug)]
pub struct SlotMap {
    view: Arc<HostView>,
    assignments: Vec<Assignment>,
}

impl SlotMap {
    /// Computes owners and committees from a host list.
    #[must_use]
    pub fn new(view: Arc<HostView>) -> Self {
        let assignments = (0..SLOT_COUNT)
            .map(|slot| assignment(&view, slot))
            .collect();
        Self { view, assignments }
    }

    /// Returns the host list.
    #[must_use]
    pub fn view(&self) -> &Arc<HostView> {
        &self.view
    }

    /// Returns the revision of the host list.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.view.revision
    }

    /// Returns the owner of the slot, or `None` if no host is live.
    #[must_use]
    pub fn owner(&self, slot: Slot) -> Option<&HostName> {
        self.assignments.get(usize::from(slot.0))?.owner.as_ref()
    }

    /// Returns the hosts of which a majority must confirm the slot's owner.
    #[must_use]
    pub fn committee(&self, slot: Slot) -> &[HostName] {
        self.assignments
            .get(usize::from(slot.0))
            .map_or(&[], |assignment| &assignment.committee)
    }

    /// Returns the slots that the host owns.
    pub fn owned_by<'a>(&'a self, host: &'a HostName) -> impl Iterator<Item = Slot> + 'a {
        (0..SLOT_COUNT)
            .map(Slot)
            .filter(move |slot| self.owner(*slot) == Some(host))
    }
}

fn assignment(view: &HostView, slot: u16) -> Assignment {
    let key = rendezvous::key(&slot.to_le_bytes());
    let owner = rendezvous::first(key, view.live(), |h| h.name.as_str());
    let committee = rendezvous::top(key, view.hosts.iter(), |h| h.name.as_str(), COMMITTEE_SIZE);
    Assignment {
        owner: owner.map(|h| h.name.clone()),
        committee: committee.into_iter().map(|h| h.name.clone()).collect(),
    }
}
