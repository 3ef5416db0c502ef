//! State of running processes, and orders to them.

use std::io::Write;

use bytes::Bytes;
use http::Method;

use crate::Error;
use crate::operator::Operator;
use crate::run::runtime;
use crate::table::render;

/// Kind of the process that is asked for its state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Process {
    /// Router node.
    Node,
    /// Stand-in of an outside system.
    Standin,
}

/// Prints the state of a process, as tables or as the JSON that came.
///
/// # Errors
///
/// A process that can't be reached or gives no valid dump.
pub fn dump(
    operator: &Operator,
    process: Process,
    json: bool,
    out: &mut dyn Write,
) -> Result<(), Error> {
    let path = match process {
        Process::Node => "/dump",
        Process::Standin => "/control/state",
    };
    let body = runtime()?.block_on(operator.call(Method::GET, path, Bytes::new()))?;
    if json {
        out.write_all(&body)?;
        writeln!(out)?;
        return Ok(());
    }
    let value = serde_json::from_slice(&body).map_err(|e| Error::Json(operator.address, e))?;
    write!(out, "{}", render(&value))?;
    Ok(())
}

/// Tells a node to stop as planned.
///
/// # Errors
///
/// A node that can't be reached or refuses.
pub fn drain(operator: &Operator, out: &mut dyn Write) -> Result<(), Error> {
    runtime()?.block_on(operator.call(Method::POST, "/drain", Bytes::new()))?;
    writeln!(out, "{}: planned stop begins", operator.address)?;
    Ok(())
}
