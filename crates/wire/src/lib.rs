//! Messages between nodes and their encoding.
//!
//! Every message starts with a version byte, followed by its `bincode` encoding.
//! Decoding untrusted bytes returns a message or a typed error, within a
//! size limit.

mod call;
mod codec;
mod error;
mod frame;

pub use call::{CallHead, ReplyHead};
pub use codec::{MESSAGE_BYTES_MAX, VERSION, decode, encode};
pub use error::Error;
pub use frame::FrameReader;
