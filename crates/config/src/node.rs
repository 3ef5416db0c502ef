//! Settings of a router node.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use briarbank_core::ids::{HostName, ZoneName};
use briarbank_core::machine::{FRAMING_BYTES_MAX, Machine};
use briarbank_core::occupancy::Bounds;
use serde::{Deserialize, Serialize};

use crate::checker::{Checker, Validate};
use crate::field::FieldPath;

const MEGABYTE: usize = 1_000_000;
const KEY_MIN_CHARS: usize = 16;
const KEY_MAX_CHARS: usize = 256;
const REPLICAS_MAX: usize = 16;
const COUNT_MAX: usize = 1_000_000;
const BODY_MAX_BYTES: usize = 64 << 20;
const HEADER_MIN_BYTES: usize = 1 << 10;
const HEADER_MAX_BYTES: usize = 1 << 20;
const MEMORY_MIN_MB: usize = 64;
const TIMEOUT_MAX_MS: u64 = 600_000;

/// Limits of the caller port.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum size of a request body.
    pub body_bytes: usize,
    /// Maximum size of a request head.
    pub header_bytes: usize,
    /// Maximum number of connections from callers.
    pub connections: usize,
    /// Maximum number of calls in flight or queued.
    pub calls: usize,
    /// Timeout for receiving a request head.
    pub header_timeout_ms: u64,
    /// Timeout for receiving a request body.
    pub body_timeout_ms: u64,
    /// Maximum size of a whole or stored answer, and of an event in a stream.
    pub answer_bytes: usize,
    /// Memory that the node may take, by which connections and bodies together are bounded.
    pub memory_mb: usize,
    /// Maximum number of bytes without content in a body: chunk sizes and trailers.
    pub framing_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 1 << 20,
            header_bytes: 16 << 10,
            connections: 10_000,
            calls: 8_000,
            header_timeout_ms: 5_000,
            body_timeout_ms: 10_000,
            answer_bytes: 1 << 20,
            memory_mb: 256,
            framing_bytes: FRAMING_BYTES_MAX,
        }
    }
}

/// Settings of `briarbank node`.
#[derive(Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Name of the host in the published host list.
    pub host: HostName,
    /// Availability zone of the host.
    pub zone: ZoneName,
    /// Address to listen on for callers.
    pub caller_address: SocketAddr,
    /// Address to listen on for other nodes.
    pub peer_address: SocketAddr,
    /// Address to listen on for operators.
    pub operator_address: SocketAddr,
    /// Addresses of the platform's replicas.
    pub platform_addresses: Vec<SocketAddr>,
    /// Key that other nodes and operators authenticate with.
    pub shared_key: Arc<str>,
    /// Time limit of a graceful shutdown.
    #[serde(default = "default_drain_timeout_ms")]
    pub drain_timeout_ms: u64,
    /// Limits of the caller port.
    #[serde(default)]
    pub limits: Limits,
}

/// Omits the shared key to keep it out of logs.
impl fmt::Debug for NodeSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("NodeSettings")
            .field("host", &self.host)
            .field("zone", &self.zone)
            .field("caller_address", &self.caller_address)
            .field("peer_address", &self.peer_address)
            .field("operator_address", &self.operator_address)
            .field("platform_addresses", &self.platform_addresses)
            .field("drain_timeout_ms", &self.drain_timeout_ms)
            .field("limits", &self.limits)
            .finish_non_exhaustive()
    }
}

fn default_drain_timeout_ms() -> u64 {
    60_000
}

impl Validate for NodeSettings {
    fn validate(&self, checker: &mut Checker) {
        let root = FieldPath::default();
        checker.check_name(&root.field("host"), self.host.as_str());
        checker.check_name(&root.field("zone"), self.zone.as_str());
        self.check_ports(checker);
        self.check_platform_addresses(checker);
        self.check_key(checker);
        checker.check_range(
            &root.field("drain_timeout_ms"),
            self.drain_timeout_ms,
            1..=TIMEOUT_MAX_MS,
        );
        self.limits.check_bounds(&root.field("limits"), checker);
    }
}

impl NodeSettings {
    fn check_ports(&self, checker: &mut Checker) {
        let ports = [
            ("caller_address", self.caller_address),
            ("peer_address", self.peer_address),
            ("operator_address", self.operator_address),
        ];
        for (index, (field, address)) in ports.iter().enumerate() {
            let path = FieldPath::default().field(field);
            for (other_field, other_address) in &ports[..index] {
                if addresses_conflict(*address, *other_address) {
                    let allowed = format!("an address and port apart from those of {other_field}");
                    checker.add_fault(&path, address, allowed);
                }
            }
        }
    }

    fn check_platform_addresses(&self, checker: &mut Checker) {
        let path = FieldPath::default().field("platform_addresses");
        let count = self.platform_addresses.len();
        if !(1..=REPLICAS_MAX).contains(&count) {
            let allowed = format!("1 to {REPLICAS_MAX} addresses");
            checker.add_fault(&path, format!("{count} addresses"), allowed);
        }
        for (index, address) in self.platform_addresses.iter().enumerate() {
            checker.check_reachable(&path.index(index), *address);
        }
        checker.check_unique(&self.platform_addresses, |index| path.index(index));
    }

    /// Checks the shared key, which itself never appears in a fault.
    fn check_key(&self, checker: &mut Checker) {
        let path = FieldPath::default().field("shared_key");
        let count = self.shared_key.chars().count();
        if !(KEY_MIN_CHARS..=KEY_MAX_CHARS).contains(&count) {
            let allowed = format!("{KEY_MIN_CHARS} to {KEY_MAX_CHARS} characters");
            checker.add_fault(&path, format!("{count} characters"), allowed);
        }
        if !self.shared_key.bytes().all(|b| b.is_ascii_graphic()) {
            checker.add_fault(&path, "other characters", "visible ASCII characters");
        }
    }
}

/// Returns whether two addresses cannot both be bound; port 0 is any free port.
fn addresses_conflict(a: SocketAddr, b: SocketAddr) -> bool {
    let any = a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() != 0 && a.port() == b.port() && (any || a.ip() == b.ip())
}

impl Limits {
    /// Returns the bounds on what all callers and forwarded calls hold together.
    #[must_use]
    pub fn caller_bounds(&self) -> Bounds {
        let machine = Machine {
            memory_bytes: self.memory_mb * MEGABYTE,
            sockets_max: COUNT_MAX,
        };
        let bounds = machine.caller_bounds();
        Bounds {
            connections_max: bounds.connections_max.min(self.connections),
            ..bounds
        }
    }

    fn check_bounds(&self, path: &FieldPath, checker: &mut Checker) {
        let sizes = [
            ("body_bytes", self.body_bytes, 1..=BODY_MAX_BYTES),
            (
                "header_bytes",
                self.header_bytes,
                HEADER_MIN_BYTES..=HEADER_MAX_BYTES,
            ),
            ("connections", self.connections, 1..=COUNT_MAX),
            ("calls", self.calls, 1..=COUNT_MAX),
            ("answer_bytes", self.answer_bytes, 1..=BODY_MAX_BYTES),
            ("memory_mb", self.memory_mb, MEMORY_MIN_MB..=COUNT_MAX),
            (
                "framing_bytes",
                self.framing_bytes,
                HEADER_MIN_BYTES..=HEADER_MAX_BYTES,
            ),
        ];
        for (field, value, range) in sizes {
            checker.check_range(&path.field(field), value, range);
        }
        let timeouts = [
            ("header_timeout_ms", self.header_timeout_ms),
            ("body_timeout_ms", self.body_timeout_ms),
        ];
        for (field, value) in timeouts {
            checker.check_range(&path.field(field), value, 1..=TIMEOUT_MAX_MS);
        }
    }
}
