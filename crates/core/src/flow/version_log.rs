//! Versions that the servers of a service had lately.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::flow::instance::Instance;
use crate::flow::version::VersionKey;
use crate::ids::ServiceName;

/// Time after which a version that no server has is forgotten.
const RETENTION: Duration = Duration::from_mins(5);

/// Versions of one service that are kept; more of them are as ambiguous as these.
const VERSIONS_MAX: usize = 64;

/// Versions of servers that are no longer listed, and since when all were seen.
#[derive(Debug, Default)]
pub(crate) struct VersionLog {
    complete_since: Start,
    former: HashMap<ServiceName, HashMap<VersionKey, Instant>>,
}

/// Start of the time in which no listed server was missed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Start {
    /// No server has been listed yet.
    #[default]
    Never,
    At(Instant),
    /// There were no servers before this node started.
    Always,
}

impl VersionLog {
    /// Records that there were no servers before this node started.
    pub(crate) fn begin_with_fleet(&mut self) {
        self.complete_since = Start::Always;
    }

    /// Starts the time in which no listed server was missed, unless it has begun.
    pub(crate) fn begin(&mut self, now: Instant) {
        if self.complete_since == Start::Never {
            self.complete_since = Start::At(now);
        }
    }

    /// Records that listings may have been missed until now.
    pub(crate) fn interrupt(&mut self, now: Instant) {
        if self.complete_since != Start::Never {
            self.complete_since = Start::At(now);
        }
    }

    /// Records a server that is no longer listed with this version.
    pub(crate) fn record_former(&mut self, now: Instant, instance: &Instance) {
        let versions = self.former.entry(instance.service.clone()).or_default();
        versions.retain(|_, at| now.saturating_duration_since(*at) < RETENTION);
        let version = instance.version_key();
        if versions.len() < VERSIONS_MAX || versions.contains_key(&version) {
            versions.insert(version, now);
        }
    }

    /// Returns for how long no listed server was missed or forgotten.
    pub(crate) fn complete_time(&self, now: Instant) -> Duration {
        let seen = match self.complete_since {
            Start::Never => Duration::ZERO,
            Start::At(since) => now.saturating_duration_since(since),
            Start::Always => Duration::MAX,
        };
        seen.min(RETENTION)
    }

    /// Iterates over the versions of a service's servers that were listed in that time.
    pub(crate) fn former(
        &self,
        now: Instant,
        service: &ServiceName,
        time: Duration,
    ) -> impl Iterator<Item = VersionKey> {
        let former = self.former.get(service).into_iter().flatten();
        let is_recent = move |at: Instant| now.saturating_duration_since(at) <= time;
        former.filter_map(move |(version, at)| is_recent(*at).then_some(*version))
    }
}
