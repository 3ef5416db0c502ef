//! Fixed choices of a router.

use std::time::Duration;

use crate::catalog::TIER_COUNT;
use crate::ids::ZoneName;
use crate::{budget, outlier};

/// Fixed choices of a router.
#[derive(Clone, Debug)]
pub struct Options {
    /// Most attempts for one call.
    pub attempts_max: u32,
    /// When refused callers are asked to come back, at the least.
    pub retry_after: Duration,
    /// When refused callers are asked to come back, at the most.
    pub retry_after_max: Duration,
    /// Most requests that wait, over all classes and targets.
    pub queue_limit: usize,
    /// Quantile of the output length for which a call that starts must have time,
    /// by tier.
    ///
    /// A high one wastes little work; a low one gives up few calls.
    pub length_quantiles: [f64; TIER_COUNT as usize],
    /// Part of the whole target that a call must have left at its start at the most.
    pub start_ratio: f64,
    /// How long a server that said it is leaving gets nothing new, unless the list
    /// shows it leaving or gone, and then live again.
    pub leaving_hold: Duration,
    /// How long a server gets nothing new after it refused a request.
    pub refused_hold: Duration,
    /// Cost of another availability zone, as a part of a server's slots.
    pub zone_cost_ratio: f64,
    /// Own availability zone; without it all zones cost the same.
    pub zone: Option<ZoneName>,
    /// Choices of the retry budgets.
    pub budget: budget::Options,
    /// Choices of the outlier detection.
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
            start_ratio: 0.9,
            leaving_hold: Duration::from_mins(10),
            refused_hold: Duration::from_millis(100),
            zone_cost_ratio: 0.1,
            zone: None,
            budget: budget::Options::default(),
            outlier: outlier::Options::default(),
        }
    }
}
