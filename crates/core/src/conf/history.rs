//! Recent revisions of one published value, kept as bases of deltas.

use std::sync::Arc;
use std::time::Instant;

use crate::ids::Revision;

/// Maximum number of versions of one value.
const VERSIONS_MAX: usize = 12;

/// Maximum size of all versions of one value but the newest.
const OLDER_BYTES_MAX: usize = 8 << 20;

#[derive(Clone, Debug)]
struct Version {
    revision: Revision,
    bytes: Arc<[u8]>,
    adopted_at: Instant,
}

/// Recent versions, oldest first.
///
/// At the limit, the version with the lowest ratio of time in force to age
/// is removed: the one that peers are least likely to have as well.
#[derive(Debug, Default)]
pub(crate) struct History {
    versions: Vec<Version>,
}

impl History {
    /// Adds the version that has just been adopted.
    pub(crate) fn push(&mut self, now: Instant, revision: Revision, bytes: &Arc<[u8]>) {
        self.versions.push(Version {
            revision,
            bytes: Arc::clone(bytes),
            adopted_at: now,
        });
        while self.versions.len() > VERSIONS_MAX || self.older_bytes() > OLDER_BYTES_MAX {
            self.versions.remove(self.least_shared(now));
        }
    }

    /// Returns the document of a revision.
    pub(crate) fn get(&self, revision: Revision) -> Option<&Arc<[u8]>> {
        let version = self.versions.iter().find(|v| v.revision == revision)?;
        Some(&version.bytes)
    }

    /// Returns the kept revisions, newest first.
    pub(crate) fn revisions(&self) -> impl Iterator<Item = Revision> {
        self.versions.iter().rev().map(|v| v.revision)
    }

    fn older_bytes(&self) -> usize {
        let older = self.versions.iter().rev().skip(1);
        older.map(|v| v.bytes.len()).sum()
    }

    fn least_shared(&self, now: Instant) -> usize {
        let score = |pair: &[Version]| {
            let in_force = pair[1].adopted_at.duration_since(pair[0].adopted_at);
            let age = now.saturating_duration_since(pair[0].adopted_at);
            in_force.as_secs_f64() / age.as_secs_f64().max(1e-3)
        };
        let scores = self.versions.windows(2).map(score).enumerate();
        let lowest = scores.min_by(|a, b| a.1.total_cmp(&b.1));
        lowest.map_or(0, |(index, _)| index)
    }
}
