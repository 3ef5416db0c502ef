//! How a node divides its machine.

use crate::occupancy::{Bounds, Bytes};

/// Receive buffer of a caller's socket; the system may hold twice as much.
pub const RECEIVE_BUFFER_BYTES: usize = 16 << 10;

/// Default of the bytes that a body may have without content: chunk sizes and trailers.
pub const FRAMING_BYTES_MAX: usize = 32 << 10;

/// Memory that a connection may take besides what is counted byte by byte.
///
/// Buffers for reading and writing, its task, and what its socket has received
/// and the node has not read.
const CONNECTION_BYTES: usize = (24 << 10) + 2 * RECEIVE_BUFFER_BYTES;

/// Percentages of a machine's memory. The rest is for the process itself: its tables, peers
/// and connections to servers.
const CONNECTIONS_PERCENT: usize = 35;
const REQUESTS_PERCENT: usize = 20;
const ANSWERS_PERCENT: usize = 15;

/// Percentage of a machine's memory for answers with values to other nodes.
const TRANSFERS_PERCENT: usize = 5;

/// Percentage of the sockets that callers may take; a call takes another one to a server.
const CALLERS_PERCENT: usize = 40;

/// Callers' connections for each connection that a node relays for another one.
const CALLERS_PER_RELAY: usize = 8;

/// Connections of other nodes besides those that are relayed.
const TRANSFERS_MAX: usize = 16;

/// Connections of the ports for readiness and for operators, each.
const PORT_CONNECTIONS_MAX: usize = 16;

/// Listeners, and connections to the store and to other nodes.
const OWN_SOCKETS: usize = 16;

/// A machine as far as a node may use it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Memory of the process.
    pub memory_bytes: usize,
    /// Sockets of the process.
    pub sockets_max: usize,
}

/// Bounds on connections besides those of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionShares {
    /// Connections to servers.
    pub servers: usize,
    /// Connections of other nodes.
    pub peers: usize,
    /// Connections that the node relays for others, among those of other nodes.
    pub relays: usize,
    /// Connections of the ports for readiness and for operators, each.
    pub port: usize,
    /// Bytes of answers with values that are made for other nodes.
    pub transfer_bytes: usize,
}

impl Machine {
    /// Returns what all callers together may hold.
    #[must_use]
    pub fn caller_bounds(&self) -> Bounds {
        let share = |percent: usize| self.memory_bytes / 100 * percent;
        let by_sockets = self.sockets_max * CALLERS_PERCENT / 100;
        let by_memory = share(CONNECTIONS_PERCENT) / CONNECTION_BYTES;
        Bounds {
            connections_max: by_sockets.min(by_memory),
            bytes_max: Bytes {
                requests: share(REQUESTS_PERCENT),
                answers: share(ANSWERS_PERCENT),
            },
        }
    }

    /// Returns the shares of all others beside that many callers.
    #[must_use]
    pub fn connection_shares(&self, callers: usize) -> ConnectionShares {
        let relays = callers / CALLERS_PER_RELAY;
        let peers = relays + TRANSFERS_MAX;
        // Each relayed connection takes another socket to its server.
        let others = callers + peers + relays + 2 * PORT_CONNECTIONS_MAX + OWN_SOCKETS;
        ConnectionShares {
            servers: self.sockets_max.saturating_sub(others),
            peers,
            relays,
            port: PORT_CONNECTIONS_MAX,
            transfer_bytes: self.memory_bytes / 100 * TRANSFERS_PERCENT,
        }
    }
}
