//! Versions at which streams may go on, as the dispatcher knows them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::flow::dispatch::Dispatcher;
use crate::flow::instance::Instance;
use crate::flow::route::Route;
use crate::flow::server::ServerEntry;
use crate::flow::share_span::ShareSpan;
use crate::flow::stream_directory::StreamKey;
use crate::flow::version::VersionKey;
use crate::ids::ServiceName;

impl Dispatcher {
    /// Records that the whole fleet starts, so that there were no servers before.
    pub fn record_first_start(&mut self) {
        self.version_log.begin_with_fleet();
    }

    /// Records that changes of the published servers may have been missed until now.
    pub fn record_missed_changes(&mut self, now: Instant) {
        self.version_log.interrupt(now);
    }

    /// Records that a server was published, changed or removed.
    pub(crate) fn record_shares(
        &mut self,
        now: Instant,
        before: Option<&(Arc<Instance>, u32)>,
        after: Option<&Instance>,
    ) {
        let after = after.filter(|instance| !instance.is_draining);
        let shares = &mut self.version_shares;
        match (before, after) {
            (Some((old, slots)), Some(new))
                if old.service == new.service && old.version_key() == new.version_key() =>
            {
                let change = (*slots, new.slots);
                shares.change(now, &new.service, new.version_key(), change);
            }
            _ => {
                if let Some((old, slots)) = before {
                    shares.change(now, &old.service, old.version_key(), (*slots, 0));
                }
                if let Some(new) = after {
                    shares.change(now, &new.service, new.version_key(), (0, new.slots));
                }
            }
        }
    }

    /// Returns the version at which a new stream is to begin, `None` if any will do.
    ///
    /// Other nodes can tell it from the key, as long as the shares of versions stay.
    #[must_use]
    pub fn version_of_key(&self, service: &ServiceName, stream: StreamKey) -> Option<VersionKey> {
        self.version_shares.version_of(service, stream)
    }

    /// Returns all shares of a service's versions that were in force in that time.
    #[must_use]
    pub fn share_span(&self, now: Instant, service: &ServiceName, time: Duration) -> ShareSpan {
        self.version_shares.span(now, service, time)
    }

    /// Returns how often the share of a version has changed.
    #[must_use]
    pub fn share_changes(&self) -> u64 {
        self.version_shares.changes()
    }

    /// Returns the service of the route that has servers of a version.
    #[must_use]
    pub fn service_of_version(&self, route: &Route, version: VersionKey) -> Option<ServiceName> {
        let mut services = route.splits.iter().map(|s| &s.service);
        let has_version = |service: &&ServiceName| {
            let mut servers = self.of_service(service);
            servers.any(|e| e.version_key == version)
        };
        services.find(has_version).cloned()
    }

    /// Returns for how long this node has missed no listed server.
    ///
    /// What was listed since the published values were last confirmed may be missing.
    #[must_use]
    pub fn complete_time(&self, now: Instant) -> Duration {
        self.version_log.complete_time(now)
    }

    /// Returns the versions that this node has seen servers of a service with in that time.
    #[must_use]
    pub fn seen_versions(
        &self,
        now: Instant,
        service: &ServiceName,
        time: Duration,
    ) -> Vec<VersionKey> {
        let listed = self.of_service(service).map(|e| e.version_key);
        let former = self.version_log.former(now, service, time);
        let mut versions: Vec<VersionKey> = Vec::new();
        for version in listed.chain(former) {
            if !versions.contains(&version) {
                versions.push(version);
            }
        }
        versions
    }

    /// Returns the only version that servers of a service had for that time.
    ///
    /// All its streams that began in this time began at it. Returns `None` when there
    /// were several, or when servers may have been missed. Servers that were listed since
    /// the values were last confirmed are not considered.
    #[must_use]
    pub fn sole_version(
        &self,
        now: Instant,
        service: &ServiceName,
        time: Duration,
    ) -> Option<VersionKey> {
        let is_complete = self.complete_time(now) > time;
        let versions = self.seen_versions(now, service, time);
        let &[version] = versions.as_slice() else {
            return None;
        };
        // The version of servers that are gone serves no stream.
        let is_listed = self.of_service(service).next().is_some();
        (is_complete && is_listed).then_some(version)
    }

    fn of_service(&self, service: &ServiceName) -> impl Iterator<Item = &ServerEntry> {
        let is_of_service = move |e: &&ServerEntry| e.instance.service == *service;
        self.servers.values().filter(is_of_service)
    }
}
