//! Metrics recorder of the process.

use briarbank_meter::PrometheusHandle;

/// Histogram bucket bounds in seconds.
///
/// The objectives of 1.4 s and 79 ms are bounds themselves, and the bounds next
/// to them are within a factor of two.
const SECONDS_BUCKETS: [f64; 18] = [
    0.000_5, 0.001, 0.002, 0.005, 0.01, 0.02, 0.04, 0.079, 0.15, 0.3, 0.6, 1.0, 1.4, 2.0, 5.0,
    10.0, 30.0, 120.0,
];

/// Installs the recorder once per process and returns its handle.
pub(crate) fn install() -> PrometheusHandle {
    briarbank_meter::install(&SECONDS_BUCKETS)
}
