//! Accepts connections.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Backoff after a failed accept, for instance when no descriptors are left.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Accepts the next connection; failures are logged and retried.
pub async fn accept(listener: &TcpListener) -> (TcpStream, SocketAddr) {
    loop {
        match listener.accept().await {
            Ok(accepted) => return accepted,
            Err(error) => {
                tracing::warn!(%error, "port: accepting a connection failed");
                sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}
