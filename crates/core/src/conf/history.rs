//! Recent versions of one published value, as bases of deltas.

use std::sync::Arc;
use std::time::Instant;

use crate::ids::Revision;

/// Most versions kept of one value.
const VERSIONS_MAX: usize = 12;

/// Most bytes kept of one value, the newest version not counted.
const OLDER_BYTES_MAX: usize = 8 << 20;

#[derive(Clone, Debug)]
struct Version {
    revision: Revision,
    bytes: Arc<[u8]>,
    adopted: Instant,
}

/// Recent versions, oldest first.
///
/// When the bound is reached, the version goes that was in force for the
/// shortest time against its age: the one that peers are least likely to
/// have as well.
#[derive(Debug, Default)]
pub(crate) struct History {
    versions: Vec<Version>,
}

impl History {
    /// Adds the version that has just come into force.
    pub(crate) fn push(&mut self, now: Instant, revision: Revision, bytes: &Arc<[u8]>) {
        self.versions.push(Version {
            revision,
            bytes: Arc::clone(bytes),
            adopted: now,
        });
        while self.versions.len() > VERSIONS_MAX || self.older_bytes() > OLDER_BYTES_MAX {
            self.versions.remove(self.least_known(now));
        }
    }

    /// Document of a revision, if it is kept.
    pub(crate) fn get(&self, revision: Revision) -> Option<&Arc<[u8]>> {
        let version = self.versions.iter().find(|v| v.revision == revision)?;
        Some(&version.bytes)
    }

    /// Kept revisions, newest first.
    pub(crate) fn revisions(&self) -> impl Iterator<Item = Revision> {
        self.versions.iter().rev().map(|v| v.revision)
    }

    fn older_bytes(&self) -> usize {
        let older = self.versions.iter().rev().skip(1);
        older.map(|v| v.bytes.len()).sum()
    }

    fn least_known(&self, now: Instant) -> usize {
        let score = |pair: &[Version]| {
            let held = pair[1].adopted.duration_since(pair[0].adopted);
            let age = now.saturating_duration_since(pair[0].adopted);
            held.as_secs_f64() / age.as_secs_f64().max(1e-3)
        };
        let scores = self.versions.windows(2).map(score).enumerate();
        let least = scores.min_by(|a, b| a.1.total_cmp(&b.1));
        least.map_or(0, |(index, _)| index)
    }
}
