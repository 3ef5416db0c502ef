//! Documents that the platform stand-in publishes.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde_json::{Value, json};

/// Addresses of a node.
#[derive(Clone, Copy, Debug)]
pub struct NodeAddresses {
    pub caller: SocketAddr,
    pub peer: SocketAddr,
    pub operator: SocketAddr,
}

/// Published server.
#[derive(Clone, Debug)]
pub struct ServerEntry {
    pub name: String,
    pub address: SocketAddr,
    pub target: String,
    pub version: String,
}

/// Documents of one fleet.
#[derive(Clone, Debug, Default)]
pub struct Published {
    pub nodes: Vec<NodeAddresses>,
    pub servers: Vec<ServerEntry>,
    /// Indices of the nodes that the host list marks as leaving.
    pub leaving: BTreeSet<usize>,
}

impl Published {
    /// Returns the name of the node with the index.
    pub fn host_name(index: usize) -> String {
        format!("node-{index}")
    }

    pub(super) fn add_node(&mut self, addresses: NodeAddresses) {
        self.nodes.push(addresses);
    }

    pub(super) fn add_server(
        &mut self,
        name: &str,
        address: SocketAddr,
        target: &str,
        version: &str,
    ) {
        self.servers.push(ServerEntry {
            name: name.to_owned(),
            address,
            target: target.to_owned(),
            version: version.to_owned(),
        });
    }

    pub(super) fn documents(&self) -> [(&'static str, Value); 3] {
        [
            ("config", config()),
            ("servers", self.servers()),
            ("hosts", self.hosts()),
        ]
    }

    fn hosts(&self) -> Value {
        let hosts = self.nodes.iter().enumerate();
        let hosts: Vec<Value> = hosts.map(|(index, node)| self.host(index, node)).collect();
        json!({ "hosts": hosts })
    }

    fn host(&self, index: usize, node: &NodeAddresses) -> Value {
        let state = if self.leaving.contains(&index) {
            "leaving"
        } else {
            "live"
        };
        json!({
            "name": Self::host_name(index), "zone": "zone-a",
            "peer_address": node.peer, "state": state,
        })
    }

    fn servers(&self) -> Value {
        let servers: Vec<Value> = self.servers.iter().map(server).collect();
        json!({ "servers": servers })
    }
}

fn server(entry: &ServerEntry) -> Value {
    json!({
        "name": entry.name, "zone": "zone-a", "address": entry.address,
        "targets": [entry.target], "slots": 32, "version": entry.version, "state": "live",
    })
}

fn config() -> Value {
    json!({
        "profiles": [
            profile("slips", 0, false),
            profile("lists", 1, true),
            profile("orders", 0, false),
        ],
        "workspaces": [{"name": "w", "weight": 1.0, "in_flight_limit": 1000}],
        "targets": [
            {"name": "lens-model", "kind": "model"},
            {"name": "slips", "kind": "service"},
        ],
    })
}

fn profile(name: &str, tier: u8, idempotent: bool) -> Value {
    json!({
        "name": name, "tier": tier, "idempotent": idempotent,
        "first_token_ms": 2000, "between_tokens_ms": 100, "whole_ms": 60000,
        "share_ratio": 0.2, "queue_limit": 1000,
    })
}
