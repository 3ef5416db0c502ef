//! Stand-in for the platform's configuration service and host list.

mod endpoint;
mod rate_limit;
mod switches;
mod values;

use std::future::Future;

use briarbank_config::PlatformSettings;

pub use switches::{PlatformSwitches, StaleValue};

use crate::error::Error;
use crate::http::{Port, StandinHandle, start};
use endpoint::PlatformEndpoint;

/// Starts a platform that serves published values until `shutdown` completes.
///
/// `PUT /control/values/KEY` publishes a value, under the next revision or the
/// one in the query parameter `revision`. `POST /control` sets the failure
/// switches, and `GET /control/state` returns the counters.
///
/// # Errors
///
/// [`Error::Bind`] if binding the address fails.
pub async fn start_platform(
    settings: PlatformSettings,
    shutdown: impl Future<Output = ()> + Send + 'static,
) -> Result<StandinHandle, Error> {
    let (port, crashes) = Port::new();
    let endpoint = PlatformEndpoint::new(settings.rate_per_s);
    let background = std::future::pending();
    start(
        settings.address,
        endpoint,
        port,
        crashes,
        background,
        shutdown,
    )
    .await
}
