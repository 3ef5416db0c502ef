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

pub use answer::{answer_hash, answer_length, answer_token, prompt_hash};

use crate::backend::Gate;
use crate::error::Error;
use crate::http::{Port, StandinHandle, start};
use endpoint::EngineEndpoint;
use stepper::Stepper;

/// Starts a model engine that serves until `shutdown` completes.
///
/// `POST /control` sets the failure switches, `POST /control/silence` silences
/// the open connections, `POST /control/crash` stops the engine temporarily, and
/// `GET /control/state` returns the counters.
///
/// # Errors
///
/// [`Error::Bind`] if binding the address fails.
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
