//! How old the published values of a node may be.
//!
//! A node can't tell from its values whether newer ones exist, and peers that are cut off
//! from the store in the same way agree with it. So it keeps the time up to which its
//! values are known to be complete: an answer of the store shows that, and a peer passes
//! it on with its own values.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Unit of the ages in a [`StalenessStatement`].
const STATED_UNIT: Duration = Duration::from_millis(10);

/// Stated age that stands for all longer ones and for an unknown one.
const STATED_AGE_UNKNOWN: u8 = u8::MAX;

/// Longest time for which a transfer from the store takes the place of its result.
const TRANSFER_TIME_MAX: Duration = Duration::from_secs(10);

/// What a node says in heartbeats of the age of its values.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StalenessStatement {
    /// Time since the sender's values were known to be complete, in hundredths of a second.
    ///
    /// 255 means longer or unknown.
    pub age_cs: u8,
    /// Time since some node was receiving an answer of the store, in the same unit.
    pub transfer_age_cs: u8,
}

/// Time up to which the values of a node are known to be complete.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use briarbank_core::flow::Staleness;
///
/// let mut staleness = Staleness::default();
/// let now = Instant::now();
/// assert!(staleness.is_beyond(now, Duration::from_secs(60)));
/// staleness.record_complete(now);
/// let later = now + Duration::from_secs(2);
/// assert_eq!(staleness.age(later), Some(Duration::from_secs(2)));
/// assert!(!staleness.is_beyond(later, Duration::from_secs(3)));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Staleness {
    /// `None` before the first proof.
    complete_at: Option<Instant>,
    /// When some node was last known to be receiving an answer of the store.
    transfer_at: Option<Instant>,
}

impl Staleness {
    /// Records that all changes made before `at` are known.
    pub fn record_complete(&mut self, at: Instant) {
        self.complete_at = self.complete_at.max(Some(at));
    }

    /// Records that this node is receiving an answer of the store.
    pub fn record_transfer(&mut self, now: Instant) {
        self.transfer_at = Some(now);
    }

    /// Handles the statement of a peer; `has_its_values` if no change that it has is missing.
    pub fn receive(&mut self, now: Instant, statement: &StalenessStatement, has_its_values: bool) {
        if has_its_values && let Some(at) = stated_time(now, statement.age_cs) {
            self.record_complete(at);
        }
        self.transfer_at = self
            .transfer_at
            .max(stated_time(now, statement.transfer_age_cs));
    }

    /// Forgets all proof, as after a pause in which time passed unnoticed.
    pub fn discard(&mut self) {
        *self = Self::default();
    }

    /// Returns the time since the values were known to be complete.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.complete_at.map(|at| now.saturating_duration_since(at))
    }

    /// Returns when the values will be older than `age_max`; `now` if they are already.
    ///
    /// While some node receives an answer of the store, the values are as new as can be.
    #[must_use]
    pub fn beyond_at(&self, now: Instant, age_max: Duration) -> Instant {
        let Some(complete_at) = self.complete_at else {
            return now;
        };
        let transfer_at = self.transfer_at.unwrap_or(complete_at);
        let known_at = transfer_at.clamp(complete_at, complete_at + TRANSFER_TIME_MAX);
        (known_at + age_max).max(now)
    }

    /// Returns whether the values are older than `age_max`, or of unknown age.
    #[must_use]
    pub fn is_beyond(&self, now: Instant, age_max: Duration) -> bool {
        self.beyond_at(now, age_max) <= now
    }

    /// Returns what to say in heartbeats.
    #[must_use]
    pub fn statement(&self, now: Instant) -> StalenessStatement {
        StalenessStatement {
            age_cs: stated_age(now, self.complete_at),
            transfer_age_cs: stated_age(now, self.transfer_at),
        }
    }
}

/// Returns the age of a time as it is stated, rounded up.
fn stated_age(now: Instant, at: Option<Instant>) -> u8 {
    let Some(at) = at else {
        return STATED_AGE_UNKNOWN;
    };
    let age = now.saturating_duration_since(at);
    let units = age.as_nanos().div_ceil(STATED_UNIT.as_nanos());
    u8::try_from(units).unwrap_or(STATED_AGE_UNKNOWN)
}

fn stated_time(now: Instant, age_cs: u8) -> Option<Instant> {
    let age = STATED_UNIT * u32::from(age_cs);
    (age_cs != STATED_AGE_UNKNOWN)
        .then(|| now.checked_sub(age))
        .flatten()
}
