//! Connections to servers.

mod break_fault;
mod connection;
mod dial;
mod pool;
mod request_body;

pub(crate) use break_fault::break_fault;
pub(crate) use connection::Connection;
pub(crate) use dial::{Dial, ServerStream};
pub(crate) use pool::{Pool, SendError, Sent};
pub(crate) use request_body::RequestBody;
