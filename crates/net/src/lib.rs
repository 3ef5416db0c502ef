//! TCP sockets and transfers with timeouts on dead paths, for all daemons.

mod accept;
mod body;
mod connect;
mod drain;

pub use accept::accept;
pub use body::{BodyError, read_body};
pub use connect::{connect, set_path_timeouts};
pub use drain::drain;
