//! TCP sockets with bounds on silent paths, for all daemons.

mod accept;
mod connect;

pub use accept::accept;
pub use connect::{connect, set_path_timeouts};
