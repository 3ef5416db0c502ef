//! Messages between nodes: heartbeats and loads.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::flow::prefill_directory::SLOWNESS_PERCENT_RANGE;

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

/// Times to the first event of calls with long prompts, summed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PrefillSample {
    /// Number of calls, fractional when they have lost weight.
    pub calls: f32,
    /// Prompt tokens that were prefilled, those queued before them included.
    pub tokens: f32,
    /// Times to the first event, in milliseconds.
    pub time_ms: f32,
}

impl PrefillSample {
    /// Most tokens and milliseconds of one call that count.
    const CALL_MAX: f32 = 200_000.0;

    /// Returns the sum of two samples.
    #[must_use]
    pub fn sum(&self, other: &Self) -> Self {
        Self {
            calls: self.calls + other.calls,
            tokens: self.tokens + other.tokens,
            time_ms: self.time_ms + other.time_ms,
        }
    }

    /// Returns the sample with its weight multiplied by a factor.
    #[must_use]
    pub fn scaled(&self, factor: f64) -> Self {
        let factor = factor as f32;
        Self {
            calls: self.calls * factor,
            tokens: self.tokens * factor,
            time_ms: self.time_ms * factor,
        }
    }

    /// Returns the sample of one call within bounds, empty if a figure is no number.
    #[must_use]
    pub fn clamped(&self) -> Self {
        if !(self.tokens.is_finite() && self.time_ms.is_finite()) {
            return Self::default();
        }
        Self {
            calls: 1.0,
            tokens: self.tokens.clamp(0.0, Self::CALL_MAX),
            time_ms: self.time_ms.clamp(0.0, Self::CALL_MAX),
        }
    }
}

/// What a node has seen of a server since its last report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServerObservation {
    /// Hash of the server's name.
    pub server_key: u32,
    /// Hash of its name and of the start of its process.
    pub process_key: u32,
    /// Hashes of shared prompt parts that were sent to it.
    pub parts: Vec<u32>,
    /// Time to the first event of a call.
    pub sample: Option<PrefillSample>,
    /// How long work takes there at this moment, in percent of the usual time.
    pub slowness_percent: Option<u16>,
}

/// What the home of a server knows of it, for a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerEstimate {
    /// Hash of the server's name.
    pub server_key: u32,
    /// Recent times to first events.
    pub samples: PrefillSample,
    /// How many of the prompt's first shared parts its cache holds, `None` if unknown.
    pub held_parts: Option<u8>,
    /// Time that work takes in percent of the usual, and the age of this figure in
    /// milliseconds.
    pub momentary_slowness: Option<(u16, u16)>,
}

impl ServerEstimate {
    /// Largest sum of calls, tokens or milliseconds that counts.
    const SUM_MAX: f32 = 1e9;

    /// Returns the figures within bounds, `None` if one is no number.
    pub(crate) fn within_bounds(&self) -> Option<Self> {
        let PrefillSample {
            calls,
            tokens,
            time_ms,
        } = self.samples;
        let figures = [calls, tokens, time_ms];
        let is_valid = figures.iter().all(|f| (0.0..=Self::SUM_MAX).contains(f));
        let (least, most) = SLOWNESS_PERCENT_RANGE;
        let clamped = |(percent, age_ms): (u16, u16)| (percent.clamp(least, most), age_ms);
        is_valid.then(|| Self {
            momentary_slowness: self.momentary_slowness.map(clamped),
            ..*self
        })
    }
}

/// Details that nodes append to a [`LoadMessage`], at most once; older nodes ignore them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadDetails {
    /// Of a report: what the sender has seen of the servers.
    pub observations: Vec<ServerObservation>,
    /// Of a query: hashes of the prompt's shared parts, in order.
    pub parts: Vec<u32>,
    /// Of an answer: what the home knows of the servers.
    pub estimates: Vec<ServerEstimate>,
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
