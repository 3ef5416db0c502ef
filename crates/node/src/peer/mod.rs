//! Communication with other nodes: core messages and forwarded calls.

mod forward;
mod key;
mod link;
mod links;
mod port;
mod reply;
mod window;

pub(crate) use forward::{ForwardError, ForwardedAnswer, forward};
pub(crate) use key::SharedKey;
pub(crate) use links::{Links, Reports};
pub(crate) use port::PeerPort;

/// Path of core messages.
const MESSAGES_PATH: &str = "/messages";

/// Path of forwarded calls.
const CALLS_PATH: &str = "/calls";
