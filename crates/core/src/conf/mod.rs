//! Published values: adoption and spread between nodes.
//!
//! The platform is the only writer, so that a revision is a number. A value
//! is adopted only when its revision is higher than the adopted one and it
//! decodes; nothing brings an older one back.

mod log;
mod message;

pub use log::{Adopted, Documents, Log, Refused};
pub use message::{Key, Message};
