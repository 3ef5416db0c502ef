//! Errors of the stand-ins.

use std::net::SocketAddr;
use std::sync::Arc;

use quick_error::quick_error;

quick_error! {
    /// Why a stand-in can't start or a request to it fails.
    #[derive(Debug)]
    #[non_exhaustive]
    pub enum Error {
        /// The address can't be bound.
        Bind(address: SocketAddr, source: std::io::Error) {
            source(source)
            display("can't listen on {address}: {source}; choose a free address")
        }
        /// A request body is not valid JSON of the expected form.
        InvalidJson(source: serde_json::Error) {
            source(source)
            from()
            display("control request: {source}")
        }
        /// A request's body can't be read.
        Body(reason: Arc<str>) {
            display("body can't be read: {reason}")
        }
        /// A failure switch cut the connection.
        Cut {
            display("connection cut by a failure switch")
        }
    }
}
