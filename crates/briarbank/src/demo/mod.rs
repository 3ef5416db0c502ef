//! Stand-ins and two nodes in one process, and some calls through them.

mod call;
mod documents;
mod error;
mod fleet;
mod ports;
mod scenario;

use std::io::Write;

use crate::Error;
use crate::run::runtime;
use crate::signal::shutdown;
pub use error::DemoError;
use fleet::Fleet;

/// Runs stand-ins and two nodes in this process and shows some calls.
///
/// All ports are free ones on loopback; everything ends with the demo.
///
/// # Errors
///
/// A part that can't run, or a call that isn't answered as promised.
pub fn demo(out: &mut dyn Write) -> Result<(), Error> {
    runtime()?.block_on(async {
        let shutdown = shutdown()?;
        let mut fleet = Fleet::start().await?;
        let shown = tokio::select! {
            shown = scenario::run(&mut fleet, out) => shown,
            () = shutdown => Err(DemoError::Interrupted.into()),
        };
        let stopped = fleet.stop().await;
        shown.and(stopped)
    })
}
