//! What an owner decides for calls, and what it records of them.

use std::time::Instant;

use crate::call::{Call, Outcome, Reason, StoredAnswer};
use crate::ids::RequestId;
use crate::node::Action;
use crate::owner::clock::birth_ms;
use crate::owner::message::{Message, RecordState};
use crate::owner::records::Lookup;
use crate::owner::slots::slot_of;
use crate::owner::state::{Owner, send};

/// What the owner decides for a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Run it; no other call with this id may run.
    Run,
    /// Give the kept answer.
    Replay(StoredAnswer),
    /// Refuse.
    Refuse(Reason, Outcome),
}

impl Owner {
    /// Decides on a call whose id is owned here.
    pub fn begin(&mut self, now: Instant, call: &Call, content_key: u64) -> Decision {
        match self.records.look_up(&call.request, content_key) {
            Lookup::Absent => {}
            Lookup::Reused => return Decision::Refuse(Reason::IdReused, Outcome::Unknown),
            Lookup::Running => return Decision::Refuse(Reason::Running, Outcome::Unknown),
            Lookup::Lost => return Decision::Refuse(Reason::ServerFailed, Outcome::Unknown),
            Lookup::Done(Some(answer)) => return Decision::Replay(answer),
            Lookup::Done(None) => return Decision::Refuse(Reason::Done, Outcome::Completed),
        }
        if let Err((reason, outcome)) = self.check_first(now, call) {
            return Decision::Refuse(reason, outcome);
        }
        self.records.begin(now, &call.request, content_key);
        Decision::Run
    }

    /// Whether an id that is not recorded was surely never used.
    fn check_first(&self, now: Instant, call: &Call) -> Result<(), (Reason, Outcome)> {
        let unproven = call.unproven_outcome();
        let lease = self.leases.get(&slot_of(&call.request));
        let term = lease
            .filter(|l| l.is_held(now))
            .and_then(|l| l.term.as_ref());
        let Some(term) = term else {
            return Err((Reason::NoOwner, unproven));
        };
        let window = self.options.retry_window;
        let is_window_over = now.saturating_duration_since(term.records_start.at) >= window;
        if let Some(birth_ms) = birth_ms(&call.request) {
            let wall_ms = self.clock.wall_ms(now);
            let ahead_ms = self.options.caller_clock_error.as_millis() as u64;
            if birth_ms > wall_ms + ahead_ms {
                return Err((Reason::IdFromFuture, unproven));
            }
            if birth_ms + window.as_millis() as u64 <= wall_ms {
                return Err((Reason::IdTooOld, Outcome::Unknown));
            }
            let first_ms =
                term.records_start.wall_ms + self.options.birth_margin().as_millis() as u64;
            if birth_ms <= first_ms && !is_window_over {
                return Err((Reason::IdTooOld, unproven));
            }
        } else if !is_window_over {
            return Err((Reason::IdTooOld, unproven));
        }
        if self.records.is_full() {
            return Err((Reason::TableFull, Outcome::NotRun));
        }
        Ok(())
    }

    /// Last check before a begun call is sent to its server; true at most once.
    pub fn claim_send(&mut self, now: Instant, request: &RequestId) -> bool {
        self.records.send(now, request)
    }

    /// The last send surely did not run the call; it may be sent again.
    pub fn release_send(&mut self, request: &RequestId) {
        self.records.release_send(request);
    }

    /// Records how a begun call ended.
    pub fn settle(
        &mut self,
        now: Instant,
        request: &RequestId,
        state: RecordState,
        actions: &mut Vec<Action>,
    ) {
        let Some(record) = self.records.settle(now, request, state) else {
            return;
        };
        let slot = slot_of(request);
        let Some(owner) = self.map.owner(slot).filter(|o| **o != self.host) else {
            return;
        };
        actions.push(send(owner, Message::Update { slot, record }));
    }
}
