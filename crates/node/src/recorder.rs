//! The process's metrics.

use std::sync::{Mutex, PoisonError};

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

static HANDLE: Mutex<Option<PrometheusHandle>> = Mutex::new(None);

/// Installs the recorder of this process, once, and gives access to it.
pub(crate) fn install() -> PrometheusHandle {
    let mut installed = HANDLE.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(handle) = &*installed {
        return handle.clone();
    }
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    if metrics::set_global_recorder(recorder).is_err() {
        tracing::warn!("metrics: another recorder is installed");
    }
    *installed = Some(handle.clone());
    handle
}
