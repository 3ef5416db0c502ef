//! The process's metrics.

use briarbank_meter::PrometheusHandle;

/// Buckets of the times, in seconds; the last ones before and after the
/// targets of 1.4 s and 79 ms are near to them.
const SECONDS_BUCKETS: [f64; 18] = [
    0.000_5, 0.001, 0.002, 0.005, 0.01, 0.02, 0.04, 0.079, 0.15, 0.3, 0.6, 1.0, 1.4, 2.0, 5.0,
    10.0, 30.0, 120.0,
];

/// Installs the recorder of this process, once, and gives access to it.
pub(crate) fn install() -> PrometheusHandle {
    briarbank_meter::install(&SECONDS_BUCKETS)
}
