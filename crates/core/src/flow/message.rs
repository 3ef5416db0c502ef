//! What nodes tell each other several times a second.

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
    /// Prompt tokens sent whose first event has not come yet.
    pub pending_tokens: u32,
    /// Tokens of long prompts to read that were sent, a second, as a running mean.
    pub tokens_per_s: u32,
}

/// A node that the sender has heard of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatEntry {
    /// Address of its peer port.
    pub address: SocketAddrV4,
    /// Start of its process, in milliseconds of the Unix epoch.
    pub incarnation: u64,
    /// Its beats so far.
    pub count: u32,
}

/// The regular message of a node to its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub sender: HeartbeatEntry,
    /// Whether the sender is stopping as planned.
    pub is_leaving: bool,
    /// Whether the sender follows the store and was answered.
    pub is_watching: bool,
    /// Revision up to which the sender knows the published values.
    pub revision: u64,
    /// Load that the sender has put on servers.
    pub loads: Vec<ServerLoad>,
    /// Some of the nodes that the sender has heard of.
    #[serde(rename = "heard")]
    pub entries: Vec<HeartbeatEntry>,
}
