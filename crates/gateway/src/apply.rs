//! Published values come into force.

use std::rc::Rc;
use std::time::{Duration, Instant};

use briarbank_core::flow::{Delta, RouteTable};

use crate::dialect::Published;
use crate::shared::SharedState;

/// Time after the store's return in which entries that ended may have lapsed.
const LAPSE_WINDOW: Duration = Duration::from_secs(1);

/// Times taken off the time in which a server that may be gone still gets calls:
/// what a call needs to reach it, and what news needs by way of peers.
const DRAIN_MARGINS: (Duration, Duration) = (Duration::from_millis(300), Duration::from_secs(1));

/// Where values came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    Store,
    Peer,
}

impl SharedState {
    /// Takes over published values that are newer than those in force.
    pub(crate) fn apply(&self, delta: &Delta, source: Source) {
        let changed = self.mirror.borrow_mut().apply(delta);
        let now = Instant::now();
        for key in changed {
            let change = self.mirror.borrow().get(&key).cloned();
            let Some(change) = change else {
                self.ended(now, &key, source);
                continue;
            };
            match self.dialect.decode_value(&change) {
                Ok(Published::Config(config)) => self.configure(RouteTable::new(config), source),
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
                    tracing::warn!(%key, revision = change.revision, %error, "values: entry not usable");
                    self.ended(now, &key, source);
                }
            }
        }
    }

    fn configure(&self, table: RouteTable, source: Source) {
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

    fn ended(&self, now: Instant, key: &str, source: Source) {
        let Some(server) = self.dialect.server_of_key(key) else {
            return;
        };
        let regained = self.store.regained_at.get();
        let is_fresh = |at: Instant| now.saturating_duration_since(at) < LAPSE_WINDOW;
        let may_have_lapsed = self.store.is_lost.get() || regained.is_some_and(is_fresh);
        tracing::info!(
            server,
            may_have_lapsed,
            ?source,
            "values: server entry ended"
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
