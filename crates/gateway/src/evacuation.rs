//! Begin and end of the evacuation of availability zones at this node.

use std::time::Instant;

use briarbank_core::flow::{Change, ValueKind};
use briarbank_core::ids::ZoneName;

use crate::apply::Source;
use crate::log_lines::LineKind;
use crate::shared::SharedState;

impl SharedState {
    /// Stops sending calls to the servers of a zone.
    ///
    /// With `is_gradual` they stop one after the other, and else at once.
    pub(crate) fn begin_evacuation(
        &self,
        now: Instant,
        zone: &ZoneName,
        change: &Change,
        is_gradual: bool,
        source: Source<'_>,
    ) {
        let mut dispatcher = self.dispatcher.borrow_mut();
        let is_new = dispatcher.evacuate(now, zone, is_gradual);
        let servers = dispatcher.servers(now);
        let servers = servers.filter(|(instance, ..)| instance.zone == *zone);
        let servers = servers.count();
        if is_new && self.log_lines.take(LineKind::Evacuation) {
            tracing::warn!(
                %zone, servers, is_gradual, revision = change.revision, source = source.name(),
                "values: evacuation of a zone began"
            );
        }
    }

    /// Sends calls to the servers of a zone again.
    pub(crate) fn end_evacuation(&self, now: Instant, zone: &ZoneName, source: Source<'_>) {
        let mut dispatcher = self.dispatcher.borrow_mut();
        let Some(age) = dispatcher.end_evacuation(now, zone) else {
            return;
        };
        // Servers that had no calls are cold until they or their entries say otherwise.
        dispatcher.record_cold_zone(now, zone);
        drop(dispatcher);
        self.divide_cold(now);
        if self.log_lines.take(LineKind::Evacuation) {
            let age_ms = age.as_millis();
            tracing::warn!(%zone, age_ms, source = source.name(), "values: evacuation of a zone ended");
        }
    }

    /// Stops the servers of a zone that has just got one, if its evacuation was left out.
    ///
    /// That happens when thousands of zones without servers are evacuated.
    pub(crate) fn restore_omitted_evacuation(
        &self,
        now: Instant,
        zone: &ZoneName,
        source: Source<'_>,
    ) {
        if !self.dispatcher.borrow().has_omitted_evacuations() {
            return;
        }
        let values = self.values.borrow();
        let mut entries = values.mirror(ValueKind::Entry).items();
        let is_of_zone =
            |c: &&Change| self.dialect.evacuated_zone_of_key(&c.key) == Some(zone.as_str());
        if let Some(change) = entries.find(is_of_zone) {
            self.begin_evacuation(now, zone, change, false, source);
        }
    }
}
