//! Connections to other processes.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time for which bytes stay unacknowledged; then the path is taken
/// for lost, whatever the other end does.
const UNACKNOWLEDGED_MAX: Duration = Duration::from_secs(2);

/// Idle time after which the path is probed.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);

/// Time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Connects without delay of small writes, and with a watch on the path.
pub(crate) async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL);
    let socket = SockRef::from(&stream);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_MAX))?;
    Ok(stream)
}
