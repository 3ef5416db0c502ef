//! Server instances as they are published.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::ids::{ServerName, ServiceName, ZoneName};

/// One run of a server process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Name under which it is registered.
    pub id: ServerName,
    /// Start of its process, in milliseconds of the Unix epoch; 0 when unknown.
    ///
    /// A process that restarts under the same name has lost its state and caches.
    pub born_ms: u64,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Version of its software, empty if it is unknown; versions have no order.
    pub version: Arc<str>,
    /// Address for calls.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Number of calls that it processes concurrently.
    pub slots: u32,
    /// Whether it is draining and accepts no new calls.
    pub is_draining: bool,
    /// Time after its start for which it is slow, in milliseconds.
    pub cold_ms: u32,
}
