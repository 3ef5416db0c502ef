//! What an owner knows of its hold on one slot.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use crate::ids::HostName;
use crate::owner::promise::Holder;

/// A confirmation by one committee member.
#[derive(Clone, Debug)]
pub(crate) struct Confirmation {
    /// When it was asked for.
    pub(crate) asked: Instant,
    /// Holder before this one.
    pub(crate) previous: Option<Holder>,
    /// When the previous holder can't act any more.
    pub(crate) previous_until: Instant,
    /// When no earlier holder can act any more.
    pub(crate) earlier_until: Instant,
}

impl Confirmation {
    /// Whether no other holder can act on this member's word.
    fn is_clear(&self, now: Instant, handed: &VecDeque<Handed>) -> bool {
        let is_released = self
            .previous
            .as_ref()
            .is_some_and(|p| handed.iter().any(|h| h.holder == *p));
        self.earlier_until <= now && (is_released || self.previous_until <= now)
    }
}

/// Start of an owner's records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RecordsStart {
    /// Monotonic time.
    pub(crate) at: Instant,
    /// Wall time, in milliseconds since 1970.
    pub(crate) wall_ms: u64,
}

/// An unbroken hold on a slot.
#[derive(Clone, Debug)]
pub(crate) struct LeaseTerm {
    /// Start of the records.
    pub(crate) records_start: RecordsStart,
    /// When the hold ends unless it is confirmed again.
    pub(crate) valid_until: Instant,
    /// The holder right before, when the committee proves that none came between.
    pub(crate) predecessor: Option<Holder>,
}

/// Most earlier holders of a slot that are remembered.
const HANDED_LIMIT: usize = 8;

/// A holder that handed its records over and will not act again.
#[derive(Clone, Debug)]
struct Handed {
    holder: Holder,
    records_start: RecordsStart,
}

/// What an evaluation found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Evaluation {
    /// No majority confirms the slot under the host list in force.
    Open,
    /// It is confirmed, and the hold goes on.
    Held,
    /// It is confirmed, and a lease term began.
    Began,
}

/// Confirmations for one slot and the hold that follows from them.
#[derive(Debug, Default)]
pub(crate) struct Lease {
    confirmations: BTreeMap<HostName, Confirmation>,
    /// Earlier holders that handed their records over, newest last.
    handed: VecDeque<Handed>,
    /// The hold, if there is one.
    pub(crate) term: Option<LeaseTerm>,
}

impl Lease {
    /// Whether the slot is held at `now`.
    pub(crate) fn is_held(&self, now: Instant) -> bool {
        self.term.as_ref().is_some_and(|t| now < t.valid_until)
    }

    /// Forgets confirmations, which count for one host list only.
    pub(crate) fn change_view(&mut self) {
        self.confirmations.clear();
    }

    /// Takes a confirmation; an older one for the same member is replaced.
    pub(crate) fn confirm(&mut self, member: &HostName, confirmation: Confirmation) {
        let newer = self
            .confirmations
            .get(member)
            .is_none_or(|c| c.asked <= confirmation.asked);
        if newer {
            self.confirmations.insert(member.clone(), confirmation);
        }
    }

    /// Takes note that a holder handed its records over, which begin at `records_start`.
    pub(crate) fn hand_over(&mut self, holder: Holder, records_start: RecordsStart) {
        if let Some(term) = &mut self.term {
            let is_predecessor = term.predecessor.as_ref() == Some(&holder);
            if is_predecessor && records_start.at < term.records_start.at {
                term.records_start = records_start;
            }
        }
        if self.handed.len() == HANDED_LIMIT {
            self.handed.pop_front();
        }
        self.handed.push_back(Handed {
            holder,
            records_start,
        });
    }

    /// Draws the conclusions at `now`.
    ///
    /// A majority of each of the `electorates`, oldest first, has to confirm.
    pub(crate) fn evaluate(
        &mut self,
        now: Instant,
        wall_ms: u64,
        lease: Duration,
        electorates: &[&[HostName]],
    ) -> Evaluation {
        if !self.is_held(now) {
            self.term = None;
        }
        let Some(valid_until) = self.valid_until(now, lease, electorates) else {
            return Evaluation::Open;
        };
        if valid_until <= now {
            return Evaluation::Open;
        }
        if let Some(term) = &mut self.term {
            term.valid_until = term.valid_until.max(valid_until);
            return Evaluation::Held;
        }
        let predecessor = self.predecessor(now, lease, electorates);
        let handed = self
            .handed
            .iter()
            .find(|h| Some(&h.holder) == predecessor.as_ref());
        let records_start = handed.map_or(RecordsStart { at: now, wall_ms }, |h| h.records_start);
        self.term = Some(LeaseTerm {
            records_start,
            valid_until,
            predecessor,
        });
        Evaluation::Began
    }

    /// Until when a majority of each electorate confirms, if it does.
    fn valid_until(
        &self,
        now: Instant,
        lease: Duration,
        electorates: &[&[HostName]],
    ) -> Option<Instant> {
        electorates
            .iter()
            .map(|members| {
                let mut ends: Vec<Instant> = members
                    .iter()
                    .filter_map(|member| self.confirmations.get(member))
                    .filter(|c| c.is_clear(now, &self.handed))
                    .map(|c| c.asked + lease)
                    .collect();
                ends.sort_by(|a, b| b.cmp(a));
                ends.get(members.len() / 2).copied()
            })
            .min()
            .flatten()
    }

    /// The holder of which a majority of each electorate says that it came right before.
    ///
    /// Members of newer electorates may never have confirmed another holder.
    fn predecessor(
        &self,
        now: Instant,
        lease: Duration,
        electorates: &[&[HostName]],
    ) -> Option<Holder> {
        let oldest = electorates.first()?;
        let candidate = oldest
            .iter()
            .filter_map(|member| self.confirmations.get(member))
            .find_map(|c| c.previous.clone())?;
        let counts = |c: &&Confirmation| c.asked + lease > now && c.is_clear(now, &self.handed);
        let proven = electorates.iter().enumerate().all(|(index, members)| {
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
        proven.then_some(candidate)
    }
}
