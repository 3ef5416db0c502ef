//! HTTP/1.1 client, and a server with fault injection.

mod body;
mod client;
mod connection;
mod server;

pub(crate) use body::{Body, full, json, read_body, status};
pub use client::{Answer, Client, ClientError};
pub(crate) use connection::{Connection, Port};
pub use server::StandinHandle;
pub(crate) use server::{Endpoint, Reply, start};
