//! Fixed choices of the dispatcher.

use std::time::Duration;

use crate::flow::retry_budget::RetryOptions;
use crate::outlier;

/// Fixed choices of [`crate::flow::Dispatcher`].
///
/// The defaults come from the measured rounds in docs/MEASUREMENTS.md.
#[derive(Clone, Debug)]
pub struct Options {
    /// Repeated sends, for each service.
    pub retries: RetryOptions,
    /// When a server is set aside and for how long.
    pub outlier: outlier::Options,
    /// Part of recent answers that must be faults for a server to be set aside.
    pub fault_ratio_max: f64,
    /// Time for which a server that could not be reached gets no calls.
    pub unreachable_pause: Duration,
    /// Time for which a server that was full gets no calls.
    pub full_pause: Duration,
    /// Time for which an address that another server has gets no calls.
    pub other_instance_pause: Duration,
    /// Cost of another availability zone, in milliseconds of delay.
    pub zone_cost_ms: f64,
    /// Cost of reading shared tokens that another server holds, beyond the time that it
    /// takes, as a multiple of that time.
    pub prefill_again_ratio: f64,
    /// Servers, in the order of its shared parts, that a long prompt may go to; more
    /// servers would each have to read the shared parts again.
    pub spill_servers: usize,
    /// Part of a server's time that prompts about one subject may take up before they
    /// get a further server.
    pub prefix_busy_ratio: f64,
    /// Cost to a long prompt of each call in flight at the server, in milliseconds.
    pub crowd_cost_ms: f64,
    /// Part of a server's slots with short prompts beside which it is given long ones.
    pub stray_ratio: f64,
    /// Cost to a short prompt of a server that reads long ones all the time, in milliseconds.
    pub prefill_cost_ms: f64,
    /// Part of a server's slots that short prompts take before a further server gets
    /// them, while there are no long prompts.
    pub short_ratio_min: f64,
    /// Increase of that part when all servers read long prompts all the time.
    pub short_ratio_slope: f64,
    /// Largest part.
    pub short_ratio_max: f64,
    /// Cost to a short prompt of each place in the common order beyond the servers that
    /// short prompts need, in milliseconds.
    pub order_cost_ms: f64,
    /// Cost to a short prompt of a server with twice its part of short ones, in milliseconds.
    pub full_cost_ms: f64,
    /// Wait at a server that the most urgent calls accept, as a multiple of their
    /// objective: a late answer is better than one for less urgent calls.
    pub urgent_ratio: f64,
    /// Part of its objective within which a call is expected to begin, since
    /// predictions under load are short.
    pub target_ratio: f64,
    /// Least part of its own objective that a call may wait at a server.
    pub wait_ratio_min: f64,
    /// Calls beyond its slots that a plain server is sent, as a part of the slots.
    pub queue_ratio: f64,
    /// Part of an engine's memory that is filled.
    pub memory_ratio: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            retries: RetryOptions::default(),
            outlier: outlier::Options {
                ejection: Duration::from_secs(2),
                ejection_max: Duration::from_secs(8),
                slow_start: Duration::from_secs(1),
                ..outlier::Options::default()
            },
            fault_ratio_max: 0.35,
            unreachable_pause: Duration::from_millis(500),
            full_pause: Duration::from_millis(100),
            other_instance_pause: Duration::from_millis(2_500),
            zone_cost_ms: 2.0,
            crowd_cost_ms: 0.5,
            prefill_again_ratio: 8.0,
            spill_servers: 2,
            prefix_busy_ratio: 0.3,
            stray_ratio: 0.06,
            prefill_cost_ms: 100.0,
            short_ratio_min: 0.2,
            short_ratio_slope: 1.6,
            short_ratio_max: 0.6,
            order_cost_ms: 50.0,
            full_cost_ms: 1_000.0,
            urgent_ratio: 2.0,
            target_ratio: 0.8,
            wait_ratio_min: 0.1,
            queue_ratio: 2.0,
            memory_ratio: 0.9,
        }
    }
}
