//! Messages between nodes: heartbeats and loads.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

/// Load that one node has put on a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLoad {
    /// Hash of the server's name.
    pub server_key: u32,
    /// Calls in flight.
    pub running: u16,
    /// Calls in flight with short prompts.
    #[serde(rename = "light")]
    pub short_prompts: u16,
    /// Prompt tokens of calls whose first event has not arrived.
    pub pending_tokens: u32,
    /// Rate at which tokens of long prompts are sent for prefill, as a running mean.
    pub tokens_per_s: u32,
}

/// Address, incarnation and heartbeat counter of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatEntry {
    /// Address of its peer port.
    pub address: SocketAddrV4,
    /// Start of its process, in milliseconds of the Unix epoch.
    pub incarnation: u64,
    /// Number of its heartbeats so far.
    pub count: u32,
}

/// Periodic gossip message of a node to some peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub sender: HeartbeatEntry,
    /// Whether the sender is in a graceful shutdown.
    pub is_leaving: bool,
    /// Whether the sender watches the store and its last call succeeded.
    pub is_watching: bool,
    /// Revision up to which the sender has the published values.
    pub revision: u64,
    /// Load that the sender has put on servers.
    pub loads: Vec<ServerLoad>,
    /// Entries of some other nodes that the sender knows of.
    #[serde(rename = "heard")]
    pub entries: Vec<HeartbeatEntry>,
}

/// Loads that a node has put on servers, sent to the servers' home.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Address of the sender's peer port.
    pub sender: SocketAddrV4,
    /// Start of the sender's process, in milliseconds of the Unix epoch.
    pub incarnation: u64,
    /// Number of the report at the sender; a higher one replaces a lower one.
    pub sequence: u32,
    /// The loads, those that ended included.
    pub loads: Vec<ServerLoad>,
}

/// Message between a node and the home of servers, sent after [`Self::PREFIX`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoadMessage {
    /// Loads of the sender.
    Report(LoadReport),
    /// Question for the loads that other nodes have put on servers.
    Query {
        /// Address of the sender's peer port.
        sender: SocketAddrV4,
        /// Number of the query at the sender.
        id: u32,
        /// Hashes of the servers' names.
        servers: Vec<u32>,
    },
    /// Answer to a query, with the loads that the home knows.
    Answer {
        /// Number of the query.
        id: u32,
        /// Loads of all nodes but the one that asked.
        loads: Vec<ServerLoad>,
    },
}

impl LoadMessage {
    /// Start of a datagram with a load message.
    ///
    /// A [`Heartbeat`] starts with an address. None has this one, and nodes that know
    /// heartbeats only fail to decode its port.
    pub const PREFIX: [u8; 5] = [0, 0, 0, 0, 0xff];
}
