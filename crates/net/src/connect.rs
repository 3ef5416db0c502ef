//! Connections to other processes.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time for which sent bytes or probes may stay unacknowledged before the path counts as dead.
///
/// The system then closes the connection, whatever the other end does. With a probe a
/// second it tolerates the loss of one, as [`KEEPALIVE_PROBES`] does.
const UNACKNOWLEDGED_MAX: Duration = Duration::from_millis(2_500);

/// Idle time before the first keepalive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);

/// Time between two keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered probes after which the path counts as dead.
///
/// Some systems go by this number, others by [`UNACKNOWLEDGED_MAX`].
const KEEPALIVE_PROBES: u32 = 2;

/// Connects with `TCP_NODELAY` and timeouts on a dead path.
///
/// # Errors
///
/// The address refuses connections or does not answer within `connect_timeout`, or
/// the system refuses the socket options.
pub async fn connect(address: SocketAddr, connect_timeout: Duration) -> io::Result<TcpStream> {
    let stream = timeout(connect_timeout, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    set_path_timeouts(&stream)?;
    Ok(stream)
}

/// Makes the system close a connection whose path is dead.
///
/// # Errors
///
/// The system refuses the socket options.
pub fn set_path_timeouts(stream: &TcpStream) -> io::Result<()> {
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_MAX))
}
