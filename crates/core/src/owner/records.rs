//! Records of request ids that may not be repeated.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::call::StoredAnswer;
use crate::ids::RequestId;
use crate::owner::message::{Record, RecordState};
use crate::owner::slots::{Slot, slot_of};

/// One record.
#[derive(Clone, Debug)]
struct Entry {
    content_key: u64,
    stamp: u64,
    begun: Instant,
    sent: bool,
    local: bool,
    state: RecordState,
}

/// What the records say of an id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// Nothing.
    Absent,
    /// The id was used for another content.
    Reused,
    /// It may be running.
    Running,
    /// It completed, with its answer when it is kept.
    Done(Option<StoredAnswer>),
    /// It was sent, and the answer was lost.
    Lost,
}

/// Bounded table of request ids, each kept for the retry window.
#[derive(Debug)]
pub struct Records {
    window: Duration,
    limit: usize,
    answers_limit_bytes: usize,
    answers_bytes: usize,
    next_stamp: u64,
    entries: HashMap<RequestId, Entry>,
    expiry: VecDeque<(Instant, RequestId)>,
}

impl Records {
    /// An empty table; `stamp` is random for each process.
    #[must_use]
    pub fn new(window: Duration, limit: usize, answers_limit_bytes: usize, stamp: u64) -> Self {
        Self {
            window,
            limit,
            answers_limit_bytes,
            answers_bytes: 0,
            next_stamp: stamp,
            entries: HashMap::new(),
            expiry: VecDeque::new(),
        }
    }

    /// Number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is no record.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether no further id can be recorded.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.entries.len() >= self.limit
    }

    /// What is recorded of the id.
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
    pub fn begin(&mut self, now: Instant, request: &RequestId, content_key: u64) {
        self.next_stamp = self.next_stamp.wrapping_add(1);
        let entry = Entry {
            content_key,
            stamp: self.next_stamp,
            begun: now,
            sent: false,
            local: true,
            state: RecordState::Running,
        };
        self.insert(request.clone(), entry);
    }

    /// Whether the id was begun here and may be sent now; true at most once.
    ///
    /// An id is sent only in the first half of the retry window, so that it
    /// has surely been sent before another owner may forget it.
    pub fn send(&mut self, now: Instant, request: &RequestId) -> bool {
        let Some(entry) = self.entries.get_mut(request) else {
            return false;
        };
        let is_early = now.saturating_duration_since(entry.begun) < self.window / 2;
        let may = entry.local && !entry.sent && entry.state == RecordState::Running && is_early;
        entry.sent |= may;
        may
    }

    /// Allows another send after proof that the last one did not run.
    pub fn release_send(&mut self, request: &RequestId) {
        if let Some(entry) = self.entries.get_mut(request) {
            entry.sent = false;
        }
    }

    /// Changes the state of a recorded id and returns the record for a new owner.
    pub fn settle(
        &mut self,
        now: Instant,
        request: &RequestId,
        state: RecordState,
    ) -> Option<Record> {
        let is_final = |entry: &Entry| matches!(entry.state, RecordState::Done(Some(_)));
        let mut entry = self.entries.get(request)?.clone();
        if !is_final(&entry) {
            self.answers_bytes -= answer_bytes(&entry.state);
            entry.state = self.bounded(state);
            self.answers_bytes += answer_bytes(&entry.state);
            self.entries.insert(request.clone(), entry.clone());
        }
        let record = record(now, request, &entry);
        if entry.state == RecordState::NotRun {
            self.entries.remove(request);
        }
        Some(record)
    }

    /// Takes a record that another owner handed over.
    pub fn take(&mut self, now: Instant, record: Record) {
        let known = self.entries.get(&record.request);
        let is_known_better = |e: &Entry| {
            let is_settled = matches!(e.state, RecordState::Done(_) | RecordState::Lost);
            e.local || (is_settled && record.state == RecordState::Running)
        };
        if known.is_some_and(is_known_better) {
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
            begun: now.checked_sub(age).unwrap_or(now),
            sent: true,
            local: false,
            state: self.bounded(record.state),
        };
        self.remove(&record.request);
        self.insert(record.request, entry);
    }

    /// Records of the slots, for their new owners.
    #[must_use]
    pub fn of_slots(&self, now: Instant, slots: &[Slot]) -> BTreeMap<Slot, Vec<Record>> {
        let mut records: BTreeMap<Slot, Vec<Record>> =
            slots.iter().map(|slot| (*slot, Vec::new())).collect();
        for (request, entry) in &self.entries {
            if let Some(slot) = records.get_mut(&slot_of(request)) {
                slot.push(record(now, request, entry));
            }
        }
        records
    }

    /// Forgets what is older than the retry window.
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
            if entry.begun + self.window > now {
                continue;
            }
            if entry.local && entry.state == RecordState::Running {
                self.expiry.push_back((now + self.window, request));
                continue;
            }
            self.remove(&request);
        }
    }

    fn insert(&mut self, request: RequestId, entry: Entry) {
        self.answers_bytes += answer_bytes(&entry.state);
        self.expiry
            .push_back((entry.begun + self.window, request.clone()));
        self.entries.insert(request, entry);
    }

    fn remove(&mut self, request: &RequestId) {
        if let Some(entry) = self.entries.remove(request) {
            self.answers_bytes -= answer_bytes(&entry.state);
        }
    }

    /// Drops the answer when the bytes for answers are used up.
    fn bounded(&self, state: RecordState) -> RecordState {
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

fn record(now: Instant, request: &RequestId, entry: &Entry) -> Record {
    let age = now.saturating_duration_since(entry.begun);
    Record {
        request: request.clone(),
        content_key: entry.content_key,
        stamp: entry.stamp,
        age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        state: entry.state.clone(),
    }
}
