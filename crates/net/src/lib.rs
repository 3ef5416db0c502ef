//! TCP sockets with timeouts on dead paths, for all daemons.

mod accept;
mod connect;

pub use accept::accept;
pub use connect::{connect, set_path_timeouts};
