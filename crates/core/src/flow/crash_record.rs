//! The crashes of servers under calls with one part of a prompt.

use std::time::{Duration, Instant};

/// Crashes that a record holds; further ones replace the oldest.
pub(crate) const CRASHES_MAX: usize = 8;

/// Crashes closer together than this count as one.
///
/// A failure of many servers at once breaks calls with every part.
const CRASH_SPACING: Duration = Duration::from_millis(50);

/// Bits of a crash's key that name the process; the others count its restarts.
pub(crate) const PROCESS_BITS: u32 = 29;

/// Most restarts of a process that are told apart.
const RESTARTS_MAX: u32 = (1 << (u32::BITS - PROCESS_BITS)) - 1;

/// Least time between two crashes of processes with the same name and start.
///
/// Reports within this time mean the same crash, as no process is back sooner.
const CRASH_INTERVAL_MIN: Duration = Duration::from_secs(1);

/// Bounds of the time after the last crash for which a part is blamed.
const BLAME_RANGE: (Duration, Duration) = (Duration::from_mins(5), Duration::from_mins(30));

/// Time after the last crash for which a record is kept.
pub(crate) const CRASH_RETENTION: Duration = BLAME_RANGE.1;

/// A crash of a server process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Crash {
    /// Hash of the server's name and of the start of its process, with its restarts.
    pub(crate) key: u32,
    /// The earliest time that a node reported.
    pub(crate) at: Instant,
    /// Whether an answer showed that the part did not cause it.
    pub(crate) is_void: bool,
}

/// Returns the part of a crash's key that names the process.
pub(crate) fn process_of(key: u32) -> u32 {
    key & ((1 << PROCESS_BITS) - 1)
}

/// Returns the key of a crash that is seen now, given when the crash with a key was.
///
/// A process that crashes again long after its last crash has started in between, though
/// name and start are the same: nodes learn of a start late while the store is silent. One
/// that did not crash the last time only resets connections, and gets the same key again.
pub(crate) fn crash_key(
    now: Instant,
    process: u32,
    crashed_at: impl Fn(u32) -> Option<Instant>,
) -> u32 {
    let keys = (0..=RESTARTS_MAX).map(|restarts| process_of(process) | restarts << PROCESS_BITS);
    let is_new = |key: &u32| {
        let at = crashed_at(*key);
        at.is_none_or(|at| now.saturating_duration_since(at) < CRASH_INTERVAL_MIN)
    };
    let last = process_of(process) | RESTARTS_MAX << PROCESS_BITS;
    keys.into_iter().find(is_new).unwrap_or(last)
}

/// The newest crashes under calls with one part, in the order of time.
#[derive(Clone, Debug)]
pub(crate) struct CrashRecord {
    crashes: Vec<Crash>,
    /// When a crash was last added or became void.
    pub(crate) changed_at: Instant,
}

impl CrashRecord {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            crashes: Vec::new(),
            changed_at: now,
        }
    }

    pub(crate) fn crashes(&self) -> &[Crash] {
        &self.crashes
    }

    /// Adds a report of a crash; reports may arrive in any order and repeatedly.
    pub(crate) fn merge(&mut self, now: Instant, report: Crash) {
        let known = self.crashes.iter_mut();
        let mut known = known.filter(|c| c.key == report.key);
        let is_changed = if let Some(known) = known.next() {
            known.at = known.at.min(report.at);
            let is_changed = report.is_void && !known.is_void;
            known.is_void |= report.is_void;
            is_changed
        } else {
            self.crashes.push(report);
            true
        };
        self.crashes.sort_by_key(|c| (c.at, c.key));
        let surplus = self.crashes.len().saturating_sub(CRASHES_MAX);
        let dropped: Vec<Crash> = self.crashes.drain(..surplus).collect();
        let is_dropped = dropped.iter().any(|c| c.key == report.key);
        if is_changed && !is_dropped {
            self.changed_at = now;
        }
    }

    /// Marks the crashes that an answer disproves as void.
    pub(crate) fn void(&mut self, now: Instant, is_disproved: impl Fn(&Crash) -> bool) {
        for crash in &mut self.crashes {
            if !crash.is_void && is_disproved(crash) {
                crash.is_void = true;
                self.changed_at = now;
            }
        }
    }

    pub(crate) fn has_crash(&self, key: u32) -> bool {
        self.crashes.iter().any(|c| c.key == key)
    }

    /// Returns when the crash with a key was, unless it is void.
    pub(crate) fn crashed_at(&self, key: u32) -> Option<Instant> {
        self.valid().find(|c| c.key == key).map(|c| c.at)
    }

    /// Iterates over the crashes that the part may have caused.
    pub(crate) fn valid(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter().filter(|c| !c.is_void)
    }

    /// Returns the number of valid crashes, of which those at one moment count once.
    pub(crate) fn count(&self) -> u32 {
        count(self.valid().copied())
    }

    /// Returns whether the part has caused that many crashes, as far as is known.
    ///
    /// Crashes that another part explains better do not count.
    pub(crate) fn is_suspect(
        &self,
        now: Instant,
        crashes_min: u32,
        is_explained: impl Fn(&Crash) -> bool,
    ) -> bool {
        let counted = || self.valid().filter(|c| !is_explained(c));
        let count = count(counted().copied());
        let Some(last) = counted().last().filter(|_| count >= crashes_min) else {
            return false;
        };
        let doublings = count.saturating_sub(crashes_min).min(8);
        let period = (BLAME_RANGE.0 * (1 << doublings)).min(BLAME_RANGE.1);
        now.saturating_duration_since(last.at) < period
    }

    pub(crate) fn has_expired(&self, now: Instant) -> bool {
        let is_old = |c: &Crash| now.saturating_duration_since(c.at) >= CRASH_RETENTION;
        self.crashes.iter().all(is_old)
    }
}

fn count(crashes: impl Iterator<Item = Crash>) -> u32 {
    let mut counted_at: Option<Instant> = None;
    let mut count = 0;
    for crash in crashes {
        let is_apart = |at| crash.at.saturating_duration_since(at) >= CRASH_SPACING;
        if counted_at.is_none_or(is_apart) {
            counted_at = Some(crash.at);
            count += 1;
        }
    }
    count
}
