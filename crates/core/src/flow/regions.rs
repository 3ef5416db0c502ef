//! Regions that calls may reach.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use crate::flow::call::Call;
use crate::flow::dispatch::Dispatcher;
use crate::flow::server::ServerEntry;
use crate::ids::{RegionName, ZoneName};

/// The region of each availability zone.
#[derive(Debug, Default)]
pub(crate) struct ZoneRegions(BTreeMap<ZoneName, RegionName>);

impl ZoneRegions {
    /// Returns whether all lists hold the region of the zone.
    ///
    /// A zone without a region is in no list.
    pub(crate) fn allow(&self, zone: &ZoneName, lists: &[Arc<[RegionName]>]) -> bool {
        if lists.is_empty() {
            return true;
        }
        let region = self.0.get(zone);
        region.is_some_and(|region| lists.iter().all(|list| list.contains(region)))
    }
}

impl Dispatcher {
    /// Sets the region of each availability zone.
    ///
    /// Calls with [`Call::allowed_regions`] reach no server in another zone.
    pub fn set_zone_regions(&mut self, regions: BTreeMap<ZoneName, RegionName>) {
        self.zone_regions = ZoneRegions(regions);
    }

    /// Returns whether a call may be sent to a server: it fits and is in an allowed region.
    pub(crate) fn may_get(&self, entry: &ServerEntry, call: &Call) -> bool {
        entry.fits(call) && self.is_in_region(entry, call)
    }

    /// Returns whether only the allowed regions keep a call from the servers that would take it.
    pub(crate) fn is_barred_by_region(&self, now: Instant, call: &Call) -> bool {
        let mut fitting = self.servers.values().filter(|e| e.fits(call));
        fitting.any(|e| e.may_accept_calls(now) && !self.is_in_region(e, call))
    }

    fn is_in_region(&self, entry: &ServerEntry, call: &Call) -> bool {
        let zone = &entry.instance.zone;
        self.zone_regions.allow(zone, &call.allowed_regions)
    }
}
