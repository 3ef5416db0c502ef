//! Errors of the stand-ins.

use std::net::SocketAddr;
use std::sync::Arc;

use quick_error::quick_error;

quick_error! {
    /// Error of starting a stand-in or of handling a request.
    #[derive(Debug)]
    #[non_exhaustive]
    pub enum Error {
        /// Binding the address failed.
        Bind(address: SocketAddr, source: std::io::Error) {
            source(source)
            display("cannot listen on {address}: {source}; choose a free address")
        }
        /// A request body is not valid JSON of the expected form.
        InvalidJson(source: serde_json::Error) {
            source(source)
            from()
            display("invalid JSON in the request body: {source}")
        }
        /// Reading a request body failed.
        Body(reason: Arc<str>) {
            display("reading the request body failed: {reason}")
        }
        /// A failure switch closed the connection.
        Cut {
            display("connection closed by a failure switch")
        }
    }
}
