//! HTTP/1.1 server that can be made to fail.

mod body;
mod client;
mod line;
mod server;

pub(crate) use body::{Body, full, json, read, status};
pub use client::{Answer, Client, ClientError};
pub(crate) use line::{Line, Port};
pub use server::StandinHandle;
pub(crate) use server::{Endpoint, Reply, start};
