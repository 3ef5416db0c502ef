//! Applies published values to the node's state.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use briarbank_core::flow::{
    Change, Delta, Instance, RemovalNote, RemovalRecord, RouteTable, ValueKind, Values, era_of,
};

use crate::dialect::Published;
use crate::log_lines::LineKind;
use crate::shared::SharedState;

/// Time for which a server whose removed entry came back with an earlier copy gets no calls.
const RESTORED_PAUSE: Duration = Duration::from_secs(10);

/// Time after the store recovers in which a removed entry may merely have expired.
const LAPSE_WINDOW: Duration = Duration::from_secs(1);

/// Time subtracted from the drain timeout of a server that may be gone.
///
/// The store's answer takes a while to arrive, and so does a call to reach the server.
const DRAIN_MARGIN: Duration = Duration::from_millis(500);

/// Age of the values before a change up to which it counts as made just now.
const AS_IT_HAPPENS_AGE_MAX: Duration = Duration::from_millis(1_400);

/// Assumed age of a removal that a peer reports without its time.
const UNKNOWN_AGE: Duration = Duration::from_secs(1);

/// Origin of published values.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Source<'a> {
    Store,
    /// A peer, with what it knows of recent removals.
    Peer(&'a [RemovalNote]),
}

impl Source<'_> {
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer(_) => "peer",
        }
    }
}

/// How changes arrived.
#[derive(Clone, Copy, Debug)]
struct Arrival<'a> {
    now: Instant,
    source: Source<'a>,
    /// Whether the store came back from an earlier copy.
    is_restored: bool,
    /// Whether the changes have just been made, so that all nodes see them about now.
    is_as_it_happens: bool,
}

impl SharedState {
    /// Applies published values that are newer than those in force.
    ///
    /// The changes are those of one kind, or of all kinds.
    pub(crate) fn apply(&self, delta: &Delta, kind: Option<ValueKind>, source: Source<'_>) {
        let now = Instant::now();
        let mut values = self.values.borrow_mut();
        let entry_revision = |values: &Values| values.mirror(ValueKind::Entry).revision();
        let (is_known, revision_before) = (values.revision() > 0, entry_revision(&values));
        let changed = match kind {
            Some(kind) => values.apply_kind(kind, &self.without_other_kinds(kind, delta)),
            None => values.apply(delta, |key| self.kind_of(key)),
        };
        let era = era_of(entry_revision(&values));
        let left_out = self.bound_entries(&mut values, &changed);
        let is_newest = delta.revision >= entry_revision(&values);
        drop(values);
        if delta.is_whole && is_newest && kind != Some(ValueKind::Document) {
            self.record_entries_read();
        }
        let is_restored = is_known && era > era_of(revision_before);
        if is_restored {
            tracing::warn!(era, "values: store came back from an earlier copy");
            self.store.restored_at.set(Some(now));
        }
        if revision_before == 0 {
            self.freshness.record_gap(now);
        }
        let values_age = self.staleness.borrow().age(now);
        let is_recent = values_age.is_some_and(|age| age < AS_IT_HAPPENS_AGE_MAX)
            && self.freshness.is_following(now);
        let has_all_steps = match source {
            Source::Store => true,
            // A peer sends the newest values only, not those between.
            Source::Peer(_) => is_recent,
        };
        if kind != Some(ValueKind::Document)
            && delta.leaves_gap(revision_before, has_all_steps, !changed.is_empty())
        {
            self.dispatcher.borrow_mut().record_missed_changes(now);
        }
        let arrival = Arrival {
            now,
            source,
            is_restored,
            is_as_it_happens: !delta.is_whole && !is_restored && is_recent,
        };
        for key in changed.into_iter().filter(|key| !left_out.contains(key)) {
            let change = self.values.borrow().get(&key).cloned();
            match change {
                Some(change) => self.apply_change(&change, &arrival),
                None => self.apply_removal(&key, &arrival),
            }
        }
        for key in &left_out {
            if let Some(server) = self.dialect.server_of_key(key) {
                let mut dispatcher = self.dispatcher.borrow_mut();
                dispatcher.remove_server(now, &server.into(), None);
            }
        }
        // Servers that turned cold get no calls before this node has its shares in them.
        self.divide_cold(now);
    }

    fn apply_removal(&self, key: &Arc<str>, arrival: &Arrival<'_>) {
        if let Some(zone) = self.dialect.evacuated_zone_of_key(key) {
            self.end_evacuation(arrival.now, &zone.into(), arrival.source);
            return;
        }
        let removal = self.removal(arrival.now, key, arrival.source);
        self.removals.borrow_mut().record(key, removal);
        self.remove_server_entry(arrival.now, key, removal, arrival.source);
    }

    fn apply_change(&self, change: &Change, arrival: &Arrival<'_>) {
        let &Arrival { now, source, .. } = arrival;
        let removal = self.removals.borrow_mut().forget(&change.key);
        match self.dialect.decode_value(change) {
            Ok(Published::Config(config)) => self.set_config(RouteTable::new(config), source),
            Ok(Published::Server(instance)) => {
                let is_from_before_removal =
                    arrival.is_restored && removal.is_some_and(|removal| !removal.may_have_lapsed);
                self.list_server(instance, change, is_from_before_removal, arrival);
            }
            Ok(Published::Evacuation(zone)) => {
                self.begin_evacuation(now, &zone, change, arrival.is_as_it_happens, source);
            }
            Ok(Published::Other) => {}
            Err(error) => {
                if self.kind_of(&change.key) == ValueKind::Document {
                    tracing::warn!(
                        key = %change.key.escape_debug(), revision = change.revision, %error,
                        "values: decoding a document failed"
                    );
                }
                let removal = RemovalRecord {
                    read_at: now,
                    may_have_lapsed: false,
                };
                self.remove_server_entry(now, &change.key, removal, source);
            }
        }
    }

    fn list_server(
        &self,
        instance: Instance,
        change: &Change,
        is_from_before_removal: bool,
        arrival: &Arrival<'_>,
    ) {
        let &Arrival { now, source, .. } = arrival;
        tracing::info!(
            server = %instance.id, service = %instance.service,
            software = &*instance.version,
            address = %instance.address, zone = %instance.zone, born_ms = instance.born_ms,
            draining = instance.is_draining, revision = change.revision,
            source = source.name(),
            "values: server listed"
        );
        let table = self.table();
        let is_unknown = table.is_some_and(|t| t.service(&instance.service).is_none());
        if is_unknown && self.log_lines.take(LineKind::Entry) {
            tracing::warn!(
                key = %change.key.escape_debug(),
                service = %instance.service.as_str().escape_debug(),
                revision = change.revision,
                "values: entry names an unknown service"
            );
        }
        let listed = instance.clone();
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.add_server(now, instance);
        if is_from_before_removal {
            dispatcher.record_refusal(now, &listed.id, RESTORED_PAUSE);
        }
        drop(dispatcher);
        self.record_process(now, &listed);
        self.restore_omitted_evacuation(now, &listed.zone, source);
    }

    /// Returns a delta of a kind without values of the other kind.
    ///
    /// Nodes of earlier builds send evacuations with the documents, where their removals,
    /// read from the store as those of entries, would not be found.
    fn without_other_kinds(&self, kind: ValueKind, delta: &Delta) -> Delta {
        let mut delta = delta.clone();
        delta.changes.retain(|c| self.kind_of(&c.key) == kind);
        delta.removals.retain(|r| self.kind_of(&r.key) == kind);
        delta
    }

    pub(crate) fn kind_of(&self, key: &str) -> ValueKind {
        let is_entry = self.dialect.server_of_key(key).is_some()
            || self.dialect.evacuated_zone_of_key(key).is_some();
        if is_entry {
            ValueKind::Entry
        } else {
            ValueKind::Document
        }
    }

    fn set_config(&self, table: RouteTable, source: Source<'_>) {
        let version = self.table.borrow().as_ref().map(|t| t.version());
        if version.is_some_and(|version| version >= table.version()) {
            return;
        }
        let age = self.staleness.borrow().age(Instant::now());
        tracing::info!(
            version = table.version(),
            before = version,
            values_age_ms = age.map(|age| age.as_millis()),
            routes = table.route_count(),
            source = source.name(),
            "values: configuration in force"
        );
        self.dispatcher.borrow_mut().configure(&table);
        let (before, table) = (self.table(), Rc::new(table));
        *self.table.borrow_mut() = Some(Rc::clone(&table));
        self.set_needed_entries(before.as_deref(), &table);
    }

    /// Returns when the value of a key was removed and why, as far as is known.
    fn removal(&self, now: Instant, key: &str, source: Source<'_>) -> RemovalRecord {
        let recovered_at = self.store.recovered_at.get();
        let is_fresh = |at: Instant| now.saturating_duration_since(at) < LAPSE_WINDOW;
        let restored_at = self.store.restored_at.get();
        let report_interval = self.settings().report_interval;
        let may_have_lapsed = self.store.is_outage(now, report_interval)
            || recovered_at.is_some_and(is_fresh)
            || restored_at.is_some_and(is_fresh);
        let read_at = match source {
            Source::Store => now,
            Source::Peer(notes) => {
                if let Some(note) = notes.iter().find(|note| &*note.key == key) {
                    return note.to_record(now);
                }
                now.checked_sub(UNKNOWN_AGE).unwrap_or(now)
            }
        };
        RemovalRecord {
            read_at,
            may_have_lapsed,
        }
    }

    fn remove_server_entry(
        &self,
        now: Instant,
        key: &str,
        removal: RemovalRecord,
        source: Source<'_>,
    ) {
        let Some(server) = self.dialect.server_of_key(key) else {
            return;
        };
        let mut dispatcher = self.dispatcher.borrow_mut();
        let server = server.into();
        if dispatcher.server_key(&server).is_none() {
            // Its entry was never valid, or is gone already.
            return;
        }
        let age = now.saturating_duration_since(removal.read_at);
        let lapse = self.settings().drain_timeout.saturating_sub(DRAIN_MARGIN);
        let lapse = removal
            .may_have_lapsed
            .then(|| lapse.saturating_sub(age))
            .filter(|lapse| !lapse.is_zero());
        tracing::info!(
            %server,
            may_have_lapsed = removal.may_have_lapsed,
            age_ms = age.as_millis(),
            use_for_ms = lapse.map(|lapse| lapse.as_millis()),
            source = source.name(),
            "values: server entry removed"
        );
        dispatcher.remove_server(now, &server, lapse);
    }
}
