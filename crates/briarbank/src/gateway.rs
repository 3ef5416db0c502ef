//! Router node on the platform.

use std::net::SocketAddr;

use briarbank_platform::SettingsPath;
use tokio::runtime::Builder;
use tracing_appender::non_blocking::NonBlockingBuilder;
use tracing_subscriber::EnvFilter;

use crate::Error;
use crate::signal::shutdown_signal;

/// Log lines buffered for a slow reader of standard output; further lines are dropped.
const BUFFERED_LOG_LINES_MAX: usize = 2_048;

/// Runs a router node on the platform until SIGTERM or SIGINT.
///
/// # Errors
///
/// Invalid settings, or a node that can't run.
pub fn gateway(operator_port: Option<u16>, filter: &str, json: bool) -> Result<(), Error> {
    let filter = EnvFilter::try_new(filter).map_err(Error::LogFilter)?;
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(BUFFERED_LOG_LINES_MAX)
        .finish(std::io::stdout());
    let dropped = writer.error_counter();
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(writer)
        .with_target(false)
        .with_ansi(false);
    // Keeps the subscriber that an embedding program has already set.
    let _ = if json {
        builder.json().try_init()
    } else {
        builder.try_init()
    };
    let path = briarbank_platform::settings_path()?;
    let mut settings = briarbank_platform::load_settings(&path)?;
    let ip = settings.addresses.caller.ip();
    settings.addresses.operator = operator_port.map(|port| SocketAddr::new(ip, port));
    let source = Box::new(SettingsPath(path));
    // Single-threaded: hosts have a fraction of a core, and a hop between threads costs a wake-up.
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let adapter = Box::new(briarbank_platform::Adapter);
    let result = runtime.block_on(async {
        briarbank_gateway::run(settings, source, adapter, shutdown_signal()?).await?;
        Ok(())
    });
    let lines = dropped.dropped_lines();
    if lines > 0 {
        tracing::warn!(lines, "log: lines dropped");
    }
    drop(guard);
    result
}
