//! Connections to servers through another node, for nodes whose own paths are broken.
//!
//! The node that has the call keeps all decisions: it chooses the server, retries, and
//! checks the answer. The other one, the relay, only opens a connection to a server that it
//! lists itself and passes bytes on, so that a connection never leads through two relays.
//! Each relayed connection is an `h2` stream on a connection of its own, whose end tells
//! whether the server closed it or the relay was lost.

mod open;
mod serve;
mod stream;

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC};
use quick_error::quick_error;

pub(crate) use open::open;
pub(crate) use serve::serve;
pub(crate) use stream::RelayedStream;

/// Start of the path of a request to relay; the server's name follows.
pub(crate) const PATH_PREFIX: &str = "/relay/";

/// Characters of servers' names that are percent-encoded in paths.
///
/// The usual names stay as they are, as earlier builds send and expect them.
const NAME_ESCAPED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

quick_error! {
    /// Error of a relayed connection before its first byte.
    #[derive(Debug)]
    enum RelayError {
        Connect(error: std::io::Error) { display("connecting to the relay failed: {error}") from() }
        Stream(error: h2::Error) { display("stream to the relay broke: {error}") from() }
        Http(error: http::Error) { display("building the request failed: {error}") from() }
        Refused(status: http::StatusCode) { display("relay refused with status {status}") }
        Unreachable { display("relay does not reach the server either") }
        Silent { display("relay did not answer in time") }
    }
}
