//! The process's metrics.

use std::sync::{Mutex, PoisonError};

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// Buckets of the times, in seconds; the last ones before and after the
/// targets of 1.4 s and 79 ms are near to them.
const SECONDS_BUCKETS: [f64; 18] = [
    0.000_5, 0.001, 0.002, 0.005, 0.01, 0.02, 0.04, 0.079, 0.15, 0.3, 0.6, 1.0, 1.4, 2.0, 5.0,
    10.0, 30.0, 120.0,
];

static HANDLE: Mutex<Option<PrometheusHandle>> = Mutex::new(None);

/// Installs the recorder of this process, once, and gives access to it.
pub(crate) fn install() -> PrometheusHandle {
    let mut installed = HANDLE.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(handle) = &*installed {
        return handle.clone();
    }
    let builder = PrometheusBuilder::new().set_buckets(&SECONDS_BUCKETS);
    let recorder = builder.unwrap_or_default().build_recorder();
    let handle = recorder.handle();
    if metrics::set_global_recorder(recorder).is_err() {
        tracing::warn!("metrics: another recorder is installed");
    }
    *installed = Some(handle.clone());
    handle
}
