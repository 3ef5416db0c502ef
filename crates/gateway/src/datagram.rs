//! Datagrams to other nodes.

use std::net::{SocketAddr, SocketAddrV4};

use serde::Serialize;
use tokio::net::UdpSocket;

use crate::codec;
use crate::shared::SharedState;

/// Sends a message after the prefix of its kind; it may be lost.
pub(crate) fn send<M: Serialize>(
    shared: &SharedState,
    target: SocketAddrV4,
    prefix: &[u8],
    message: &M,
) {
    send_with::<M, ()>(shared, target, prefix, message, &[]);
}

/// Sends a message and a list that older nodes ignore, as [`send`] does.
pub(crate) fn send_with<M: Serialize, T: Serialize>(
    shared: &SharedState,
    target: SocketAddrV4,
    prefix: &[u8],
    message: &M,
    appended: &[T],
) {
    let Some(socket) = shared.socket.get() else {
        return;
    };
    let encoded = match codec::encode(message, appended) {
        Ok(encoded) => encoded,
        Err(error) => {
            tracing::warn!(%error, "peer: encoding a message failed");
            return;
        }
    };
    let bytes = [prefix, &encoded].concat();
    if let Err(error) = UdpSocket::try_send_to(socket, &bytes, SocketAddr::V4(target)) {
        tracing::debug!(%error, %target, "peer: sending a message failed");
    }
}
