//! Encoding of messages between nodes of different versions.
//!
//! Newer versions append a list to a message, which older ones ignore.

use bincode::config::standard;
use bincode::error::{DecodeError, EncodeError};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Encodes a message and the list that belongs to it; an empty one is left out.
pub(crate) fn encode<M: Serialize, T: Serialize>(
    message: &M,
    appended: &[T],
) -> Result<Vec<u8>, EncodeError> {
    let mut bytes = bincode::serde::encode_to_vec(message, standard())?;
    if !appended.is_empty() {
        bincode::serde::encode_into_std_write(appended, &mut bytes, standard())?;
    }
    Ok(bytes)
}

/// Decodes a message and the list that belongs to it.
pub(crate) fn decode<M: DeserializeOwned, T: DeserializeOwned>(
    bytes: &[u8],
) -> Result<(M, Vec<T>), DecodeError> {
    let (message, length) = bincode::serde::decode_from_slice(bytes, standard())?;
    let appended = match bytes.get(length..) {
        Some(rest) if !rest.is_empty() => bincode::serde::decode_from_slice(rest, standard())?.0,
        _ => Vec::new(),
    };
    Ok((message, appended))
}
