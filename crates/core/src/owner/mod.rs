//! Which node may run a request that may not be repeated.

mod message;
mod state;

pub use message::Message;
pub use state::{Begin, Options, Owner, Place};
