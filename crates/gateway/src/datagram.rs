//! Datagrams to other nodes.

use std::net::{SocketAddr, SocketAddrV4};

use bincode::error::EncodeError;
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
    send_encoded(shared, target, prefix, codec::encode(message, appended));
}

/// Sends a message and two lists that older nodes ignore, as [`send`] does.
pub(crate) fn send_with_two<M: Serialize, T: Serialize, U: Serialize>(
    shared: &SharedState,
    target: SocketAddrV4,
    prefix: &[u8],
    message: &M,
    appended: (&[T], &[U]),
) {
    let encoded = codec::encode_with_two(message, appended);
    send_encoded(shared, target, prefix, encoded);
}

fn send_encoded(
    shared: &SharedState,
    target: SocketAddrV4,
    prefix: &[u8],
    encoded: Result<Vec<u8>, EncodeError>,
) {
    let Some(socket) = shared.socket.get() else {
        return;
    };
    let encoded = match encoded {
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
