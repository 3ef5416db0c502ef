//! Caller port: HTTP API for callers.

mod body;
mod headers;
mod http;
mod model;
mod port;
mod response;

pub use headers::{CallerHeaders, Error as HeaderError};
pub use model::ModelCall;
pub(crate) use port::CallerPort;
