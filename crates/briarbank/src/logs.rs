//! Log output.

use std::io::{IsTerminal, stderr};

use tracing_subscriber::EnvFilter;

use crate::Error;

/// Starts logging to the standard error stream.
///
/// # Errors
///
/// [`Error::LogFilter`] when the filter can't be parsed.
pub fn init_logs(filter: &str, json: bool) -> Result<(), Error> {
    let filter = EnvFilter::try_new(filter).map_err(Error::LogFilter)?;
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(stderr)
        .with_target(false)
        .with_ansi(stderr().is_terminal());
    // A subscriber that is already set stays: an embedding program chose it.
    let _ = if json {
        builder.json().try_init()
    } else {
        builder.try_init()
    };
    Ok(())
}
