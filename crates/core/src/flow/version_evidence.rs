//! What nodes say of the versions that a service's servers had lately.
//!
//! A stream without a record goes on only where one version alone can have begun it. No node
//! knows that by itself: one that was cut off or stood still has missed what was listed
//! meanwhile, and one that has just started knows nothing of the time before. So the spans
//! in which nodes have missed nothing are put together.

use std::collections::HashSet;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::flow::version::VersionKey;

/// Stands for a time that is unknown or longer than can be said.
const MS_MAX: u32 = u32::MAX;

/// What one node has seen of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionEvidence {
    /// Versions that servers of the service had within the time that was asked for.
    pub versions: Vec<VersionKey>,
    /// Time for which the node has missed no listed server, in milliseconds.
    pub complete_ms: u32,
    /// Age of its values, in milliseconds: what was listed since it may not know.
    pub values_age_ms: u32,
}

impl VersionEvidence {
    /// Creates the evidence of a node; values of unknown age have none.
    #[must_use]
    pub fn new(
        versions: Vec<VersionKey>,
        complete: Duration,
        values_age: Option<Duration>,
    ) -> Self {
        Self {
            versions,
            complete_ms: to_ms(complete),
            values_age_ms: values_age.map_or(MS_MAX, to_ms_up),
        }
    }
}

/// Converts a time, rounded down so that it claims no more than is known.
fn to_ms(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(MS_MAX)
}

/// Converts an age, rounded up for the same reason.
fn to_ms_up(age: Duration) -> u32 {
    u32::try_from(age.as_nanos().div_ceil(1_000_000)).unwrap_or(MS_MAX)
}

/// Evidence of several nodes about one service, up to one moment.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use briarbank_core::flow::{VersionEvidence, VersionProof};
///
/// let second = Duration::from_secs(1);
/// let mut proof = VersionProof::default();
/// proof.add(&VersionEvidence::new(Vec::new(), second * 30, Some(second)), Duration::ZERO);
/// assert!(!proof.covers(second * 20), "it may have missed the last second");
/// proof.add(&VersionEvidence::new(Vec::new(), second * 5, Some(Duration::ZERO)), Duration::ZERO);
/// assert!(proof.covers(second * 20));
/// ```
#[derive(Clone, Debug, Default)]
pub struct VersionProof {
    versions: HashSet<VersionKey>,
    /// Spans in which a node has missed nothing, by the ages of their start and end.
    spans: Vec<(u32, u32)>,
}

impl VersionProof {
    /// Adds what a node said at most that time after the moment.
    pub fn add(&mut self, evidence: &VersionEvidence, later: Duration) {
        self.versions.extend(&evidence.versions);
        let start = match evidence.complete_ms {
            MS_MAX => MS_MAX,
            complete_ms => complete_ms.saturating_sub(to_ms_up(later)),
        };
        let span = (start, evidence.values_age_ms);
        if span.1 < span.0 {
            self.spans.push(span);
        }
    }

    /// Adds a version that a node has seen, which says nothing of others.
    pub fn add_version(&mut self, version: VersionKey) {
        self.versions.insert(version);
    }

    /// Returns the version if no node has seen another one.
    #[must_use]
    pub fn only_version(&self) -> Option<VersionKey> {
        let mut versions = self.versions.iter();
        let version = versions.next().copied();
        version.filter(|_| versions.next().is_none())
    }

    /// Returns whether nothing was missed for that time.
    #[must_use]
    pub fn covers(&self, time: Duration) -> bool {
        self.uncovered_ms(time) == 0
    }

    /// Returns whether nothing was missed for that time if the node that asks has missed
    /// nothing for `own_complete`.
    #[must_use]
    pub fn would_cover(&self, time: Duration, own_complete: Duration) -> bool {
        self.uncovered_ms(time) <= to_ms(own_complete)
    }

    /// Returns the age from which on something may have been missed, 0 if nothing.
    fn uncovered_ms(&self, time: Duration) -> u32 {
        let mut age_ms = to_ms(time);
        loop {
            let covering = self.spans.iter().filter(|(start, _)| *start >= age_ms);
            match covering.map(|(_, end)| *end).min() {
                Some(end) if end < age_ms => age_ms = end,
                _ => return age_ms,
            }
        }
    }
}
