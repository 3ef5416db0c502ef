//! Outgoing TCP connections.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;

/// Longest time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Connects to an address within the node's connect timeout.
pub(crate) async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    briarbank_net::connect(address, CONNECT_TIMEOUT).await
}
