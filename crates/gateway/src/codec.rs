//! Encoding of messages between nodes of different versions.
//!
//! Newer versions append a list to a message, which older ones ignore.

use bincode::config::{Configuration, Limit, LittleEndian, Varint, standard};
use bincode::error::{DecodeError, EncodeError};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Most memory that a message may claim, in bytes; values take up to 16 MiB.
///
/// Without a bound a message of a few bytes can claim more memory than there is.
const CLAIM_BYTES_MAX: usize = 32 << 20;

/// Returns the format of all messages, with the bound for decoding.
const fn bounded() -> Configuration<LittleEndian, Varint, Limit<CLAIM_BYTES_MAX>> {
    standard().with_limit::<CLAIM_BYTES_MAX>()
}

/// Decodes a message without a list.
pub(crate) fn decode_message<M: DeserializeOwned>(bytes: &[u8]) -> Result<M, DecodeError> {
    Ok(bincode::serde::decode_from_slice(bytes, bounded())?.0)
}

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
    let (message, length) = bincode::serde::decode_from_slice(bytes, bounded())?;
    let appended = match bytes.get(length..) {
        Some(rest) if !rest.is_empty() => bincode::serde::decode_from_slice(rest, bounded())?.0,
        _ => Vec::new(),
    };
    Ok((message, appended))
}
