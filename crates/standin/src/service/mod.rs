//! Stand-in for a plain service.

mod endpoint;
mod run_counts;

use std::future::Future;
use std::sync::Arc;

use briarbank_config::ServiceSettings;

use crate::backend::Gate;
use crate::error::Error;
use crate::http::{Port, StandinHandle, start};
use endpoint::ServiceEndpoint;

/// Starts a plain service that serves until `shutdown` completes.
///
/// `GET /control/runs` returns how often each request id ran. The failure
/// switches are those of the engine, where each answer counts as one token.
///
/// # Errors
///
/// [`Error::Bind`] if binding the address fails.
pub async fn start_service(
    settings: ServiceSettings,
    shutdown: impl Future<Output = ()> + Send + 'static,
) -> Result<StandinHandle, Error> {
    let (port, crashes) = Port::new();
    let gate = Gate::new(Arc::clone(&port), std::time::Duration::ZERO);
    let address = settings.address;
    let endpoint = Arc::new(ServiceEndpoint::new(&settings, gate));
    let background = std::future::pending();
    start(address, endpoint, port, crashes, background, shutdown).await
}
