//! Errors of the load tool.

use std::net::SocketAddr;

use briarbank_config::Error as ConfigError;
use quick_error::quick_error;

use crate::http::ClientError;

quick_error! {
    /// Why a load can't be run or its result can't be read.
    #[derive(Debug)]
    #[non_exhaustive]
    pub enum LoadError {
        /// The plan is not valid; names each fault.
        Plan(source: ConfigError) {
            source(source)
            from()
            display("load plan: {source}")
        }
        /// A stand-in's counters can't be read.
        Counters(address: SocketAddr, source: ClientError) {
            source(source)
            display("counters of {address} can't be read: {source}")
        }
        /// Counters or results are not of the expected form.
        Json(source: serde_json::Error) {
            source(source)
            from()
            display("unexpected JSON: {source}")
        }
        /// A histogram can't be made with these bounds.
        Histogram(source: hdrhistogram::CreationError) {
            source(source)
            from()
            display("histogram: {source}")
        }
    }
}
