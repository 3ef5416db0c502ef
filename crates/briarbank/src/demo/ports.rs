//! Free ports for nodes, whose addresses must be known before they start.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// Addresses of one node.
#[derive(Clone, Copy, Debug)]
pub(super) struct NodePorts {
    pub(super) caller: SocketAddr,
    pub(super) peer: SocketAddr,
    pub(super) operator: SocketAddr,
}

/// Finds free ports for two nodes.
///
/// Each port stays bound until all are found, so that none is returned twice.
pub(super) fn free_ports() -> io::Result<[NodePorts; 2]> {
    let first = [bind_free_port()?, bind_free_port()?, bind_free_port()?];
    let second = [bind_free_port()?, bind_free_port()?, bind_free_port()?];
    Ok([node_ports(&first)?, node_ports(&second)?])
}

fn bind_free_port() -> io::Result<TcpListener> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
}

fn node_ports([caller, peer, operator]: &[TcpListener; 3]) -> io::Result<NodePorts> {
    Ok(NodePorts {
        caller: caller.local_addr()?,
        peer: peer.local_addr()?,
        operator: operator.local_addr()?,
    })
}
