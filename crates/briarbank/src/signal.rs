//! Signals that start a graceful shutdown.

use std::io;

use tokio::signal::unix::{SignalKind, signal};

/// Completes at the first SIGTERM or SIGINT.
///
/// The handlers stay installed, so that further signals have no effect.
///
/// # Errors
///
/// An error of the operating system when a handler can't be installed.
pub(crate) fn shutdown_signal() -> io::Result<impl Future<Output = ()> + Send + 'static> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    Ok(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        tracing::info!("signal: planned stop begins");
    })
}
