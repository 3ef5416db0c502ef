//! Encoding of messages between nodes of different versions.
//!
//! Newer versions append a list to a message, which older ones ignore.

use bincode::config::{Configuration, Limit, LittleEndian, Varint, standard};
use bincode::error::{DecodeError, EncodeError};
use briarbank_core::flow::{
    BrittleStatement, Heartbeat, LimitStatement, PartStatement, PathStatement, StalenessStatement,
    ValuesStatement,
};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

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

/// Encodes a message without a list.
pub(crate) fn encode_message<M: Serialize>(message: &M) -> Result<Vec<u8>, EncodeError> {
    bincode::serde::encode_to_vec(message, standard())
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

/// Encodes a message and two lists that belong to it; empty ones at the end are left out.
pub(crate) fn encode_with_two<M: Serialize, T: Serialize, U: Serialize>(
    message: &M,
    (first, second): (&[T], &[U]),
) -> Result<Vec<u8>, EncodeError> {
    if second.is_empty() {
        return encode(message, first);
    }
    let mut bytes = encode_message(message)?;
    bincode::serde::encode_into_std_write((first, second), &mut bytes, standard())?;
    Ok(bytes)
}

/// Lists that newer versions append to a heartbeat.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Appended {
    pub(crate) limits: Vec<LimitStatement>,
    pub(crate) parts: Vec<PartStatement>,
    /// What the sender says of its values, once.
    pub(crate) values: Vec<ValuesStatement>,
    /// What the sender says of the age of its values, once.
    pub(crate) staleness: Vec<StalenessStatement>,
    /// What the sender says of its paths to servers, once.
    pub(crate) paths: Vec<PathStatement>,
    pub(crate) brittle: Vec<BrittleStatement>,
    /// What the sender's build does, once.
    pub(crate) builds: Vec<BuildStatement>,
}

/// What a build does that others rely on.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub(crate) struct BuildStatement {
    /// Whether new streams begin at the version of their key, or all nodes are told.
    pub(crate) has_keyed_streams: bool,
}

/// Encodes a heartbeat with what is appended to it.
pub(crate) fn encode_heartbeat(
    heartbeat: &Heartbeat,
    appended: &Appended,
) -> Result<Vec<u8>, EncodeError> {
    let mut bytes = encode_message(heartbeat)?;
    bincode::serde::encode_into_std_write(appended, &mut bytes, standard())?;
    Ok(bytes)
}

/// Decodes a message and the list that belongs to it.
pub(crate) fn decode<M: DeserializeOwned, T: DeserializeOwned>(
    bytes: &[u8],
) -> Result<(M, Vec<T>), DecodeError> {
    let (message, length) = bincode::serde::decode_from_slice(bytes, bounded())?;
    let (appended, _) = decode_list(bytes.get(length..).unwrap_or_default())?;
    Ok((message, appended))
}

/// Decodes a message and two lists that belong to it, which may be missing.
pub(crate) fn decode_with_two<M, T, U>(bytes: &[u8]) -> Result<(M, Vec<T>, Vec<U>), DecodeError>
where
    M: DeserializeOwned,
    T: DeserializeOwned,
    U: DeserializeOwned,
{
    let (message, length) = bincode::serde::decode_from_slice(bytes, bounded())?;
    let rest = bytes.get(length..).unwrap_or_default();
    let (first, length) = decode_list(rest)?;
    let (second, _) = decode_list(rest.get(length..).unwrap_or_default())?;
    Ok((message, first, second))
}

/// Decodes a heartbeat; lists that its sender did not know are empty.
pub(crate) fn decode_heartbeat(bytes: &[u8]) -> Result<(Heartbeat, Appended), DecodeError> {
    let (heartbeat, length) = bincode::serde::decode_from_slice(bytes, bounded())?;
    let rest = bytes.get(length..).unwrap_or_default();
    let (limits, length) = decode_list(rest)?;
    let rest = rest.get(length..).unwrap_or_default();
    let (parts, length) = decode_list(rest)?;
    let rest = rest.get(length..).unwrap_or_default();
    let (values, length) = decode_list(rest)?;
    let rest = rest.get(length..).unwrap_or_default();
    let (staleness, length) = decode_list(rest)?;
    let rest = rest.get(length..).unwrap_or_default();
    let (paths, length) = decode_list(rest)?;
    let rest = rest.get(length..).unwrap_or_default();
    let (brittle, length) = decode_list(rest)?;
    let (builds, _) = decode_list(rest.get(length..).unwrap_or_default())?;
    let appended = Appended {
        limits,
        parts,
        values,
        staleness,
        paths,
        brittle,
        builds,
    };
    Ok((heartbeat, appended))
}

/// Decodes a list that may be missing; returns its length in bytes as well.
fn decode_list<T: DeserializeOwned>(bytes: &[u8]) -> Result<(Vec<T>, usize), DecodeError> {
    if bytes.is_empty() {
        return Ok((Vec::new(), 0));
    }
    bincode::serde::decode_from_slice(bytes, bounded())
}
