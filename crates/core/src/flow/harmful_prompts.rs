//! Calls and parts of prompts that crash servers, as the dispatcher learns of them and
//! refuses them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use crate::flow::attempt::Attempt;
use crate::flow::call::{AttemptId, Call, Prompt};
use crate::flow::dispatch::Dispatcher;
use crate::flow::part_records::{CRASHES_BLAMED, CRASHES_NO_RETRY, PartStatement};
use crate::ids::ServerName;

/// Crashes that are kept until they are taken.
const SEEN_CRASHES_MAX: usize = 64;

/// A server that crashed under a call of this node, and what may have caused it.
#[derive(Clone, Debug)]
pub struct SeenCrash {
    /// The server.
    pub server: ServerName,
    /// Hash of its name and of the start of its process.
    pub process_key: u32,
    /// Hashes of the call and of the shared parts of its prompt.
    pub parts: Box<[u64]>,
}

impl Dispatcher {
    /// Returns what peers should know of crashes, to be called for each heartbeat.
    pub fn part_statements(&mut self, now: Instant) -> Vec<PartStatement> {
        self.part_records.statements(now)
    }

    /// Records what a peer passes on of crashes.
    pub fn receive_parts(&mut self, now: Instant, statements: &[PartStatement]) {
        self.part_records.receive(now, statements);
    }

    /// Returns the parts that calls are refused for, with the processes that crashed.
    #[must_use]
    pub fn blamed_parts(&self, now: Instant) -> BTreeMap<u64, BTreeSet<u32>> {
        self.part_records.blamed(now)
    }

    /// Returns the crashes under calls of this node since they were last taken.
    pub fn take_crashes(&mut self) -> Vec<SeenCrash> {
        std::mem::take(&mut self.seen_crashes)
    }

    /// Records that connections broke because this node stood still.
    ///
    /// The end of an attempt that was sent before says nothing of its server.
    pub fn record_pause(&mut self, now: Instant) {
        self.paused_at = Some(now);
    }

    /// Returns whether the call or a part of its prompt is known to crash servers.
    ///
    /// Fewer crashes of a part suffice for a call of which an attempt at a server in `avoid`
    /// failed. Those of the call itself may all be its own attempts.
    pub(crate) fn is_harmful(&self, now: Instant, call: &Call, avoid: &[ServerName]) -> bool {
        let records = &self.part_records;
        if records.is_empty() {
            return false;
        }
        let suspects: Vec<u64> = call.suspects().collect();
        let own = call.identity.as_slice();
        let parts: Vec<u64> = call.prompt.iter().flat_map(Prompt::shared_parts).collect();
        let crashes_min = if avoid.is_empty() {
            CRASHES_BLAMED
        } else {
            CRASHES_NO_RETRY
        };
        records.is_any_blamed(now, own, &suspects, CRASHES_BLAMED)
            || records.is_any_blamed(now, &parts, &suspects, crashes_min)
    }

    /// Records when the connection that brings an attempt's answer was opened.
    pub fn record_connection(&mut self, id: AttemptId, opened: Instant) {
        if let Some(attempt) = self.attempts.get_mut(&id) {
            // One opened later, as for a call that is sent again at once, shows no more.
            attempt.connected = Some(opened.min(attempt.sent));
        }
    }

    /// Records that an attempt's answer is complete or has gone on, once an attempt.
    pub(crate) fn record_answer(&mut self, now: Instant, id: AttemptId) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        if std::mem::replace(&mut attempt.is_sound, true) {
            return;
        }
        let life = attempt.connected.unwrap_or(attempt.sent)..attempt.sent;
        let process_key = attempt.process_key;
        self.part_records
            .record_answer(now, process_key, life, &attempt.suspects);
    }

    /// Records that the connection of an attempt broke.
    pub(crate) fn record_break(&mut self, now: Instant, attempt: &Attempt) {
        let is_before_pause = self.paused_at.is_some_and(|at| attempt.sent <= at);
        if attempt.is_sound || attempt.has_gone_on(now) || is_before_pause {
            return;
        }
        self.part_records
            .record_crash(now, attempt.process_key, &attempt.suspects);
        if !attempt.suspects.is_empty() && self.seen_crashes.len() < SEEN_CRASHES_MAX {
            self.seen_crashes.push(SeenCrash {
                server: attempt.server.clone(),
                process_key: attempt.process_key,
                parts: attempt.suspects.clone(),
            });
        }
    }
}
