//! The platform's published values: reading and watching.

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
    /// Its revision.
    pub revision: Revision,
    /// Its document.
    pub bytes: Arc<[u8]>,
}

/// One read of a published value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ValueQuery {
    /// Which value.
    pub key: Key,
    /// Only a newer revision than this one is asked for.
    pub after: Revision,
    /// How long the platform may wait for a newer revision.
    pub wait: Duration,
}

/// Source of the published values.
pub trait Platform: Send + Sync + std::fmt::Debug {
    /// Number of replicas that can be asked.
    fn replicas(&self) -> usize;

    /// Reads a value from one replica; `None` when it has nothing newer.
    fn read(
        &self,
        replica: usize,
        query: ValueQuery,
    ) -> BoxFuture<'_, Result<Option<PublishedValue>, Error>>;
}

quick_error! {
    /// Why a value can't be read.
    #[derive(Debug)]
    pub enum Error {
        /// The replica can't be reached.
        Connect(address: SocketAddr, error: std::io::Error) {
            source(error)
            display("platform {address} can't be reached: {error}")
        }
        /// The connection failed.
        Http(address: SocketAddr, error: hyper::Error) {
            source(error)
            display("platform {address} broke off: {error}")
        }
        /// The replica refused.
        Status(address: SocketAddr, status: u16) {
            display("platform {address} answered {status}")
        }
        /// The answer names no revision.
        NoRevision(address: SocketAddr) {
            display("platform {address} answered without a revision")
        }
        /// The document is larger than any may be.
        TooLarge(address: SocketAddr) {
            display("platform {address} answered with a document that is too large")
        }
        /// No answer within the bound.
        Timeout(address: SocketAddr) {
            display("platform {address} did not answer in time")
        }
        /// There is no such replica.
        NoReplica(replica: usize) {
            display("platform has no replica {replica}")
        }
    }
}
