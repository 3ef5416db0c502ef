//! What nodes can prove of the version of a stream that nobody has a record of.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::flow::share_span::{ShareSpan, VersionShare};
use crate::flow::stream_directory::StreamKey;
use crate::flow::version::VersionKey;
use crate::flow::version_evidence::{VersionEvidence, VersionProof};

/// Time in which all nodes in touch hear of a change of the shares.
pub const VIEW_LAG: Duration = Duration::from_secs(5);

/// What a node says of the shares of a service's versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareStatement {
    /// Time in which they were in force, in milliseconds.
    pub time_ms: u32,
    /// The shares.
    pub shares: Vec<VersionShare>,
}

/// Statements of several nodes about one service, up to one moment.
#[derive(Clone, Debug, Default)]
pub struct StreamProof {
    versions: VersionProof,
    shares: ShareSpan,
    /// Spans whose shares are known.
    seen: VersionProof,
}

impl StreamProof {
    /// Adds what a node said at most that time after the moment.
    ///
    /// A node that cannot tell how the shares went makes no statement of them.
    pub fn add(
        &mut self,
        evidence: &VersionEvidence,
        shares: Option<&ShareStatement>,
        later: Duration,
    ) {
        self.versions.add(evidence, later);
        let Some(statement) = shares else {
            return;
        };
        self.shares.add(&statement.shares);
        let seen = VersionEvidence {
            complete_ms: evidence.complete_ms.min(statement.time_ms),
            ..evidence.clone()
        };
        self.seen.add(&seen, later);
    }

    /// Adds a version that a node has seen, which says nothing of others.
    pub fn add_version(&mut self, version: VersionKey) {
        self.versions.add_version(version);
    }

    /// Returns whether nothing was missed for that time if the node that asks has missed
    /// nothing for `own_complete`.
    #[must_use]
    pub fn would_cover(&self, time: Duration, own_complete: Duration) -> bool {
        self.versions.would_cover(time, own_complete)
    }

    /// Returns the version if no node has seen another one.
    #[must_use]
    pub fn only_version(&self) -> Option<VersionKey> {
        self.versions.only_version()
    }

    /// Returns the version of a stream that began at most `age_max` ago, as a single one was
    /// in use or as the stream's key leads to it.
    ///
    /// Nodes may have used shares that were in force in `share_time`.
    #[must_use]
    pub fn version(
        &self,
        stream: StreamKey,
        age_max: Duration,
        share_time: Duration,
    ) -> Option<VersionKey> {
        if !self.versions.covers(age_max) {
            return None;
        }
        let by_key = || {
            let version = self.shares.version_of(stream);
            version.filter(|_| self.seen.covers(share_time))
        };
        self.only_version().or_else(by_key)
    }
}
