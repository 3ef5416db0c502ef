//! Versioned encoding of messages.

use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Error;

/// Version of the encoding; the first byte of every message.
pub const VERSION: u8 = 1;

/// Size limit of an encoded message; published values have up to 1 MiB.
pub const MESSAGE_BYTES_MAX: usize = 2 << 20;

const CONFIG: Configuration<LittleEndian, Varint, Limit<MESSAGE_BYTES_MAX>> =
    bincode::config::standard().with_limit::<MESSAGE_BYTES_MAX>();

/// Encodes a message behind a version byte.
///
/// # Errors
///
/// Returns [`Error::TooLarge`] or [`Error::Encode`].
///
/// # Examples
///
/// ```
/// let bytes = briarbank_wire::encode(&7_u32)?;
/// assert_eq!(briarbank_wire::decode::<u32>(&bytes)?, 7);
/// # Ok::<(), briarbank_wire::Error>(())
/// ```
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, Error> {
    let mut bytes = vec![VERSION];
    bincode::serde::encode_into_std_write(message, &mut bytes, CONFIG).map_err(Error::Encode)?;
    if bytes.len() > MESSAGE_BYTES_MAX {
        return Err(Error::TooLarge(bytes.len()));
    }
    Ok(bytes)
}

/// Decodes a message that [`encode`] returned.
///
/// # Errors
///
/// Returns any [`Error`] except [`Error::Encode`].
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    if bytes.len() > MESSAGE_BYTES_MAX {
        return Err(Error::TooLarge(bytes.len()));
    }
    let (version, rest) = bytes.split_first().ok_or(Error::Empty)?;
    if *version != VERSION {
        return Err(Error::UnknownVersion(*version));
    }
    let (message, used) = bincode::serde::decode_from_slice(rest, CONFIG).map_err(Error::Decode)?;
    if used < rest.len() {
        return Err(Error::Trailing(rest.len() - used));
    }
    Ok(message)
}
