//! Stand-in for a model engine.

mod answer;
mod batch;
mod endpoint;
mod prefix;
mod prompt;
mod stepper;
mod stream;

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use briarbank_config::EngineSettings;

pub use answer::{answer_length, answer_token, prompt_hash};

use crate::backend::Gate;
use crate::error::Error;
use crate::http::{Port, StandinHandle, start};
use endpoint::EngineEndpoint;
use stepper::Stepper;

/// Serves model calls until `shutdown` completes.
///
/// Switches are set with `POST /control`; `POST /control/silence` makes open
/// connections silent, `POST /control/crash` stops the engine for a time, and
/// `GET /control/state` tells the counters.
///
/// # Errors
///
/// [`Error::Bind`] if the address can't be bound.
pub async fn start_engine(
    settings: EngineSettings,
    shutdown: impl Future<Output = ()> + Send + 'static,
) -> Result<StandinHandle, Error> {
    let (port, crashes) = Port::new();
    let lag = Duration::from_millis(settings.load_lag_ms);
    let gate = Arc::new(Gate::new(Arc::clone(&port), lag));
    let address = settings.address;
    let stepper = Stepper::new(&settings, Arc::clone(&gate));
    let endpoint = Arc::new(EngineEndpoint::new(settings, gate, Arc::clone(&stepper)));
    start(address, endpoint, port, crashes, stepper.run(), shutdown).await
}
