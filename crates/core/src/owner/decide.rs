//! Decisions on calls whose ids are owned here, and their records.

use std::time::Instant;

use crate::call::{Call, Outcome, Reason, StoredAnswer};
use crate::ids::RequestId;
use crate::node::Action;
use crate::owner::clock::created_ms;
use crate::owner::message::{Message, RecordState};
use crate::owner::records::Lookup;
use crate::owner::slots::slot_of;
use crate::owner::state::{Owner, send};

/// Decision of the owner on a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Run the call; no other call with this id may run.
    Run,
    /// Return the stored answer.
    Replay(StoredAnswer),
    /// Refuse the call.
    Refuse(Reason, Outcome),
}

impl Owner {
    /// Decides on a call whose id is owned here.
    pub fn decide(&mut self, now: Instant, call: &Call, content_key: u64) -> Decision {
        match self.records.look_up(&call.request, content_key) {
            Lookup::Absent => {}
            Lookup::Reused => return Decision::Refuse(Reason::IdReused, Outcome::Unknown),
            Lookup::Running => return Decision::Refuse(Reason::Running, Outcome::Unknown),
            Lookup::Lost => return Decision::Refuse(Reason::ServerFailed, Outcome::Unknown),
            Lookup::Done(Some(answer)) => return Decision::Replay(answer),
            Lookup::Done(None) => return Decision::Refuse(Reason::Done, Outcome::Completed),
        }
        if let Err((reason, outcome)) = self.check_unused(now, call) {
            return Decision::Refuse(reason, outcome);
        }
        self.records.record_start(now, &call.request, content_key);
        Decision::Run
    }

    /// Checks that an id without a record was never used and can be recorded.
    fn check_unused(&self, now: Instant, call: &Call) -> Result<(), (Reason, Outcome)> {
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
        if let Some(created_ms) = created_ms(&call.request) {
            let wall_ms = self.clock.wall_ms(now);
            let skew_ms = self.options.caller_clock_error.as_millis() as u64;
            if created_ms > wall_ms + skew_ms {
                return Err((Reason::IdFromFuture, unproven));
            }
            if created_ms + window.as_millis() as u64 <= wall_ms {
                return Err((Reason::IdTooOld, Outcome::Unknown));
            }
            let earliest_ms =
                term.records_start.wall_ms + self.options.creation_margin().as_millis() as u64;
            if created_ms <= earliest_ms && !is_window_over {
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

    /// Returns whether a started call may be sent to its server; true at most once.
    ///
    /// This is the last check before the call is sent.
    pub fn claim_send(&mut self, now: Instant, request: &RequestId) -> bool {
        self.records.claim_send(now, request)
    }

    /// Allows another send after proof that the last one did not run the call.
    pub fn release_send(&mut self, request: &RequestId) {
        self.records.release_send(request);
    }

    /// Records how a started call ended.
    ///
    /// If the slot has moved, the record is sent to the slot's new owner.
    pub fn record_end(
        &mut self,
        now: Instant,
        request: &RequestId,
        state: RecordState,
        actions: &mut Vec<Action>,
    ) {
        let Some(record) = self.records.record_end(now, request, state) else {
            return;
        };
        let slot = slot_of(request);
        let Some(owner) = self.map.owner(slot).filter(|o| **o != self.host) else {
            return;
        };
        actions.push(send(owner, Message::Update { slot, record }));
    }
}
