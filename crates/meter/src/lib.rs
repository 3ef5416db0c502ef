//! Metrics recorder of a process, for all daemons.

use std::sync::{Mutex, PoisonError};

use metrics_exporter_prometheus::PrometheusBuilder;
pub use metrics_exporter_prometheus::PrometheusHandle;

static HANDLE: Mutex<Option<PrometheusHandle>> = Mutex::new(None);

/// Installs the recorder of this process once and returns its handle.
///
/// `seconds_buckets` are the upper bounds of histogram buckets, in seconds.
pub fn install(seconds_buckets: &[f64]) -> PrometheusHandle {
    let mut installed = HANDLE.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(handle) = &*installed {
        return handle.clone();
    }
    let builder = PrometheusBuilder::new().set_buckets(seconds_buckets);
    let recorder = builder.unwrap_or_default().build_recorder();
    let handle = recorder.handle();
    if metrics::set_global_recorder(recorder).is_err() {
        tracing::warn!("metrics: another recorder is already installed");
    }
    *installed = Some(handle.clone());
    handle
}
