//! TCP sockets with timeouts on dead paths, for all daemons.

mod accept;
mod connect;
mod drain;

pub use accept::accept;
pub use connect::{connect, set_path_timeouts};
pub use drain::drain;
