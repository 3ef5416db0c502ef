//! Accepting connections.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Pause after a failed accept, as when no descriptors are left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The next connection; failures are logged and waited out.
pub async fn accept(listener: &TcpListener) -> (TcpStream, SocketAddr) {
    loop {
        match listener.accept().await {
            Ok(accepted) => return accepted,
            Err(error) => {
                tracing::warn!(%error, "port: accept failed");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
