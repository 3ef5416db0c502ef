//! Errors of the load tool.

use std::net::SocketAddr;

use briarbank_config::Error as ConfigError;
use quick_error::quick_error;

use crate::http::ClientError;

quick_error! {
    /// An error that prevents a load from running or its result from being read.
    #[derive(Debug)]
    #[non_exhaustive]
    pub enum LoadError {
        /// The plan is not valid; lists each fault.
        Plan(source: ConfigError) {
            source(source)
            from()
            display("load plan: {source}")
        }
        /// Reading the counters of a stand-in failed.
        Counters(address: SocketAddr, source: ClientError) {
            source(source)
            display("reading the counters of {address} failed: {source}")
        }
        /// The counters of a stand-in are not valid JSON of the expected form.
        Json(source: serde_json::Error) {
            source(source)
            from()
            display("counters are not JSON of the expected form: {source}")
        }
        /// Creating a histogram with the given bounds failed.
        Histogram(source: hdrhistogram::CreationError) {
            source(source)
            from()
            display("creating a histogram failed: {source}")
        }
    }
}
