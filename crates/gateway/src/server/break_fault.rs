//! What the end of a connection says of its server.

use std::error::Error;
use std::io;

use briarbank_core::flow::Fault;

/// Returns the fault of a server whose connection ended before the answer was complete.
///
/// A path that is dead says nothing of the server, and one that sends wrong bytes runs.
pub(crate) fn break_fault(error: &hyper::Error) -> Fault {
    if error.is_parse() {
        return Fault::Malformed;
    }
    let mut source = error.source();
    while let Some(error) = source {
        if let Some(error) = error.downcast_ref::<io::Error>() {
            return io_fault(error.kind());
        }
        source = error.source();
    }
    Fault::Broken
}

fn io_fault(kind: io::ErrorKind) -> Fault {
    use io::ErrorKind::{HostUnreachable, InvalidData, NetworkUnreachable, TimedOut};
    match kind {
        TimedOut | HostUnreachable | NetworkUnreachable => Fault::Silent,
        InvalidData => Fault::Malformed,
        _ => Fault::Broken,
    }
}
