//! Calls and parts of prompts that crash servers, found from crashes that nodes tell each
//! other.
//!
//! Each node records a crash for all shared parts of the call that was not answered, and for
//! the call itself, which is treated like one more part: one that comes again with the same
//! path, caller and body has the same hash.
//! Answers acquit the parts of their calls, so that in the end only the harmful part
//! remains. The records are replicated data: merging is commutative and idempotent, and
//! it is associative while a record holds all its crashes. Nodes that hear of each other
//! over any path agree.
//!
//! The module has no clock, and times are passed on as ages.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::flow::crash_record::{
    CRASH_RETENTION, CRASHES_MAX, Crash, CrashRecord, crash_key, process_of,
};
use crate::flow::process_lives::ProcessLives;
use crate::flow::recent_times::RecentTimes;

/// Crashes for which new calls with a part are refused.
pub const CRASHES_BLAMED: u32 = 3;

/// Crashes for which a call is not sent again after an attempt that failed.
pub const CRASHES_NO_RETRY: u32 = 2;

/// Parts of one call that are recorded, itself included.
pub(crate) const CALL_SUSPECTS_MAX: usize = 32;

/// Records that are kept.
const RECORDS_MAX: usize = 1_024;

/// Records that are passed on in one heartbeat, and accepted from one.
const STATEMENTS_MAX: usize = 64;

/// Time for which a change is passed on in every heartbeat.
const CHANGE_REPEAT: Duration = Duration::from_secs(2);

/// Heartbeats of which one passes on the records without a change.
const UNCHANGED_HEARTBEATS: u32 = 25;

/// Time after an answer for which a crash is not attributed to the parts of its call.
const SOUND_TIME: Duration = Duration::from_secs(1);

/// What a node knows of the crashes under calls with one part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartStatement {
    /// Hash of the part's name.
    pub part: u64,
    /// Its newest crashes.
    pub crashes: Vec<CrashStatement>,
}

/// A crash as it is passed on to peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashStatement {
    /// Hash of the server's name and of the start of its process, with its restarts.
    pub process_key: u32,
    /// Time since the crash.
    pub age_ms: u32,
    /// Whether an answer showed that the part did not cause it.
    pub is_void: bool,
}

/// The crashes that nodes have seen under calls, by the parts of their prompts.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use briarbank_core::flow::{CRASHES_BLAMED, PartRecords};
///
/// let now = Instant::now();
/// let mut records = PartRecords::default();
/// let after = |ms| now + Duration::from_millis(ms);
/// // The three calls share a part, and each has another one that is not at fault.
/// records.record_crash(after(0), 71, &[1, 20]);
/// records.record_crash(after(500), 72, &[1, 21]);
/// records.record_crash(after(900), 73, &[1, 22]);
/// assert!(records.is_blamed(after(900), &[1, 23], CRASHES_BLAMED));
/// assert!(!records.is_blamed(after(900), &[20, 21, 22], CRASHES_BLAMED));
/// ```
#[derive(Clone, Debug, Default)]
pub struct PartRecords {
    records: BTreeMap<u64, CrashRecord>,
    /// When a call with a part was last answered.
    sound_parts: RecentTimes<u64>,
    process_lives: ProcessLives,
    /// Heartbeats since the records without a change were passed on.
    heartbeats: u32,
}

impl PartRecords {
    /// Records that a server process crashed under a call with these shared parts.
    pub fn record_crash(&mut self, now: Instant, process_key: u32, parts: &[u64]) {
        let parts = parts.get(..CALL_SUSPECTS_MAX).unwrap_or(parts);
        let records = || parts.iter().filter_map(|part| self.records.get(part));
        let crashed_at = |key| records().filter_map(|r| r.crashed_at(key)).min();
        let crash = Crash {
            key: crash_key(now, process_key, crashed_at),
            at: now,
            is_void: false,
        };
        for part in parts {
            if !self.is_disproved(now, *part, crash.key, now) {
                self.record(now, *part).merge(now, crash);
            }
        }
    }

    /// Records that a process answers a call with these shared parts.
    ///
    /// The parts have caused none of the crashes so far. Nor has the process crashed in its
    /// `life`, from when the connection was opened until the call was sent, even if other
    /// connections to it broke.
    pub fn record_answer(
        &mut self,
        now: Instant,
        process_key: u32,
        life: Range<Instant>,
        parts: &[u64],
    ) {
        let process = process_of(process_key);
        self.process_lives.record(now, process, life);
        for part in parts.iter().take(CALL_SUSPECTS_MAX) {
            self.sound_parts.record(now, *part, now);
            if let Some(record) = self.records.get_mut(part) {
                record.void(now, |_| true);
            }
        }
        let lives = &self.process_lives;
        for record in self.records.values_mut() {
            record.void(now, |crash| {
                process_of(crash.key) == process && lives.covers(now, process, crash.at)
            });
        }
    }

    /// Merges the statements of a peer.
    pub fn receive(&mut self, now: Instant, statements: &[PartStatement]) {
        for statement in statements.iter().take(STATEMENTS_MAX) {
            for crash in statement.crashes.iter().take(CRASHES_MAX) {
                self.receive_crash(now, statement.part, crash);
            }
        }
    }

    fn receive_crash(&mut self, now: Instant, part: u64, crash: &CrashStatement) {
        let age = Duration::from_millis(u64::from(crash.age_ms));
        let Some(at) = now.checked_sub(age).filter(|_| age < CRASH_RETENTION) else {
            return;
        };
        let key = crash.process_key;
        let is_void = crash.is_void || self.is_disproved(now, part, key, at);
        let report = Crash { key, at, is_void };
        let record = self.record(now, part);
        record.merge(now, report);
        let mut known = record.crashes().iter();
        if !crash.is_void && known.any(|c| c.key == key && c.is_void) {
            // The sender has missed the answer.
            record.changed_at = now;
        }
    }

    /// Returns whether an answer shows that a part did not cause a crash.
    fn is_disproved(&self, now: Instant, part: u64, key: u32, at: Instant) -> bool {
        let sound_at = self.sound_parts.get(now, part);
        let is_sound = sound_at.is_some_and(|sound_at| at <= sound_at + SOUND_TIME);
        is_sound || self.process_lives.covers(now, process_of(key), at)
    }

    /// Returns the record of a part, for which the least telling one gives way.
    fn record(&mut self, now: Instant, part: u64) -> &mut CrashRecord {
        if self.records.len() >= RECORDS_MAX && !self.records.contains_key(&part) {
            let records = self.records.iter();
            let least = records.min_by_key(|(_, record)| (record.count(), record.changed_at));
            let least = least.map(|(part, _)| *part);
            least.and_then(|part| self.records.remove(&part));
        }
        let record = self.records.entry(part);
        record.or_insert_with(|| CrashRecord::new(now))
    }

    /// Returns what to pass on in the next heartbeat, and drops what has expired.
    pub fn statements(&mut self, now: Instant) -> Vec<PartStatement> {
        self.records.retain(|_, record| !record.has_expired(now));
        self.heartbeats = (self.heartbeats + 1) % UNCHANGED_HEARTBEATS;
        let is_full = self.heartbeats == 0;
        let is_due = |record: &CrashRecord| {
            let is_changed = now.saturating_duration_since(record.changed_at) < CHANGE_REPEAT;
            is_changed || (is_full && record.valid().next().is_some())
        };
        let records = self.records.iter().filter(|(_, record)| is_due(record));
        let mut records: Vec<(&u64, &CrashRecord)> = records.collect();
        records.sort_by_key(|(_, record)| std::cmp::Reverse(record.changed_at));
        records.truncate(STATEMENTS_MAX);
        let statement = |(part, record): (&u64, &CrashRecord)| PartStatement {
            part: *part,
            crashes: statements_of(now, record),
        };
        records.into_iter().map(statement).collect()
    }

    /// Returns whether one of a call's parts has caused that many crashes.
    ///
    /// A crash does not count if it may as well be due to a part that is not in the call
    /// and has about as many: the call is let through, and its answer tells.
    #[must_use]
    pub fn is_blamed(&self, now: Instant, parts: &[u64], crashes_min: u32) -> bool {
        self.is_any_blamed(now, parts, parts, crashes_min)
    }

    /// Returns whether one of some parts of a call has caused that many crashes.
    pub(crate) fn is_any_blamed(
        &self,
        now: Instant,
        some: &[u64],
        parts: &[u64],
        crashes_min: u32,
    ) -> bool {
        if self.records.is_empty() {
            return false;
        }
        some.iter().any(|part| {
            let record = self.records.get(part);
            record.is_some_and(|record| {
                // One crash fewer: the node that saw it may be gone.
                let count_min = crashes_min.max(record.count().saturating_sub(1));
                let is_other =
                    |other: &u64, r: &CrashRecord| !parts.contains(other) && r.count() >= count_min;
                self.is_guilty(now, record, crashes_min, is_other)
            })
        })
    }

    /// Returns whether a part has caused that many crashes that no other part explains.
    fn is_guilty(
        &self,
        now: Instant,
        record: &CrashRecord,
        crashes_min: u32,
        is_other: impl Fn(&u64, &CrashRecord) -> bool,
    ) -> bool {
        if !record.is_suspect(now, crashes_min, |_| false) {
            return false;
        }
        let others = self.records.iter().filter(|(p, r)| is_other(p, r));
        let others: Vec<&CrashRecord> = others.map(|(_, other)| other).collect();
        record.is_suspect(now, crashes_min, |crash| is_shared(crash, &others))
    }

    /// Returns whether a part may have caused a crash, as far as is known.
    pub(crate) fn is_suspected(&self, part: u64) -> bool {
        let record = self.records.get(&part);
        record.is_some_and(|record| record.valid().next().is_some())
    }

    /// Returns the parts that calls are refused for, with the processes that crashed.
    ///
    /// Parts that always came together are all named.
    #[must_use]
    pub fn blamed(&self, now: Instant) -> BTreeMap<u64, BTreeSet<u32>> {
        let blamed = self.records.iter().filter(|(_, record)| {
            let is_other = |_: &u64, r: &CrashRecord| r.count() > record.count();
            self.is_guilty(now, record, CRASHES_BLAMED, is_other)
        });
        let processes = |r: &CrashRecord| r.valid().map(|c| c.key).collect();
        blamed.map(|(part, r)| (*part, processes(r))).collect()
    }

    /// Returns the number of parts with recorded crashes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no crash is recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}

/// Returns whether others have a crash in common, be it void: a part that has been answered
/// may turn harmful.
fn is_shared(crash: &Crash, others: &[&CrashRecord]) -> bool {
    others.iter().any(|r| r.has_crash(crash.key))
}

fn statements_of(now: Instant, record: &CrashRecord) -> Vec<CrashStatement> {
    let statement = |crash: &Crash| CrashStatement {
        process_key: crash.key,
        age_ms: now.saturating_duration_since(crash.at).as_millis() as u32,
        is_void: crash.is_void,
    };
    record.crashes().iter().map(statement).collect()
}
