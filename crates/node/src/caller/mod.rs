//! The port for callers.

mod body;
mod headers;
mod http;
mod model;
mod port;
mod response;

pub(crate) use port::CallerPort;
