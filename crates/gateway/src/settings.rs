//! Settings of the daemon.

use std::collections::BTreeMap;
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use briarbank_core::flow::{ColdLimit, RetryOptions};
use briarbank_core::ids::{HostName, RegionName, ZoneName};
use briarbank_core::machine::ConnectionShares;
use briarbank_core::occupancy::Bounds;

use crate::error::LoadError;

/// Ports of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// Port for callers.
    pub caller: SocketAddr,
    /// Port for the balancer's readiness check.
    pub ready: SocketAddr,
    /// Port for metrics and the state dump.
    pub operator: Option<SocketAddr>,
    /// Port for other nodes, UDP and TCP.
    pub peer: SocketAddrV4,
}

/// Source of the settings.
pub trait SettingsSource {
    /// Reads the current settings.
    ///
    /// # Errors
    ///
    /// The settings cannot be read or are invalid; those in force stay.
    fn load(&self) -> Result<Settings, LoadError>;
}

/// Settings of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the host.
    pub host: HostName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Ports of the node.
    pub addresses: Addresses,
    /// Whether the whole fleet starts for the first time, so that nothing ran before.
    pub is_first_start: bool,
    /// Peer ports of a few other nodes, possibly stale.
    pub seeds: Vec<SocketAddrV4>,
    /// Address of the store of published values.
    pub store_address: SocketAddr,
    /// Bounds on what all connections from callers hold together.
    pub caller_bounds: Bounds,
    /// Bytes that a body may have without content.
    pub framing_bytes_max: usize,
    /// Largest numbers of all other connections.
    pub connection_shares: ConnectionShares,
    /// Time between the signal to stop and the kill of the process.
    pub stop_timeout: Duration,
    /// Rate of the host's link in Mbit/s, 0 if unknown.
    pub link_mbps: u32,
    /// Longest time for which a server receives calls after its entry is removed.
    pub drain_timeout: Duration,
    /// Time between two reports of a server to the store.
    pub report_interval: Duration,
    /// Limits on retries, for all nodes together.
    pub retries: RetryOptions,
    /// Largest ratio of hedges to calls that may be repeated, 0 for none.
    pub hedge_ratio: f64,
    /// Bound on calls to cold servers, for all nodes together.
    pub cold: ColdLimit,
    /// Region of each availability zone.
    pub zone_regions: BTreeMap<ZoneName, RegionName>,
}
