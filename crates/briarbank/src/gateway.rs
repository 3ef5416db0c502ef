//! Router node on the platform.

use std::net::SocketAddr;

use briarbank_core::flow::HEDGE_RATIO_MAX;
use briarbank_platform::SettingsPath;
use tokio::runtime::Builder;
use tracing_appender::non_blocking::NonBlockingBuilder;
use tracing_subscriber::EnvFilter;

use crate::Error;
use crate::signal::shutdown_signal;

/// Log lines buffered for a slow reader of standard output; further lines are dropped.
const BUFFERED_LOG_LINES_MAX: usize = 2_048;

/// Options of a router node on the platform that are not in its settings file.
#[derive(Clone, Copy, Debug, Default)]
pub struct GatewayOptions {
    /// Port for metrics and the state dump, at the address for callers.
    pub operator_port: Option<u16>,
    /// Largest ratio of hedges to calls that may be repeated, 0 for no hedges.
    pub hedge_ratio: f64,
}

/// Runs a router node on the platform until SIGTERM or SIGINT.
///
/// # Errors
///
/// Invalid options or settings, or a node that can't run.
pub fn gateway(options: &GatewayOptions, filter: &str, json: bool) -> Result<(), Error> {
    if !(0.0..=HEDGE_RATIO_MAX).contains(&options.hedge_ratio) {
        return Err(Error::HedgeRatio(options.hedge_ratio));
    }
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
    settings.addresses.operator = options.operator_port.map(|port| SocketAddr::new(ip, port));
    settings.hedge_ratio = options.hedge_ratio;
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
