//! Options of the dispatcher.

use std::time::Duration;

use crate::flow::retry_budget::RetryOptions;
use crate::outlier;

/// Bound on the calls that all nodes together send to a cold server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// Multiple of the rate that the service names for its cold servers.
    pub excess_ratio: f64,
    /// Calls allowed beyond that in any second.
    pub extra_calls: f64,
}

impl Default for ColdLimit {
    fn default() -> Self {
        Self {
            excess_ratio: 1.0,
            extra_calls: 0.0,
        }
    }
}

/// Options of [`crate::flow::Dispatcher`].
///
/// Costs are compared with each other as milliseconds of delay.
#[derive(Clone, Debug)]
pub struct Options {
    /// Retry budget of each service.
    pub retries: RetryOptions,
    /// Bound on calls to cold servers.
    pub cold: ColdLimit,
    /// When a server is ejected and for how long.
    pub outlier: outlier::Options,
    /// Fraction of recent answers that were faults above which a server is ejected.
    pub fault_ratio_max: f64,
    /// Time for which a server that could not be reached gets no calls.
    pub unreachable_pause: Duration,
    /// Time for which a server that was full gets no calls.
    pub full_pause: Duration,
    /// Time for which a server gets no calls after another one answered at its address.
    pub other_instance_pause: Duration,
    /// Time for which a server that leaves still gets the rest of streams of its version.
    ///
    /// It applies when no other server has the version.
    pub leaving_use: Duration,
    /// Cost of a server in another availability zone, in milliseconds.
    pub zone_cost_ms: f64,
    /// Cost of prefilling shared tokens that another server holds.
    ///
    /// It comes on top of the prefill time, as a multiple of that time. Higher values
    /// keep prompts at servers that hold their prefix, lower values spread load.
    pub prefill_again_ratio: f64,
    /// Servers, in the rendezvous order of its prefix, that a long prompt may go to.
    ///
    /// Each further server has to prefill the shared parts again.
    pub spill_servers: usize,
    /// Fraction of a server's time above which one prefix gets a further server.
    pub prefix_busy_ratio: f64,
    /// Cost to a long prompt of each call in flight at the server, in milliseconds.
    pub in_flight_cost_ms: f64,
    /// Fraction of slots with short prompts above which a server gets no long ones.
    pub mixed_short_ratio_max: f64,
    /// Cost to a short prompt of a server busy with long ones, in milliseconds.
    ///
    /// It applies in full to a server that prefills all the time, else in proportion.
    pub prefill_cost_ms: f64,
    /// Fraction of a server's slots that short prompts fill before using another server.
    ///
    /// It applies while there are no long prompts.
    pub short_ratio_min: f64,
    /// Increase of that fraction when all servers prefill long prompts all the time.
    pub short_ratio_slope: f64,
    /// Upper bound of that fraction.
    pub short_ratio_max: f64,
    /// Short prompts that a server gets before another one is used, within that upper bound.
    ///
    /// With few slots the fraction alone would spread them over servers that long prompts
    /// need; so few of them slow each other little.
    pub short_prompts_min: f64,
    /// Fraction of a server's slots that they fill while they press on long prompts.
    pub short_ratio_dense: f64,
    /// Fractions of the servers, taken by short prompts, between which they are packed denser.
    pub short_server_ratios: (f64, f64),
    /// Cost to a short prompt of each excess position in the common order, in milliseconds.
    ///
    /// Positions are in excess beyond the servers that the short prompts in flight need.
    pub order_cost_ms: f64,
    /// Cost to a short prompt of a server with too many of them, in milliseconds.
    ///
    /// It applies in full at twice the intended number, and grows with the excess.
    pub full_cost_ms: f64,
    /// Cost to a short prompt of a server whose exact load is unknown, in milliseconds.
    ///
    /// It applies while that of another server is known.
    pub inexact_cost_ms: f64,
    /// Longest wait of calls that outrank others, as a multiple of their objective.
    ///
    /// Above 1, since a late answer to them is better than one to less urgent calls.
    pub urgent_wait_ratio: f64,
    /// Fraction of its objective within which a call is expected to begin.
    ///
    /// Below 1, since predictions under load are too short.
    pub objective_ratio: f64,
    /// Fraction of its objective that a call may always wait at a server.
    pub wait_ratio_min: f64,
    /// Calls that may queue at a plain server, as a multiple of its slots.
    pub queue_ratio: f64,
    /// Fraction of an engine's memory that is filled.
    pub memory_ratio: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            retries: RetryOptions::default(),
            cold: ColdLimit::default(),
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
            leaving_use: Duration::from_secs(1),
            zone_cost_ms: 2.0,
            in_flight_cost_ms: 0.5,
            prefill_again_ratio: 8.0,
            spill_servers: 2,
            prefix_busy_ratio: 0.3,
            mixed_short_ratio_max: 0.06,
            prefill_cost_ms: 100.0,
            short_ratio_min: 0.2,
            short_ratio_slope: 1.6,
            short_ratio_max: 0.6,
            short_prompts_min: 8.0,
            short_ratio_dense: 0.85,
            short_server_ratios: (0.25, 0.5),
            order_cost_ms: 50.0,
            full_cost_ms: 1_000.0,
            inexact_cost_ms: 200.0,
            urgent_wait_ratio: 2.0,
            objective_ratio: 0.8,
            wait_ratio_min: 0.1,
            queue_ratio: 2.0,
            memory_ratio: 0.9,
        }
    }
}
