//! Connections to servers.

mod connection;
mod head_limit;
mod pool;

pub(crate) use connection::Connection;
pub(crate) use pool::{Pool, SendError, Sent};
