//! Settings of the daemon.

use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use briarbank_core::flow::RetryOptions;
use briarbank_core::ids::{HostName, ZoneName};

use crate::error::LoadError;

/// Ports of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// For callers.
    pub caller: SocketAddr,
    /// For the balancer's question whether the node takes connections.
    pub ready: SocketAddr,
    /// For metrics and the state dump.
    pub operator: Option<SocketAddr>,
    /// For other nodes, UDP and TCP.
    pub peer: SocketAddrV4,
}

/// Where the settings come from.
pub trait SettingsSource {
    /// Reads the settings as they are now.
    ///
    /// # Errors
    ///
    /// They can't be read or used; those in force stay.
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
    /// Peer ports of a few other nodes, possibly stale.
    pub seeds: Vec<SocketAddrV4>,
    /// The store of published values.
    pub store_address: SocketAddr,
    /// Most connections from callers.
    pub connections_max: usize,
    /// Time after the signal to stop after which the process is killed.
    pub stop_timeout: Duration,
    /// Time after the end of a server's entry after which it gets no calls.
    pub drain_timeout: Duration,
    /// Bounds on repeated sends, for all nodes together.
    pub retries: RetryOptions,
}
