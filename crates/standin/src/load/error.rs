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
        /// The plan isn't valid JSON with comments of the expected form.
        Plan(source: ConfigError) {
            source(source)
            from()
            display("load plan: {source}")
        }
        /// A field of the plan is outside its bounds.
        Bounds(field: &'static str, allowed: &'static str) {
            display("load plan: field {field} must be {allowed}")
        }
        /// An address is not on the loopback interface.
        NotLoopback(address: SocketAddr) {
            display("load plan: {address} is not a loopback address; load goes nowhere else")
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
