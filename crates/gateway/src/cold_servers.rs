//! Shares of this node in the calls to cold servers.

use std::collections::BTreeMap;
use std::time::Instant;

use briarbank_core::flow::{ColdChange, ColdServer, ColdShare};
use serde_json::{Value, json};

use crate::log_lines::LineKind;
use crate::shared::SharedState;

impl SharedState {
    /// Applies this node's shares in cold servers, and logs which turned cold or warm.
    pub(crate) fn divide_cold(&self, now: Instant) {
        let mut dispatcher = self.dispatcher.borrow_mut();
        let cold = dispatcher.cold_servers(now);
        if !cold.is_empty() {
            let users = self.peers.borrow().cold_users(now);
            let share = |s: &ColdServer| users.share(s.server_key, s.nominal_per_s, s.bound);
            let shares: BTreeMap<u32, ColdShare> =
                cold.iter().map(|s| (s.server_key, share(s))).collect();
            dispatcher.set_cold_shares(now, &shares);
        }
        for change in dispatcher.take_cold_changes(now) {
            self.log_cold_change(&change);
        }
    }

    fn log_cold_change(&self, change: &ColdChange) {
        if !self.log_lines.take(LineKind::Cold) {
            return;
        }
        let server = &change.server;
        if let Some(time) = change.remaining {
            tracing::info!(%server, cold_ms = time.as_millis(), "server: turned cold");
        } else {
            tracing::info!(%server, "server: turned warm");
        }
    }

    /// Updates the metrics of cold servers.
    pub(crate) fn update_cold_metrics(&self, now: Instant) {
        let dispatcher = self.dispatcher.borrow();
        let counts = dispatcher.cold_counts();
        let servers = dispatcher.cold_servers(now).len();
        metrics::gauge!("briarbank_cold_servers").set(servers as f64);
        metrics::counter!("briarbank_cold_sends_total").absolute(counts.sends);
        metrics::counter!("briarbank_cold_sends_held_back_total").absolute(counts.held_back);
    }

    /// Returns the cold servers for the state dump.
    pub(crate) fn dump_cold_servers(&self, now: Instant) -> Vec<Value> {
        let cold = self.dispatcher.borrow().cold_servers(now);
        let dump = |s: &ColdServer| {
            json!({
                "id": s.server.as_str(), "cold_ms": s.remaining.as_millis() as u64,
                "share_per_s": s.share_per_s,
            })
        };
        cold.iter().map(dump).collect()
    }
}
