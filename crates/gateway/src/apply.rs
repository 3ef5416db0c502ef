//! Applies published values to the node's state.

use std::rc::Rc;
use std::time::{Duration, Instant};

use briarbank_core::flow::{
    Delta, RemovalNote, RemovalRecord, RouteTable, ValueKind, Values, era_of,
};

use crate::dialect::Published;
use crate::shared::SharedState;

/// Time for which a server whose removed entry came back with an earlier copy gets no calls.
const RESTORED_PAUSE: Duration = Duration::from_secs(10);

/// Time after the store recovers in which a removed entry may merely have expired.
const LAPSE_WINDOW: Duration = Duration::from_secs(1);

/// Time subtracted from the drain timeout of a server that may be gone.
///
/// The store's answer takes a while to arrive, and so does a call to reach the server.
const DRAIN_MARGIN: Duration = Duration::from_millis(500);

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
    fn name(&self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer(_) => "peer",
        }
    }
}

impl SharedState {
    /// Applies published values that are newer than those in force.
    ///
    /// The changes are those of one kind, or of all kinds.
    pub(crate) fn apply(&self, delta: &Delta, kind: Option<ValueKind>, source: Source<'_>) {
        let now = Instant::now();
        let mut values = self.values.borrow_mut();
        let era_of_entries = |values: &Values| era_of(values.mirror(ValueKind::Entry).revision());
        let (is_known, era_before) = (values.revision() > 0, era_of_entries(&values));
        let changed = match kind {
            Some(kind) => values.apply_kind(kind, delta),
            None => values.apply(delta, |key| self.kind_of(key)),
        };
        let era = era_of_entries(&values);
        drop(values);
        let is_restored = is_known && era > era_before;
        if is_restored {
            tracing::warn!(era, "values: store came back from an earlier copy");
            self.store.restored_at.set(Some(now));
        }
        for key in changed {
            let change = self.values.borrow().get(&key).cloned();
            let Some(change) = change else {
                let removal = self.removal(now, &key, source);
                self.removals.borrow_mut().record(&key, removal);
                self.remove_server_entry(now, &key, removal, source);
                continue;
            };
            let removal = self.removals.borrow_mut().forget(&key);
            let is_from_before_removal =
                is_restored && removal.is_some_and(|removal| !removal.may_have_lapsed);
            match self.dialect.decode_value(&change) {
                Ok(Published::Config(config)) => self.set_config(RouteTable::new(config), source),
                Ok(Published::Server(instance)) => {
                    tracing::info!(
                        server = %instance.id, service = %instance.service,
                        software = &*instance.version,
                        address = %instance.address, born_ms = instance.born_ms,
                        draining = instance.is_draining, revision = change.revision,
                        source = source.name(),
                        "values: server listed"
                    );
                    let server = instance.id.clone();
                    let mut dispatcher = self.dispatcher.borrow_mut();
                    dispatcher.add_server(now, instance);
                    if is_from_before_removal {
                        dispatcher.record_refusal(now, &server, RESTORED_PAUSE);
                    }
                }
                Ok(Published::Evacuation(_) | Published::Other) => {}
                Err(error) => {
                    tracing::warn!(%key, revision = change.revision, %error, "values: decoding an entry failed");
                    let removal = RemovalRecord {
                        read_at: now,
                        may_have_lapsed: false,
                    };
                    self.remove_server_entry(now, &key, removal, source);
                }
            }
        }
        // Servers that turned cold get no calls before this node has its shares in them.
        self.divide_cold(now);
    }

    fn kind_of(&self, key: &str) -> ValueKind {
        match self.dialect.server_of_key(key) {
            Some(_) => ValueKind::Entry,
            None => ValueKind::Document,
        }
    }

    fn set_config(&self, table: RouteTable, source: Source<'_>) {
        let version = self.table.borrow().as_ref().map(|t| t.version());
        if version.is_some_and(|version| version >= table.version()) {
            return;
        }
        tracing::info!(
            version = table.version(),
            before = version,
            routes = table.route_count(),
            source = source.name(),
            "values: configuration in force"
        );
        self.dispatcher.borrow_mut().configure(&table);
        *self.table.borrow_mut() = Some(Rc::new(table));
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
        let age = now.saturating_duration_since(removal.read_at);
        let lapse = self.settings().drain_timeout.saturating_sub(DRAIN_MARGIN);
        let lapse = removal
            .may_have_lapsed
            .then(|| lapse.saturating_sub(age))
            .filter(|lapse| !lapse.is_zero());
        tracing::info!(
            server,
            may_have_lapsed = removal.may_have_lapsed,
            age_ms = age.as_millis(),
            use_for_ms = lapse.map(|lapse| lapse.as_millis()),
            source = source.name(),
            "values: server entry removed"
        );
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.remove_server(now, &server.into(), lapse);
    }
}
