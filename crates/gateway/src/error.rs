//! Errors of the daemon.

use std::io;
use std::net::SocketAddr;

use briarbank_core::flow::{ENTRY_BYTES_MAX, ENTRY_KEY_BYTES_MAX};
use quick_error::quick_error;

quick_error! {
    /// Error that ends the daemon.
    #[derive(Debug)]
    pub enum Error {
        /// A port cannot be opened.
        Bind(port: &'static str, address: SocketAddr, error: io::Error) {
            source(error)
            display("{port} port {address} cannot be opened: {error}")
        }
    }
}

quick_error! {
    /// Invalid head of a call.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum HeadError {
        /// The call has no id.
        NoRequestId {
            display("request id is missing")
        }
        /// The id is invalid.
        RequestId {
            display("request id is empty, too long, repeated or not ASCII")
        }
        /// The time limit is invalid.
        Deadline {
            display("time limit is not a number of milliseconds in range")
        }
        /// The description of the prompt is invalid.
        Prompt {
            display("token counts or parts of the prompt are malformed")
        }
    }
}

quick_error! {
    /// Error of a reload of the settings.
    #[derive(Debug)]
    pub enum LoadError {
        /// Error of the settings source.
        Source(error: Box<dyn std::error::Error>) {
            display("{error}")
        }
    }
}

quick_error! {
    /// Error of decoding bytes from the store.
    #[derive(Debug)]
    pub enum DecodeError {
        /// An entry is larger than any server's.
        EntryTooLarge {
            display("entry is larger than {ENTRY_BYTES_MAX} bytes, or its key than {ENTRY_KEY_BYTES_MAX}")
        }
        /// Error of the dialect.
        Dialect(error: Box<dyn std::error::Error>) {
            display("{error}")
        }
    }
}
