//! Lease of one slot, as seen by its owner.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use crate::ids::HostName;
use crate::owner::promise::Holder;

/// A confirmation by one committee member.
#[derive(Clone, Debug)]
pub(crate) struct Confirmation {
    /// When the owner requested it.
    pub(crate) requested_at: Instant,
    /// Holder before this one.
    pub(crate) previous: Option<Holder>,
    /// End of the time in which the previous holder may act.
    pub(crate) previous_until: Instant,
    /// End of the time in which any earlier holder may act.
    pub(crate) earlier_until: Instant,
}

impl Confirmation {
    /// Returns whether no other holder may still act, as far as this member knows.
    fn is_clear(&self, now: Instant, released: &VecDeque<ReleasedHolder>) -> bool {
        let is_released = self
            .previous
            .as_ref()
            .is_some_and(|p| released.iter().any(|h| h.holder == *p));
        self.earlier_until <= now && (is_released || self.previous_until <= now)
    }
}

/// Time at which an owner's records begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RecordsStart {
    /// Monotonic time.
    pub(crate) at: Instant,
    /// Wall time, in milliseconds since 1970.
    pub(crate) wall_ms: u64,
}

/// Time in which one process holds a slot without interruption.
#[derive(Clone, Debug)]
pub(crate) struct LeaseTerm {
    /// Start of the records.
    pub(crate) records_start: RecordsStart,
    /// When the term ends unless it is confirmed again.
    pub(crate) valid_until: Instant,
    /// Previous holder, if the committee proves that there was none in between.
    pub(crate) predecessor: Option<Holder>,
}

/// Maximum number of earlier holders of a slot that are kept.
const RELEASED_MAX: usize = 8;

/// A holder that has handed its records over and will not act again.
#[derive(Clone, Debug)]
struct ReleasedHolder {
    holder: Holder,
    records_start: RecordsStart,
}

/// Result of an evaluation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Evaluation {
    /// No majority confirms the slot under the host list in force.
    ///
    /// A term that was confirmed before may still be valid.
    Unconfirmed,
    /// The slot is confirmed, and its term was extended.
    Extended,
    /// The slot is confirmed, and a new term began.
    Started,
}

/// Confirmations of one slot and the lease term that they support.
#[derive(Debug, Default)]
pub(crate) struct Lease {
    confirmations: BTreeMap<HostName, Confirmation>,
    /// Earlier holders that handed their records over, newest last.
    released: VecDeque<ReleasedHolder>,
    /// Current term; it may have ended since the last evaluation.
    pub(crate) term: Option<LeaseTerm>,
}

impl Lease {
    /// Returns whether the slot is held at `now`.
    pub(crate) fn is_held(&self, now: Instant) -> bool {
        self.term.as_ref().is_some_and(|t| now < t.valid_until)
    }

    /// Drops all confirmations; they are valid for one host list only.
    pub(crate) fn clear_confirmations(&mut self) {
        self.confirmations.clear();
    }

    /// Adds a confirmation, which replaces an older one of the same member.
    pub(crate) fn add_confirmation(&mut self, member: &HostName, confirmation: Confirmation) {
        let is_newer = self
            .confirmations
            .get(member)
            .is_none_or(|c| c.requested_at <= confirmation.requested_at);
        if is_newer {
            self.confirmations.insert(member.clone(), confirmation);
        }
    }

    /// Records that a holder handed over its records, which begin at `records_start`.
    pub(crate) fn record_release(&mut self, holder: Holder, records_start: RecordsStart) {
        if let Some(term) = &mut self.term {
            let is_predecessor = term.predecessor.as_ref() == Some(&holder);
            if is_predecessor && records_start.at < term.records_start.at {
                term.records_start = records_start;
            }
        }
        if self.released.len() == RELEASED_MAX {
            self.released.pop_front();
        }
        self.released.push_back(ReleasedHolder {
            holder,
            records_start,
        });
    }

    /// Starts or extends the term if the slot is confirmed at `now`.
    ///
    /// A majority of each of the `committees`, oldest first, has to confirm.
    pub(crate) fn evaluate(
        &mut self,
        now: Instant,
        wall_ms: u64,
        lease: Duration,
        committees: &[&[HostName]],
    ) -> Evaluation {
        if !self.is_held(now) {
            self.term = None;
        }
        let Some(valid_until) = self.valid_until(now, lease, committees) else {
            return Evaluation::Unconfirmed;
        };
        if valid_until <= now {
            return Evaluation::Unconfirmed;
        }
        if let Some(term) = &mut self.term {
            term.valid_until = term.valid_until.max(valid_until);
            return Evaluation::Extended;
        }
        let predecessor = self.predecessor(now, lease, committees);
        let released = self
            .released
            .iter()
            .find(|h| Some(&h.holder) == predecessor.as_ref());
        let records_start = released.map_or(RecordsStart { at: now, wall_ms }, |h| h.records_start);
        self.term = Some(LeaseTerm {
            records_start,
            valid_until,
            predecessor,
        });
        Evaluation::Started
    }

    /// Returns until when a majority of each committee confirms, if it does.
    fn valid_until(
        &self,
        now: Instant,
        lease: Duration,
        committees: &[&[HostName]],
    ) -> Option<Instant> {
        committees
            .iter()
            .map(|members| {
                let mut ends: Vec<Instant> = members
                    .iter()
                    .filter_map(|member| self.confirmations.get(member))
                    .filter(|c| c.is_clear(now, &self.released))
                    .map(|c| c.requested_at + lease)
                    .collect();
                ends.sort_by(|a, b| b.cmp(a));
                ends.get(members.len() / 2).copied()
            })
            .min()
            .flatten()
    }

    /// Returns the holder that a majority of each committee names as the previous one.
    ///
    /// Members of newer committees may never have confirmed another holder.
    fn predecessor(
        &self,
        now: Instant,
        lease: Duration,
        committees: &[&[HostName]],
    ) -> Option<Holder> {
        let oldest = committees.first()?;
        let candidate = oldest
            .iter()
            .filter_map(|member| self.confirmations.get(member))
            .find_map(|c| c.previous.clone())?;
        let counts =
            |c: &&Confirmation| c.requested_at + lease > now && c.is_clear(now, &self.released);
        let is_proven = committees.iter().enumerate().all(|(index, members)| {
            let count = members
                .iter()
                .filter_map(|member| self.confirmations.get(member))
                .filter(counts)
                .filter(|c| match &c.previous {
                    Some(previous) => *previous == candidate,
                    None => index > 0,
                })
                .count();
            count > members.len() / 2
        });
        is_proven.then_some(candidate)
    }
}
