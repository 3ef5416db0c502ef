//! Closes a listener without loss of connections.

use std::time::Duration;

use socket2::{SockFilter, SockRef};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Time for handshakes in progress to complete: several round trips.
const HANDSHAKE_GRACE: Duration = Duration::from_millis(200);

/// Classic BPF program that drops TCP segments with SYN and without ACK.
///
/// It sees a segment from its TCP header on.
const DROP_SYN: [SockFilter; 5] = [
    // Load the flags, byte 13 of the header.
    SockFilter::new(0x30, 0, 0, 13),
    // Keep SYN (0x02) and ACK (0x10).
    SockFilter::new(0x54, 0, 0, 0x12),
    // Skip one instruction unless only SYN is set.
    SockFilter::new(0x15, 0, 1, 0x02),
    // Drop the segment.
    SockFilter::new(0x06, 0, 0, 0),
    // Accept the whole segment.
    SockFilter::new(0x06, 0, 0, u32::MAX),
];

/// Stops new connections to a listener, and passes on those that are already open.
///
/// The kernel completes handshakes before the process accepts, and closing a listener
/// resets the connections in its queue, with any request that was sent on them.
/// Therefore new handshakes are blocked first, and the queue is emptied after the last
/// one in progress. A client that connects meanwhile is refused when it sends its SYN
/// again, after the caller has dropped the listener.
pub async fn drain(listener: &TcpListener, mut serve: impl FnMut(TcpStream)) {
    if let Err(error) = SockRef::from(listener).attach_filter(&DROP_SYN) {
        tracing::warn!(%error, "port: blocking new connections failed");
    }
    let accept_all = async {
        loop {
            let (stream, _) = crate::accept(listener).await;
            serve(stream);
        }
    };
    // The loop has no other end.
    let _ = timeout(HANDSHAKE_GRACE, accept_all).await;
}
