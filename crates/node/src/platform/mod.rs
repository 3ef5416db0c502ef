//! Reading and watching of the platform's published values.

mod http;
mod watch;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use briarbank_core::conf::Key;
use briarbank_core::ids::Revision;
use futures_util::future::BoxFuture;
use quick_error::quick_error;

pub use http::HttpPlatform;
pub(crate) use watch::watch;

/// One revision of a published value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublishedValue {
    /// Revision of the value.
    pub revision: Revision,
    /// Encoded document.
    pub bytes: Arc<[u8]>,
}

/// Query for one published value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ValueQuery {
    /// Key of the value.
    pub key: Key,
    /// Revision that the answer must be newer than.
    pub after: Revision,
    /// Longest time the platform waits for a newer revision.
    pub wait: Duration,
}

/// Source of published values.
pub trait Platform: Send + Sync + std::fmt::Debug {
    /// Returns the number of replicas.
    fn replicas(&self) -> usize;

    /// Reads a value from one replica; `None` when it has no newer revision.
    fn read(
        &self,
        replica: usize,
        query: ValueQuery,
    ) -> BoxFuture<'_, Result<Option<PublishedValue>, Error>>;
}

quick_error! {
    /// Error while reading a published value.
    #[derive(Debug)]
    pub enum Error {
        /// Connecting to the replica failed.
        Connect(address: SocketAddr, error: std::io::Error) {
            source(error)
            display("connecting to platform {address} failed: {error}")
        }
        /// The HTTP exchange failed.
        Http(address: SocketAddr, error: hyper::Error) {
            source(error)
            display("HTTP exchange with platform {address} failed: {error}")
        }
        /// The replica answered with an error status.
        Status(address: SocketAddr, status: u16) {
            display("platform {address} answered with status {status}")
        }
        /// The answer has no valid revision.
        NoRevision(address: SocketAddr) {
            display("platform {address} answered without a revision")
        }
        /// The document exceeds the size limit.
        TooLarge(address: SocketAddr) {
            display("platform {address} answered with a document over the size limit")
        }
        /// The replica did not answer within the timeout.
        Timeout(address: SocketAddr) {
            display("platform {address} did not answer in time")
        }
        /// The replica does not exist.
        NoReplica(replica: usize) {
            display("platform has no replica {replica}")
        }
    }
}
