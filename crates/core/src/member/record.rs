//! Membership record of one host.

use std::cmp::Ordering;
use std::time::Instant;

use crate::hosts::HostState;
use crate::ids::{HostName, Incarnation};
use crate::member::message::{Status, Update};

/// Incarnation of a host before the first contact.
pub(crate) const UNKNOWN_INCARNATION: Incarnation = Incarnation(0);

/// Result of merging an update into a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Merge {
    /// The update was newer and was applied.
    Newer,
    /// The update was known already.
    Known,
    /// The update is older than the record.
    Older,
    /// The update is about another incarnation; the host has to be probed.
    Unconfirmed,
}

/// Membership record of one host.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    pub(crate) published: HostState,
    pub(crate) incarnation: Incarnation,
    pub(crate) round: u32,
    pub(crate) status: Status,
    pub(crate) since: Instant,
    /// Number of consecutive failed probes by this node.
    pub(crate) failures: u32,
    previous_incarnation: Incarnation,
}

impl Record {
    /// Creates the record of a host without contact; it counts as live.
    pub(crate) fn new(now: Instant, published: HostState) -> Self {
        Self {
            published,
            incarnation: UNKNOWN_INCARNATION,
            round: 0,
            status: Status::Live,
            since: now,
            failures: 0,
            previous_incarnation: UNKNOWN_INCARNATION,
        }
    }

    /// Returns the record as an update.
    pub(crate) fn update(&self, host: &HostName) -> Update {
        Update::Host {
            host: host.clone(),
            incarnation: self.incarnation,
            round: self.round,
            status: self.status,
        }
    }

    /// Whether the host is a live member.
    pub(crate) fn usable(&self) -> bool {
        self.published == HostState::Live && matches!(self.status, Status::Live | Status::Suspect)
    }

    /// Whether it failed to answer and is not declared dead.
    pub(crate) fn is_unconfirmed(&self) -> bool {
        match self.status {
            Status::Live => self.failures > 0,
            Status::Suspect => true,
            Status::Dead | Status::Leaving => false,
        }
    }

    /// Changes the status of the current incarnation.
    pub(crate) fn set_status(&mut self, now: Instant, status: Status) {
        self.status = status;
        self.since = now;
        self.failures = 0;
    }

    /// Merges an update from another node.
    ///
    /// Within one incarnation a graceful shutdown is final, then the higher round
    /// wins, then the worse status. Incarnations have no order: a live one
    /// replaces another, and a worse status of another incarnation only makes
    /// the host unconfirmed, so that its own answer decides.
    pub(crate) fn merge(
        &mut self,
        now: Instant,
        incarnation: Incarnation,
        round: u32,
        status: Status,
    ) -> Merge {
        if incarnation == self.incarnation {
            let rank = |round: u32, status: Status| (status == Status::Leaving, round, status);
            match rank(round, status).cmp(&rank(self.round, self.status)) {
                Ordering::Less => return Merge::Older,
                Ordering::Equal => return Merge::Known,
                Ordering::Greater => {}
            }
        } else if incarnation == UNKNOWN_INCARNATION || incarnation == self.previous_incarnation {
            return Merge::Older;
        } else if self.contradicts_status(status) {
            self.failures = self.failures.max(1);
            return Merge::Unconfirmed;
        } else {
            let first = self.incarnation == UNKNOWN_INCARNATION && self.status == Status::Live;
            self.set_incarnation(incarnation);
            if first && (round, status) == (0, Status::Live) {
                return Merge::Known;
            }
        }
        self.round = round;
        self.set_status(now, status);
        Merge::Newer
    }

    /// Whether `status` of another incarnation contradicts a current one that is up.
    fn contradicts_status(&self, status: Status) -> bool {
        let up = |status: Status| matches!(status, Status::Live | Status::Suspect);
        self.incarnation != UNKNOWN_INCARNATION && up(self.status) && status != Status::Live
    }

    /// Records a message from the host itself; returns whether it changed the record.
    ///
    /// The first incarnation seen of a live host does not count as a change.
    pub(crate) fn record_contact(&mut self, now: Instant, incarnation: Incarnation) -> bool {
        self.failures = 0;
        if incarnation == self.incarnation {
            return false;
        }
        let is_change = self.incarnation != UNKNOWN_INCARNATION || self.status != Status::Live;
        self.set_incarnation(incarnation);
        self.set_status(now, Status::Live);
        is_change
    }

    fn set_incarnation(&mut self, incarnation: Incarnation) {
        self.previous_incarnation = self.incarnation;
        self.incarnation = incarnation;
        self.round = 0;
    }
}
