//! Stand-in for the platform's configuration service and host list.

mod control;
mod endpoint;
mod rate;
mod values;

use std::future::Future;

use briarbank_config::PlatformSettings;

pub use control::{PlatformSwitches, StaleValue};

use crate::error::Error;
use crate::http::{Port, StandinHandle, start};
use endpoint::PlatformEndpoint;

/// Serves published values until `shutdown` completes.
///
/// Values are put with `PUT /control/values/KEY`, with the next revision or
/// the one in the query `revision`. Switches are set with `POST /control`, and
/// `GET /control/state` tells the counters.
///
/// # Errors
///
/// [`Error::Bind`] if the address can't be bound.
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
