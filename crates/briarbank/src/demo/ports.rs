//! Free ports for nodes that must know their addresses before they start.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// Addresses of one node.
#[derive(Clone, Copy, Debug)]
pub(super) struct NodePorts {
    pub(super) caller: SocketAddr,
    pub(super) peer: SocketAddr,
    pub(super) operator: SocketAddr,
}

/// Finds free ports for two nodes; all are held until the last one is found.
pub(super) fn free_ports() -> io::Result<[NodePorts; 2]> {
    let first = [free()?, free()?, free()?];
    let second = [free()?, free()?, free()?];
    Ok([ports(&first)?, ports(&second)?])
}

fn free() -> io::Result<TcpListener> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
}

fn ports([caller, peer, operator]: &[TcpListener; 3]) -> io::Result<NodePorts> {
    Ok(NodePorts {
        caller: caller.local_addr()?,
        peer: peer.local_addr()?,
        operator: operator.local_addr()?,
    })
}
