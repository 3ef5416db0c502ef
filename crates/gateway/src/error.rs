//! Errors of the daemon.

use std::io;
use std::net::SocketAddr;

use quick_error::quick_error;

quick_error! {
    /// Why the daemon can't run.
    #[derive(Debug)]
    pub enum Error {
        /// A port can't be opened.
        Bind(port: &'static str, address: SocketAddr, error: io::Error) {
            source(error)
            display("{port} port {address} can't be opened: {error}")
        }
    }
}

quick_error! {
    /// Why the head of a call is refused.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum HeadError {
        /// The call has no id.
        NoRequestId {
            display("the call has no request id")
        }
        /// The id can't be used.
        RequestId {
            display("the request id is empty, too long, repeated or not ASCII")
        }
        /// The time limit can't be used.
        Deadline {
            display("the time limit is not a number of milliseconds")
        }
        /// The description of the prompt can't be used.
        Prompt {
            display("the token counts or the parts of the prompt are malformed")
        }
    }
}

quick_error! {
    /// Why settings can't be read anew.
    #[derive(Debug)]
    pub enum LoadError {
        /// The source's own error.
        Source(error: Box<dyn std::error::Error>) {
            display("{error}")
        }
    }
}

quick_error! {
    /// Why bytes from the store can't be used.
    #[derive(Debug)]
    pub enum DecodeError {
        /// The dialect's own error.
        Dialect(error: Box<dyn std::error::Error>) {
            display("{error}")
        }
    }
}
