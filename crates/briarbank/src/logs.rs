//! Log output of the subcommands.

use std::io::{IsTerminal, stderr};

use tracing_subscriber::EnvFilter;

use crate::Error;

/// Starts logging to standard error.
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
    // Keeps the subscriber that an embedding program has already set.
    let _ = if json {
        builder.json().try_init()
    } else {
        builder.try_init()
    };
    Ok(())
}
