//! Versions at which streams may go on, as the dispatcher knows them.

use std::time::{Duration, Instant};

use crate::flow::dispatch::Dispatcher;
use crate::flow::route::Route;
use crate::flow::server::ServerEntry;
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
