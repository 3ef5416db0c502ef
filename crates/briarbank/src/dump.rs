//! Commands that query and control running processes.

use std::io::Write;

use bytes::Bytes;
use http::Method;

use crate::Error;
use crate::operator::OperatorPort;
use crate::run::runtime;
use crate::table::render_tables;

/// Kind of a running process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessKind {
    /// Router node.
    Node,
    /// Stand-in for an external system.
    Standin,
}

/// Prints the state of a process, as tables or as the received JSON.
///
/// # Errors
///
/// A process that can't be reached or returns no valid dump.
pub fn dump(
    operator: &OperatorPort,
    process: ProcessKind,
    json: bool,
    out: &mut dyn Write,
) -> Result<(), Error> {
    let path = match process {
        ProcessKind::Node => "/dump",
        ProcessKind::Standin => "/control/state",
    };
    let body = runtime()?.block_on(operator.call(Method::GET, path, Bytes::new()))?;
    if json {
        out.write_all(&body)?;
        writeln!(out)?;
        return Ok(());
    }
    let value =
        serde_json::from_slice(&body).map_err(|e| Error::InvalidJson(operator.address, e))?;
    write!(out, "{}", render_tables(&value))?;
    Ok(())
}

/// Starts the graceful shutdown of a node.
///
/// # Errors
///
/// A node that can't be reached or refuses the request.
pub fn drain(operator: &OperatorPort, out: &mut dyn Write) -> Result<(), Error> {
    runtime()?.block_on(operator.call(Method::POST, "/drain", Bytes::new()))?;
    writeln!(out, "{}: planned stop begins", operator.address)?;
    Ok(())
}
