//! Connections to other processes.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Longest time for which bytes stay unacknowledged; then the path is taken
/// for lost, whatever the other end does.
const UNACKNOWLEDGED_MAX: Duration = Duration::from_secs(2);

/// Idle time after which the path is probed.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);

/// Time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Connects within `connect_timeout`, without delay of small writes, and with a watch on the path.
///
/// # Errors
///
/// The address refuses connections or does not answer in time.
pub async fn connect(address: SocketAddr, connect_timeout: Duration) -> io::Result<TcpStream> {
    let stream = timeout(connect_timeout, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    set_path_timeouts(&stream)?;
    Ok(stream)
}

/// Lets the system close a connection whose path is lost.
///
/// # Errors
///
/// The system refuses the options.
pub fn set_path_timeouts(stream: &TcpStream) -> io::Result<()> {
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL);
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_MAX))
}
