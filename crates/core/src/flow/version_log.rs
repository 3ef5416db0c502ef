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
    /// Start of the time in which no listed server was missed.
    complete_since: Option<Instant>,
    former: HashMap<ServiceName, HashMap<VersionKey, Instant>>,
}

impl VersionLog {
    /// Starts the time in which no listed server was missed, unless it has begun.
    pub(crate) fn begin(&mut self, now: Instant) {
        self.complete_since.get_or_insert(now);
    }

    /// Records that listings may have been missed until now.
    pub(crate) fn interrupt(&mut self, now: Instant) {
        self.complete_since = self.complete_since.map(|_| now);
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

    /// Returns whether no other version of the service was listed for that time.
    pub(crate) fn is_sole(
        &self,
        now: Instant,
        service: &ServiceName,
        version: VersionKey,
        time: Duration,
    ) -> bool {
        let is_within = |at: Instant| now.saturating_duration_since(at) <= time;
        let is_complete = self.complete_since.is_some_and(|since| !is_within(since));
        let former = self.former.get(service).into_iter().flatten();
        let mut others = former.filter(|(former, _)| **former != version);
        is_complete && !others.any(|(_, at)| is_within(*at))
    }
}
