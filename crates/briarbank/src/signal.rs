//! Signals that stop a process as planned.

use std::io;

use tokio::signal::unix::{SignalKind, signal};

/// Completes at the first SIGTERM or SIGINT.
///
/// The handlers stay in place, so that further signals change nothing.
///
/// # Errors
///
/// An error of the operating system when a handler can't be set.
pub(crate) fn shutdown() -> io::Result<impl Future<Output = ()> + Send + 'static> {
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
