//! Datagrams to other nodes.

use std::net::{SocketAddr, SocketAddrV4};

use serde::Serialize;
use tokio::net::UdpSocket;

use crate::shared::SharedState;

/// Sends a message after the prefix of its kind; it may be lost.
pub(crate) fn send<M: Serialize>(
    shared: &SharedState,
    target: SocketAddrV4,
    prefix: &[u8],
    message: &M,
) {
    let Some(socket) = shared.socket.get() else {
        return;
    };
    let mut bytes = prefix.to_vec();
    if let Err(error) =
        bincode::serde::encode_into_std_write(message, &mut bytes, bincode::config::standard())
    {
        tracing::warn!(%error, "peer: encoding a message failed");
        return;
    }
    if let Err(error) = UdpSocket::try_send_to(socket, &bytes, SocketAddr::V4(target)) {
        tracing::debug!(%error, %target, "peer: sending a message failed");
    }
}
