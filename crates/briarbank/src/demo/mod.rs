//! Demo: stand-ins and two nodes in one process, and some calls through them.

mod call;
mod documents;
mod error;
mod fleet;
mod ports;
mod scenario;

use std::io::Write;

use crate::Error;
use crate::run::runtime;
use crate::signal::shutdown_signal;
pub use error::DemoError;
use fleet::Fleet;

/// Runs stand-ins and two nodes in this process and shows some calls.
///
/// Uses free loopback ports; everything stops with the demo.
///
/// # Errors
///
/// A node or stand-in that can't run, or a call with an unexpected answer.
pub fn demo(out: &mut dyn Write) -> Result<(), Error> {
    runtime()?.block_on(async {
        let shutdown_signal = shutdown_signal()?;
        let mut fleet = Fleet::start().await?;
        let result = tokio::select! {
            result = scenario::run(&mut fleet, out) => result,
            () = shutdown_signal => Err(DemoError::Interrupted.into()),
        };
        let stopped = fleet.stop().await;
        result.and(stopped)
    })
}
