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

    /// Returns the only version that servers of a service had for that time.
    ///
    /// All its streams that began in this time began at it. Returns `None` when there
    /// were several, or when servers may have been missed.
    #[must_use]
    pub fn sole_version(
        &self,
        now: Instant,
        service: &ServiceName,
        time: Duration,
    ) -> Option<VersionKey> {
        let is_complete = self.version_log.is_complete(now, time);
        let seen = self.only_seen_version(now, service, time);
        seen.filter(|_| is_complete)
    }

    /// Returns the only version that this node has seen servers of a service with.
    ///
    /// Unlike [`Self::sole_version`] it proves nothing of the time before this node's start.
    #[must_use]
    pub fn only_seen_version(
        &self,
        now: Instant,
        service: &ServiceName,
        time: Duration,
    ) -> Option<VersionKey> {
        let mut servers = self.of_service(service);
        let version = servers.next()?.version_key;
        let is_only = servers.all(|e| e.version_key == version)
            && !self.version_log.has_other(now, service, version, time);
        is_only.then_some(version)
    }

    fn of_service(&self, service: &ServiceName) -> impl Iterator<Item = &ServerEntry> {
        let is_of_service = move |e: &&ServerEntry| e.instance.service == *service;
        self.servers.values().filter(is_of_service)
    }
}
