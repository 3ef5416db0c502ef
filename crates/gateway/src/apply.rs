//! Applies published values to the node's state.

use std::rc::Rc;
use std::time::{Duration, Instant};

use briarbank_core::flow::{Delta, RouteTable};

use crate::dialect::Published;
use crate::shared::SharedState;

/// Time after the store recovers in which a removed entry may merely have expired.
const LAPSE_WINDOW: Duration = Duration::from_secs(1);

/// Time subtracted from the drain timeout of a server that may be gone.
///
/// If the store reports the removal: the time that a call needs to reach the
/// server. If a peer does: the time that a change needs to arrive through peers.
const DRAIN_MARGINS: (Duration, Duration) = (Duration::from_millis(300), Duration::from_secs(1));

/// Origin of published values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    Store,
    Peer,
}

impl SharedState {
    /// Applies published values that are newer than those in force.
    pub(crate) fn apply(&self, delta: &Delta, source: Source) {
        let changed = self.mirror.borrow_mut().apply(delta);
        let now = Instant::now();
        for key in changed {
            let change = self.mirror.borrow().get(&key).cloned();
            let Some(change) = change else {
                self.remove_server_entry(now, &key, source);
                continue;
            };
            match self.dialect.decode_value(&change) {
                Ok(Published::Config(config)) => self.set_config(RouteTable::new(config), source),
                Ok(Published::Server(instance)) => {
                    tracing::info!(
                        server = %instance.id, service = %instance.service,
                        address = %instance.address, born_ms = instance.born_ms,
                        draining = instance.is_draining, revision = change.revision, ?source,
                        "values: server listed"
                    );
                    self.dispatcher.borrow_mut().add_server(instance);
                }
                Ok(Published::Other) => {}
                Err(error) => {
                    tracing::warn!(%key, revision = change.revision, %error, "values: decoding an entry failed");
                    self.remove_server_entry(now, &key, source);
                }
            }
        }
    }

    fn set_config(&self, table: RouteTable, source: Source) {
        let version = self.table.borrow().as_ref().map(|t| t.version());
        if version.is_some_and(|version| version >= table.version()) {
            return;
        }
        tracing::info!(
            version = table.version(),
            before = version,
            routes = table.route_count(),
            ?source,
            "values: configuration in force"
        );
        self.dispatcher.borrow_mut().configure(&table);
        *self.table.borrow_mut() = Some(Rc::new(table));
    }

    fn remove_server_entry(&self, now: Instant, key: &str, source: Source) {
        let Some(server) = self.dialect.server_of_key(key) else {
            return;
        };
        let recovered_at = self.store.recovered_at.get();
        let is_fresh = |at: Instant| now.saturating_duration_since(at) < LAPSE_WINDOW;
        let may_have_lapsed = self.store.is_failing.get() || recovered_at.is_some_and(is_fresh);
        tracing::info!(
            server,
            may_have_lapsed,
            ?source,
            "values: server entry removed"
        );
        let margin = match source {
            Source::Store => DRAIN_MARGINS.0,
            Source::Peer => DRAIN_MARGINS.1,
        };
        let lapse = self.settings().drain_timeout.saturating_sub(margin);
        let lapse = may_have_lapsed.then_some(lapse);
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.remove_server(now, &server.into(), lapse);
    }
}
