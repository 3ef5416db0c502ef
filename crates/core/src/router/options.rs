//! Options of the router.

use std::time::Duration;

use crate::catalog::TIER_COUNT;
use crate::ids::ZoneName;
use crate::{budget, outlier};

/// Options of a router.
#[derive(Clone, Debug)]
pub struct Options {
    /// Maximum number of attempts for one call.
    pub attempts_max: u32,
    /// Minimum delay before a refused caller should retry.
    pub retry_after: Duration,
    /// Maximum delay before a refused caller should retry.
    pub retry_after_max: Duration,
    /// Maximum number of queued calls, over all classes and targets.
    pub queue_limit: usize,
    /// Quantile of the output length, by tier, that must fit before the deadline.
    ///
    /// A call that has less time is not dispatched. A high quantile wastes little
    /// work; a low one refuses few calls.
    pub length_quantiles: [f64; TIER_COUNT as usize],
    /// Upper bound of the time required at dispatch.
    ///
    /// A fraction of the objective for the whole answer.
    pub start_reserve_ratio: f64,
    /// How long a server that reported it is leaving gets no new calls.
    ///
    /// Ends early when the server list shows it as leaving or absent, and then live again.
    pub leaving_period: Duration,
    /// How long a server gets no new calls after it refused one.
    pub refusal_backoff: Duration,
    /// Extra cost of another availability zone, as a fraction of a server's slots.
    pub zone_cost_ratio: f64,
    /// Availability zone of this node; without it all zones cost the same.
    pub zone: Option<ZoneName>,
    /// Options of the retry budgets.
    pub retry_budget: budget::Options,
    /// Options of the outlier detection.
    pub outlier: outlier::Options,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            attempts_max: 3,
            retry_after: Duration::from_secs(1),
            retry_after_max: Duration::from_mins(1),
            queue_limit: 10_000,
            length_quantiles: [0.5, 0.9, 0.99, 0.99, 0.99, 0.99],
            start_reserve_ratio: 0.9,
            leaving_period: Duration::from_mins(10),
            refusal_backoff: Duration::from_millis(100),
            zone_cost_ratio: 0.1,
            zone: None,
            retry_budget: budget::Options::default(),
            outlier: outlier::Options::default(),
        }
    }
}
