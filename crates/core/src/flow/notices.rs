//! What servers say of themselves, as the dispatcher heeds it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::flow::call::{Call, Refusal};
use crate::flow::choice::RETRY_AFTER_RANGE;
use crate::flow::dispatch::Dispatcher;
use crate::flow::server::ServerEntry;
use crate::ids::ServerName;

impl Dispatcher {
    /// Records that a server has said it leaves; its process gets no further calls.
    pub fn record_leaving(&mut self, now: Instant, server: &ServerName) {
        if let Some(entry) = self.servers.get_mut(server) {
            entry.is_leaving = true;
            entry.record_leaving(now);
            self.departed.record(&entry.instance);
        }
    }

    /// Records that a server wants no calls from this node for a while.
    pub fn record_refusal(&mut self, now: Instant, server: &ServerName, time: Duration) {
        if let Some(entry) = self.servers.get_mut(server)
            && let Some(until) = now.checked_add(time)
        {
            entry.refuse_until(until);
        }
    }

    /// Returns the hash of a server's name by which peers identify it.
    #[must_use]
    pub fn server_key(&self, server: &ServerName) -> Option<u32> {
        self.servers.get(server).map(|e| e.key)
    }

    /// Sets this node's parts of the limits of servers, in calls per second.
    ///
    /// Servers are named by the hash of their names; those not in the list are unlimited.
    pub fn set_limits(&mut self, now: Instant, limits: &[(u32, f64)]) {
        for entry in self.servers.values_mut() {
            let limit = limits.iter().find(|(key, _)| *key == entry.key);
            entry.set_limit(now, limit.map(|(_, per_s)| *per_s));
        }
    }

    /// Sets the brittle servers, by the hashes of their names, and the ends of their pauses.
    ///
    /// `slot_share` returns how many of a server's slots this node may use.
    pub fn set_brittle(
        &mut self,
        pauses: &BTreeMap<u32, Instant>,
        slot_share: impl Fn(u32, u32) -> u32,
    ) {
        for entry in self.servers.values_mut() {
            let Some(until) = pauses.get(&entry.key) else {
                entry.brittle_slots = None;
                continue;
            };
            let slots = slot_share(entry.key, entry.instance.slots.max(1));
            entry.brittle_slots = Some(slots);
            entry.refuse_until(*until);
        }
    }

    /// Returns the refusal of a call whose service has no server that accepts calls now.
    ///
    /// It holds the time until the first one does by its limit, its own refusal or, if it is
    /// cold, this node's share.
    pub(crate) fn closed_refusal(&self, now: Instant, call: &Call) -> Refusal {
        let fitting = self.servers.values().filter(|e| self.may_get(e, call));
        let accepting = fitting.clone().filter(|e| e.may_accept_calls(now));
        let wait = |e: &ServerEntry| Some(e.admission_wait(now)?.max(self.cold.wait(now, e)));
        let waits: Vec<Duration> = accepting.filter_map(wait).collect();
        let is_stopped = |e: &ServerEntry| e.is_in_service(now) && e.is_evacuated(now);
        let no_server = match call.version {
            _ if fitting.clone().any(is_stopped) => Refusal::ZonesEvacuated,
            _ if self.is_barred_by_region(now, call) => Refusal::NoServerInRegion,
            Some(_) => Refusal::NoServerOfVersion,
            None => Refusal::NoServer,
        };
        waits.iter().min().map_or(no_server, |wait| {
            let retry_after_max = (call.time_left / 3).max(RETRY_AFTER_RANGE.0);
            Refusal::Busy {
                retry_after: (*wait).clamp(RETRY_AFTER_RANGE.0, retry_after_max),
                servers: waits.len(),
                wait: *wait,
            }
        })
    }
}
