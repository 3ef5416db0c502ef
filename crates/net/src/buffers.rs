//! What the system holds for the sockets of callers.

use std::io;

use briarbank_core::machine::RECEIVE_BUFFER_BYTES;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};

/// Send buffer of a caller's socket; what does not fit waits in the node, where it counts.
const SEND_BUFFER_BYTES: usize = 64 << 10;

/// Receive buffer of a socket to a server; the system may hold twice as much.
pub(crate) const SERVER_BUFFER_BYTES: usize = 32 << 10;

/// Bounds what the system receives of a server while its answer is not read.
///
/// # Errors
///
/// The system refuses the socket option.
pub fn limit_server_buffer(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_recv_buffer_size(SERVER_BUFFER_BYTES)
}

/// Bounds the buffers of all sockets that a listener accepts.
///
/// Without bounds the system holds megabytes for a connection that the node does not read,
/// as one whose call is in flight.
///
/// # Errors
///
/// The system refuses the socket options.
pub fn limit_buffers(listener: &TcpListener) -> io::Result<()> {
    let socket = SockRef::from(listener);
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)
}
