//! Why bytes of another node are no message.

use quick_error::quick_error;

quick_error! {
    /// Why bytes of another node are no message.
    #[derive(Debug)]
    pub enum Error {
        /// The sender speaks a version that this node doesn't know.
        UnknownVersion(found: u8) {
            display("message has version {found}, this node speaks {}; update the older node", crate::VERSION)
        }
        /// The message is larger than any message may be.
        TooLarge(size_bytes: usize) {
            display("message of {size_bytes} bytes is larger than {}", crate::MESSAGE_BYTES_MAX)
        }
        /// Nothing was sent.
        Empty {
            display("message is empty")
        }
        /// Bytes follow the message.
        Trailing(count: usize) {
            display("{count} bytes follow the message")
        }
        /// The message can't be encoded.
        Encode(error: bincode::error::EncodeError) {
            source(error)
            display("message can't be encoded: {error}")
        }
        /// The bytes are no message of this version.
        Decode(error: bincode::error::DecodeError) {
            source(error)
            display("message can't be decoded: {error}")
        }
    }
}
