//! Errors of encoding and decoding messages.

use quick_error::quick_error;

quick_error! {
    /// Error of encoding or decoding a message.
    #[derive(Debug)]
    pub enum Error {
        /// The sender uses a version that this node does not support.
        UnknownVersion(found: u8) {
            display("message has version {found}, but this node supports version {}; update the older node", crate::VERSION)
        }
        /// The message exceeds [`MESSAGE_BYTES_MAX`](crate::MESSAGE_BYTES_MAX).
        TooLarge(size_bytes: usize) {
            display("message of {size_bytes} bytes exceeds the limit of {} bytes", crate::MESSAGE_BYTES_MAX)
        }
        /// The message lacks even a version byte.
        Empty {
            display("message is empty")
        }
        /// Bytes follow the message.
        Trailing(count: usize) {
            display("{count} bytes follow the message")
        }
        /// The message cannot be encoded.
        Encode(error: bincode::error::EncodeError) {
            source(error)
            display("message cannot be encoded: {error}")
        }
        /// The bytes are not a message of the expected type.
        Decode(error: bincode::error::DecodeError) {
            source(error)
            display("message cannot be decoded: {error}")
        }
    }
}
