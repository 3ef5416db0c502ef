//! Servers, as they register themselves.

use std::net::SocketAddr;

use crate::ids::{ServerName, ServiceName, ZoneName};

/// One run of a server process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Name under which it is registered.
    pub id: ServerName,
    /// Start of its process, in milliseconds of the Unix epoch; 0 when unknown.
    ///
    /// A process that starts anew under the same name knows nothing of before.
    pub born_ms: u64,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address for calls.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Calls that it works on at once.
    pub slots: u32,
    /// Whether it takes no new calls.
    pub is_draining: bool,
    /// Time for which it is still slow after its start, in milliseconds.
    pub cold_ms: u32,
}
