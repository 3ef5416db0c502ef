//! Documents that the platform publishes to the node under test.

use std::net::SocketAddr;

use serde_json::{Value, json};

/// Number of slots of each server.
pub(crate) const SLOTS: u32 = 4_000;

/// Addresses of the node and the servers in the documents.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fleet<'a> {
    pub(crate) peer: SocketAddr,
    pub(crate) service: SocketAddr,
    pub(crate) fast: &'a [SocketAddr],
    pub(crate) paced: &'a [SocketAddr],
}

impl Fleet<'_> {
    /// Returns each document with its key.
    pub(crate) fn documents(&self) -> [(&'static str, Value); 3] {
        let host = json!({"name": "speed-1", "zone": "recife", "peer_address": self.peer,
            "state": "live"});
        let mut servers = engines("fast", self.fast);
        servers.extend(engines("paced", self.paced));
        servers.push(server("desk-1", self.service, "slips"));
        [
            ("hosts", json!({"hosts": [host]})),
            ("servers", json!({"servers": servers})),
            ("config", config()),
        ]
    }
}

fn server(name: &str, address: SocketAddr, target: &str) -> Value {
    json!({"name": name, "zone": "recife", "address": address, "targets": [target],
        "slots": SLOTS, "checks_fencing": false, "state": "live"})
}

fn engines(target: &str, addresses: &[SocketAddr]) -> Vec<Value> {
    let named = addresses.iter().enumerate();
    named
        .map(|(number, address)| server(&format!("{target}-{number}"), *address, target))
        .collect()
}

fn config() -> Value {
    json!({
        "profiles": [profile("reads", true), profile("slips", false)],
        "workspaces": [{"name": "recife", "weight": 1.0, "in_flight_limit": 8_000}],
        "targets": [
            {"name": "fast", "kind": "model"},
            {"name": "paced", "kind": "model"},
            {"name": "slips", "kind": "service"},
        ],
    })
}

/// Returns a profile with objectives so long that no call is shed for latency.
fn profile(name: &str, idempotent: bool) -> Value {
    json!({"name": name, "tier": 0, "idempotent": idempotent, "first_token_ms": 30_000,
        "between_tokens_ms": 30_000, "whole_ms": 120_000, "share_ratio": 0.4,
        "queue_limit": 8_000})
}
