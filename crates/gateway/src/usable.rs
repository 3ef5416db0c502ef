//! Values that a node keeps, of all that may be in the store.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use briarbank_core::flow::{
    Change, ENTRY_BYTES_MAX, ENTRY_KEY_BYTES_MAX, RouteTable, ValueKind, Values,
};
use briarbank_core::ids::ServiceName;
use tokio::time::sleep_until;

use crate::dialect::Published;
use crate::error::DecodeError;
use crate::log_lines::LineKind;
use crate::shared::SharedState;

/// Time after which entries that were left out are requested from a peer.
///
/// Peers that watch the store read them from there until then.
const PEER_DELAY: Duration = Duration::from_secs(1);

/// Least time between two reads of all entries for those that were left out.
const READ_INTERVAL: Duration = Duration::from_secs(5);

impl SharedState {
    /// Removes changes that are of no use to this node or to others.
    ///
    /// Other writers may write any number of values of any size. Of an entry that was known
    /// and cannot be decoded any longer, only the key is kept, as others must learn that it
    /// names no server; one that never could be decoded leaves nothing behind. Of a large
    /// entry, only the fields that the router uses are kept.
    pub(crate) fn retain_usable(&self, changes: &mut Vec<Change>) {
        changes.retain_mut(|change| {
            if self.kind_of(&change.key) == ValueKind::Document {
                return self.dialect.is_used(&change.key);
            }
            let Err(error) = self.reduce(change) else {
                return true;
            };
            if self.log_lines.take(LineKind::Entry) {
                tracing::warn!(
                    key = %change.key.escape_debug(), revision = change.revision, %error,
                    "values: decoding an entry failed"
                );
            }
            change.value = [].into();
            self.values.borrow().get(&change.key).is_some()
        });
    }

    /// Reduces the value of an entry to what may be kept of it.
    fn reduce(&self, change: &mut Change) -> Result<(), DecodeError> {
        if change.value.len() > ENTRY_BYTES_MAX {
            change.value = self.dialect.reduce_entry(change)?.into();
        }
        if change.key.len() > ENTRY_KEY_BYTES_MAX || change.value.len() > ENTRY_BYTES_MAX {
            return Err(DecodeError::EntryTooLarge);
        }
        self.dialect.decode_value(change).map(drop)
    }

    /// Returns whether calls may need an entry: all may before the first configuration.
    pub(crate) fn is_needed(&self, entry: &Change) -> bool {
        match self.dialect.decode_value(entry) {
            Ok(Published::Server(server)) => self
                .table()
                .is_none_or(|table| table.service(&server.service).is_some()),
            Ok(Published::Evacuation(zone)) => {
                let zones = &self.settings().zone_regions;
                zones.is_empty() || zones.contains_key(&zone)
            }
            _ => false,
        }
    }

    /// Counts entries that have changed; leaves out those beyond the bound and returns their
    /// keys.
    pub(crate) fn bound_entries(
        &self,
        values: &mut Values,
        changed: &BTreeSet<Arc<str>>,
    ) -> Vec<Arc<str>> {
        let mut bound = self.entry_bound.borrow_mut();
        for key in changed {
            match values.mirror(ValueKind::Entry).get(key) {
                Some(entry) => bound.insert(entry, self.is_needed(entry)),
                None => bound.forget(key),
            }
        }
        let left_out = bound.evict();
        for key in &left_out {
            values.leave_out(key);
        }
        let is_room = bound.has_room_again();
        drop(bound);
        self.record_left_out(left_out.len());
        if is_room {
            self.want_entries();
        }
        left_out
    }

    /// Reports entries that were left out.
    pub(crate) fn record_left_out(&self, count: usize) {
        if count == 0 {
            return;
        }
        metrics::counter!("briarbank_entries_left_out_total").increment(count as u64);
        if self.log_lines.take(LineKind::Entry) {
            let bound = self.entry_bound.borrow();
            tracing::warn!(
                count,
                kept = bound.len(),
                kept_bytes = bound.bytes(),
                "values: entries left out, there are too many"
            );
        }
    }

    /// Takes account of the services that a configuration names.
    pub(crate) fn set_needed_entries(&self, before: Option<&RouteTable>, table: &RouteTable) {
        let services = |table: &RouteTable| -> BTreeSet<ServiceName> {
            table.services().iter().map(|s| s.name.clone()).collect()
        };
        let former = before.map(services).unwrap_or_default();
        let named = services(table);
        if former == named {
            return;
        }
        let values = self.values.borrow();
        let mirror = values.mirror(ValueKind::Entry);
        let mut bound = self.entry_bound.borrow_mut();
        bound.set_needed(|key| mirror.get(key).is_some_and(|entry| self.is_needed(entry)));
        let has_left_out = !bound.is_complete();
        drop(bound);
        if has_left_out && !named.is_subset(&former) {
            self.want_entries();
        }
    }

    /// Has all entries read again, as there is room or need for some that were left out.
    fn want_entries(&self) {
        if self.store.entries_wanted_at.get().is_some() {
            return;
        }
        let now = Instant::now();
        let read_at = self.store.entries_read_at.get();
        let earliest = read_at.map_or(now, |read_at| (read_at + READ_INTERVAL).max(now));
        self.store.entries_wanted_at.set(Some(earliest));
        self.store.entries_wanted.notify_waiters();
    }

    /// Completes when all entries are due to be read from the store.
    pub(crate) async fn entries_due(&self) {
        loop {
            let wanted = self.store.entries_wanted.notified();
            match self.store.entries_wanted_at.get() {
                Some(at) if self.store.is_watching.get() => return sleep_until(at.into()).await,
                _ => wanted.await,
            }
        }
    }

    /// Returns whether all entries are due to be read from the store.
    pub(crate) fn should_read_entries(&self) -> bool {
        let wanted_at = self.store.entries_wanted_at.get();
        self.store.is_watching.get() && wanted_at.is_some_and(|at| at <= Instant::now())
    }

    /// Returns whether all entries are due to be requested from a peer.
    pub(crate) fn should_request_entries(&self) -> bool {
        let wanted_at = self.store.entries_wanted_at.get();
        wanted_at.is_some_and(|at| at + PEER_DELAY <= Instant::now())
    }

    /// Records that all entries are requested from a peer, which may be as incomplete.
    pub(crate) fn record_entries_requested(&self) {
        self.store.entries_wanted_at.set(Some(Instant::now()));
    }

    /// Records that all entries were read.
    pub(crate) fn record_entries_read(&self) {
        self.store.entries_wanted_at.set(None);
        self.store.entries_read_at.set(Some(Instant::now()));
        self.entry_bound.borrow_mut().record_whole();
    }
}
