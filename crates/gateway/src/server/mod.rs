//! Connections to servers.

mod connection;
mod pool;

pub(crate) use connection::Connection;
pub(crate) use pool::{Pool, SendError, Sent};
