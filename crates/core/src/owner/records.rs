//! Records of request ids that must not run twice.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::call::StoredAnswer;
use crate::ids::RequestId;
use crate::owner::message::{Record, RecordState};
use crate::owner::slots::{Slot, slot_of};

/// Record of one request id.
#[derive(Clone, Debug)]
struct Entry {
    content_key: u64,
    stamp: u64,
    started: Instant,
    sent: bool,
    local: bool,
    state: RecordState,
}

/// Result of looking up an id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// The id has no record.
    Absent,
    /// The id was used for other content.
    Reused,
    /// The call may be running.
    Running,
    /// The call completed; holds its answer if it is stored.
    Done(Option<StoredAnswer>),
    /// The call was sent, but its answer was lost.
    Lost,
}

/// Bounded table of request ids, each recorded for the retry window.
#[derive(Debug)]
pub struct Records {
    retry_window: Duration,
    limit: usize,
    answers_limit_bytes: usize,
    answers_bytes: usize,
    next_stamp: u64,
    entries: HashMap<RequestId, Entry>,
    expiry: VecDeque<(Instant, RequestId)>,
}

impl Records {
    /// Creates an empty table; `stamp` must be random for each process.
    #[must_use]
    pub fn new(
        retry_window: Duration,
        limit: usize,
        answers_limit_bytes: usize,
        stamp: u64,
    ) -> Self {
        Self {
            retry_window,
            limit,
            answers_limit_bytes,
            answers_bytes: 0,
            next_stamp: stamp,
            entries: HashMap::new(),
            expiry: VecDeque::new(),
        }
    }

    /// Returns the number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether no further id can be recorded.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.entries.len() >= self.limit
    }

    /// Looks up the id for a call with this content.
    #[must_use]
    pub fn look_up(&self, request: &RequestId, content_key: u64) -> Lookup {
        let Some(entry) = self.entries.get(request) else {
            return Lookup::Absent;
        };
        if entry.content_key != content_key {
            return Lookup::Reused;
        }
        match &entry.state {
            RecordState::Running => Lookup::Running,
            RecordState::Done(answer) => Lookup::Done(answer.clone()),
            RecordState::Lost => Lookup::Lost,
            RecordState::NotRun => Lookup::Absent,
        }
    }

    /// Records that the id is running here.
    pub fn record_start(&mut self, now: Instant, request: &RequestId, content_key: u64) {
        self.next_stamp = self.next_stamp.wrapping_add(1);
        let entry = Entry {
            content_key,
            stamp: self.next_stamp,
            started: now,
            sent: false,
            local: true,
            state: RecordState::Running,
        };
        self.insert(request.clone(), entry);
    }

    /// Returns whether the call was started here and may be sent; true at most once.
    ///
    /// A call is sent only in the first half of the retry window, so that it
    /// has certainly been sent before another owner may drop its record.
    pub fn claim_send(&mut self, now: Instant, request: &RequestId) -> bool {
        let Some(entry) = self.entries.get_mut(request) else {
            return false;
        };
        let is_first_half = now.saturating_duration_since(entry.started) < self.retry_window / 2;
        let may_send =
            entry.local && !entry.sent && entry.state == RecordState::Running && is_first_half;
        entry.sent |= may_send;
        may_send
    }

    /// Allows another send after proof that the last one did not run.
    pub fn release_send(&mut self, request: &RequestId) {
        if let Some(entry) = self.entries.get_mut(request) {
            entry.sent = false;
        }
    }

    /// Changes the state of a recorded id and returns the record for a new owner.
    pub fn record_end(
        &mut self,
        now: Instant,
        request: &RequestId,
        state: RecordState,
    ) -> Option<Record> {
        let is_final = |entry: &Entry| matches!(entry.state, RecordState::Done(Some(_)));
        let mut entry = self.entries.get(request)?.clone();
        if !is_final(&entry) {
            self.answers_bytes -= answer_bytes(&entry.state);
            entry.state = self.drop_answer_over_limit(state);
            self.answers_bytes += answer_bytes(&entry.state);
            self.entries.insert(request.clone(), entry.clone());
        }
        let record = to_record(now, request, &entry);
        if entry.state == RecordState::NotRun {
            self.entries.remove(request);
        }
        Some(record)
    }

    /// Merges a record from another owner, unless the known one is better.
    ///
    /// A known record is better if the call was started here, or if it is
    /// final and the other one still says that the call is running.
    pub fn take(&mut self, now: Instant, record: Record) {
        let known = self.entries.get(&record.request);
        let has_better_record = |e: &Entry| {
            let is_settled = matches!(e.state, RecordState::Done(_) | RecordState::Lost);
            e.local || (is_settled && record.state == RecordState::Running)
        };
        if known.is_some_and(has_better_record) {
            return;
        }
        if record.state == RecordState::NotRun {
            if known.is_some_and(|e| e.stamp == record.stamp) {
                self.remove(&record.request);
            }
            return;
        }
        let age = Duration::from_millis(record.age_ms);
        let entry = Entry {
            content_key: record.content_key,
            stamp: record.stamp,
            started: now.checked_sub(age).unwrap_or(now),
            sent: true,
            local: false,
            state: self.drop_answer_over_limit(record.state),
        };
        self.remove(&record.request);
        self.insert(record.request, entry);
    }

    /// Returns the records of the slots, for their new owners.
    #[must_use]
    pub fn records_by_slot(&self, now: Instant, slots: &[Slot]) -> BTreeMap<Slot, Vec<Record>> {
        let mut records: BTreeMap<Slot, Vec<Record>> =
            slots.iter().map(|slot| (*slot, Vec::new())).collect();
        for (request, entry) in &self.entries {
            if let Some(slot) = records.get_mut(&slot_of(request)) {
                slot.push(to_record(now, request, entry));
            }
        }
        records
    }

    /// Drops records that are older than the retry window.
    ///
    /// Calls that are still running here stay recorded.
    pub fn expire(&mut self, now: Instant) {
        while let Some((at, _)) = self.expiry.front() {
            if *at > now {
                return;
            }
            let Some((_, request)) = self.expiry.pop_front() else {
                return;
            };
            let Some(entry) = self.entries.get(&request) else {
                continue;
            };
            if entry.started + self.retry_window > now {
                continue;
            }
            if entry.local && entry.state == RecordState::Running {
                self.expiry.push_back((now + self.retry_window, request));
                continue;
            }
            self.remove(&request);
        }
    }

    fn insert(&mut self, request: RequestId, entry: Entry) {
        self.answers_bytes += answer_bytes(&entry.state);
        self.expiry
            .push_back((entry.started + self.retry_window, request.clone()));
        self.entries.insert(request, entry);
    }

    fn remove(&mut self, request: &RequestId) {
        if let Some(entry) = self.entries.remove(request) {
            self.answers_bytes -= answer_bytes(&entry.state);
        }
    }

    /// Drops the answer from the state if it exceeds the limit for stored answers.
    fn drop_answer_over_limit(&self, state: RecordState) -> RecordState {
        let is_over = self.answers_bytes + answer_bytes(&state) > self.answers_limit_bytes;
        if is_over && matches!(state, RecordState::Done(Some(_))) {
            return RecordState::Done(None);
        }
        state
    }
}

fn answer_bytes(state: &RecordState) -> usize {
    match state {
        RecordState::Done(Some(answer)) => answer.body.len(),
        _ => 0,
    }
}

fn to_record(now: Instant, request: &RequestId, entry: &Entry) -> Record {
    let age = now.saturating_duration_since(entry.started);
    Record {
        request: request.clone(),
        content_key: entry.content_key,
        stamp: entry.stamp,
        age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        state: entry.state.clone(),
    }
}
