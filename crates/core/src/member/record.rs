//! What is known of one host.

use std::cmp::Ordering;
use std::time::Instant;

use crate::hosts::HostState;
use crate::ids::{HostName, Incarnation};
use crate::member::message::{Status, Update};

/// Incarnation of a host that was never heard.
pub(crate) const UNHEARD: Incarnation = Incarnation(0);

/// How received news relates to what is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Merge {
    /// It was newer and is now known.
    Newer,
    /// It was known.
    Known,
    /// The sender is behind.
    Older,
    /// It is about another run; the host itself has to be asked.
    Doubt,
}

/// What is known of one host.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    pub(crate) published: HostState,
    pub(crate) incarnation: Incarnation,
    pub(crate) round: u32,
    pub(crate) status: Status,
    pub(crate) since: Instant,
    /// Failed probes of this node in a row.
    pub(crate) failures: u32,
    former: Incarnation,
}

impl Record {
    /// A host that nothing speaks against.
    pub(crate) fn new(now: Instant, published: HostState) -> Self {
        Self {
            published,
            incarnation: UNHEARD,
            round: 0,
            status: Status::Live,
            since: now,
            failures: 0,
            former: UNHEARD,
        }
    }

    /// The belief as news.
    pub(crate) fn update(&self, host: &HostName) -> Update {
        Update::Host {
            host: host.clone(),
            incarnation: self.incarnation,
            round: self.round,
            status: self.status,
        }
    }

    /// Whether the host takes part.
    pub(crate) fn usable(&self) -> bool {
        self.published == HostState::Live && matches!(self.status, Status::Live | Status::Suspect)
    }

    /// Whether it failed to answer and is not yet given up.
    pub(crate) fn unconfirmed(&self) -> bool {
        match self.status {
            Status::Live => self.failures > 0,
            Status::Suspect => true,
            Status::Dead | Status::Leaving => false,
        }
    }

    /// Changes the belief about the current run.
    pub(crate) fn set(&mut self, now: Instant, status: Status) {
        self.status = status;
        self.since = now;
        self.failures = 0;
    }

    /// Takes what another node believes.
    ///
    /// Within one run a planned stop is final, then the higher round wins,
    /// then the worse belief. Runs have no order: a live run replaces another,
    /// and bad news of another run only brings the host into doubt, so that
    /// its own answer decides.
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
        } else if incarnation == UNHEARD || incarnation == self.former {
            return Merge::Older;
        } else if self.contradicts(status) {
            self.failures = self.failures.max(1);
            return Merge::Doubt;
        } else {
            let first = self.incarnation == UNHEARD && self.status == Status::Live;
            self.run(incarnation);
            if first && (round, status) == (0, Status::Live) {
                return Merge::Known;
            }
        }
        self.round = round;
        self.set(now, status);
        Merge::Newer
    }

    /// Whether bad news of another run speaks against a run that is heard to be up.
    fn contradicts(&self, status: Status) -> bool {
        let up = |status: Status| matches!(status, Status::Live | Status::Suspect);
        self.incarnation != UNHEARD && up(self.status) && status != Status::Live
    }

    /// Takes a message from the host itself; returns whether that is news.
    ///
    /// The first run that is heard of a live host is none.
    pub(crate) fn record_contact(&mut self, now: Instant, incarnation: Incarnation) -> bool {
        self.failures = 0;
        if incarnation == self.incarnation {
            return false;
        }
        let is_update = self.incarnation != UNHEARD || self.status != Status::Live;
        self.run(incarnation);
        self.set(now, Status::Live);
        is_update
    }

    fn run(&mut self, incarnation: Incarnation) {
        self.former = self.incarnation;
        self.incarnation = incarnation;
        self.round = 0;
    }
}
