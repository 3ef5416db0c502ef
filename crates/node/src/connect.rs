//! Connections to other processes.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;

/// Time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Connects within the node's usual time.
pub(crate) async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    briarbank_net::connect(address, CONNECT_TIMEOUT).await
}
