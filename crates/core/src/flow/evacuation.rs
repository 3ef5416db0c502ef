//! Availability zones whose servers get no further calls.
//!
//! A zone is evacuated from when the node learns of it until the request is withdrawn.
//! Its servers stop at once, or one after the other so that the prompts cached there move a
//! few at a time. Calls in flight continue.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::flow::dispatch::Dispatcher;
use crate::flow::instance::Instance;
use crate::flow::server::ServerEntry;
use crate::ids::ZoneName;

/// Time in which the servers of a zone stop one after the other.
///
/// With 1 s for the news to reach all nodes, the last send is within 2 s of the request.
const STOP_TIME: Duration = Duration::from_secs(1);

/// Evacuated zones that are kept.
///
/// More than the servers of the largest fleet, so that all zones with servers fit.
const ZONES_MAX: usize = 4_096;

/// Evacuated zones and since when they are.
#[derive(Debug, Default)]
pub(crate) struct Evacuations {
    zones: BTreeMap<ZoneName, Instant>,
    /// Whether zones without servers were left out because the table was full.
    has_omissions: bool,
}

impl Evacuations {
    /// Records the evacuation of a zone; returns false if it was known or is left out.
    ///
    /// Zones with servers take the place of others when the table is full.
    fn begin(
        &mut self,
        now: Instant,
        zone: &ZoneName,
        has_servers: impl Fn(&ZoneName) -> bool,
    ) -> bool {
        if self.zones.contains_key(zone) {
            return false;
        }
        if self.zones.len() >= ZONES_MAX {
            self.has_omissions = true;
            if !has_servers(zone) {
                return false;
            }
            let replaced = self.zones.keys().find(|other| !has_servers(other));
            let Some(replaced) = replaced.cloned() else {
                return false;
            };
            self.zones.remove(&replaced);
        }
        self.zones.insert(zone.clone(), now);
        true
    }

    fn contains(&self, zone: &ZoneName) -> bool {
        self.zones.contains_key(zone)
    }

    /// Stops a server that is listed while its zone is evacuated.
    pub(crate) fn stop_listed(&self, now: Instant, entry: &mut ServerEntry) {
        if self.contains(&entry.instance.zone) {
            // Also a new process under a name whose former one was to stop later.
            entry.stops_at.get_or_insert(now);
        } else {
            entry.stops_at = None;
        }
    }
}

impl Dispatcher {
    /// Stops sending calls to the servers of a zone; returns whether this is new.
    ///
    /// With `is_gradual` they stop one after the other within a second, in an order that all
    /// nodes share, and else at once. Servers of the zone that are listed later get no calls.
    /// A zone without servers is left out when thousands of zones are evacuated, see
    /// [`Self::has_omitted_evacuations`].
    pub fn evacuate(&mut self, now: Instant, zone: &ZoneName, is_gradual: bool) -> bool {
        let all = &self.servers;
        let has_servers = |zone: &ZoneName| all.values().any(|e| e.instance.zone == *zone);
        let is_new = self.evacuations.begin(now, zone, has_servers);
        let servers = self.servers.values_mut();
        let mut servers: Vec<&mut ServerEntry> =
            servers.filter(|e| e.instance.zone == *zone).collect();
        servers.sort_unstable_by_key(|e| e.name_key);
        let interval = if is_gradual {
            STOP_TIME / servers.len().max(1) as u32
        } else {
            Duration::ZERO
        };
        for (index, entry) in servers.into_iter().enumerate() {
            entry.stop_at(now + interval * index as u32);
        }
        is_new
    }

    /// Sends calls to the servers of a zone again; returns the age of its evacuation.
    pub fn end_evacuation(&mut self, now: Instant, zone: &ZoneName) -> Option<Duration> {
        let since = self.evacuations.zones.remove(zone)?;
        let servers = self.servers.values_mut();
        for entry in servers.filter(|e| e.instance.zone == *zone) {
            entry.stops_at = None;
        }
        Some(now.saturating_duration_since(since))
    }

    /// Iterates over the evacuated zones by name, with the time since when they are.
    pub fn evacuated_zones(&self) -> impl Iterator<Item = (&ZoneName, Instant)> {
        self.evacuations
            .zones
            .iter()
            .map(|(zone, since)| (zone, *since))
    }

    /// Returns the number of servers that get no calls because of their zones.
    #[must_use]
    pub fn evacuated_servers(&self, now: Instant) -> usize {
        self.servers
            .values()
            .filter(|e| e.is_evacuated(now))
            .count()
    }

    /// Returns whether a call that was placed at a server must no longer be sent there.
    #[must_use]
    pub fn is_evacuated(&self, now: Instant, instance: &Instance) -> bool {
        match self.servers.get(&instance.id) {
            Some(entry) if entry.instance.zone == instance.zone => entry.is_evacuated(now),
            // Its entry is gone, and with it the time at which it was to stop.
            _ => self.evacuations.contains(&instance.zone),
        }
    }

    /// Returns whether evacuations of zones without servers were left out of the table.
    ///
    /// Whoever lists a server in a zone then has to look up whether that is evacuated.
    #[must_use]
    pub fn has_omitted_evacuations(&self) -> bool {
        self.evacuations.has_omissions
    }
}
