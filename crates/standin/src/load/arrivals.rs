//! Arrivals of calls: one Poisson process for each class.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::plan::{LoadClass, LoadPlan};

/// Class, number and intended start of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Index of the class in the plan.
    pub class: usize,
    /// Number of the call within its class.
    pub number: u64,
    /// Intended start, from the start of the load.
    pub intended_start: Duration,
}

/// Arrivals of one class.
#[derive(Debug)]
struct ClassArrivals {
    class: LoadClass,
    /// Rate outside bursts.
    rate_per_s: f64,
    rng: StdRng,
    number: u64,
    next: Duration,
}

impl ClassArrivals {
    /// Advances to the next arrival by thinning a Poisson process of the maximum rate.
    fn advance(&mut self, end: Duration) {
        let factor_max = self.class.rate_factor_max();
        loop {
            let uniform: f64 = self.rng.random();
            let gap_s = -(1.0 - uniform).ln() / (self.rate_per_s * factor_max);
            let gap = Duration::try_from_secs_f64(gap_s).unwrap_or(end);
            self.next = self.next.saturating_add(gap);
            let acceptance: f64 = self.rng.random();
            if self.next >= end || acceptance * factor_max < self.class.rate_factor(self.next) {
                return;
            }
        }
    }
}

/// Iterator over the arrivals of all classes in order of time.
#[derive(Debug)]
pub struct Arrivals {
    per_class: Vec<ClassArrivals>,
    end: Duration,
    remaining: u64,
}

impl Arrivals {
    /// Creates the arrivals of a plan; equal plans have equal arrivals.
    #[must_use]
    pub fn new(plan: &LoadPlan) -> Self {
        let shares: f64 = plan.classes.iter().map(|c| c.share).sum();
        let end = plan.duration();
        let per_class = plan.classes.iter().enumerate().map(|(index, class)| {
            let mut arrivals = ClassArrivals {
                class: class.clone(),
                rate_per_s: plan.rate_per_s * class.share / shares,
                rng: StdRng::seed_from_u64(plan.seed.wrapping_add(index as u64)),
                number: 0,
                next: Duration::ZERO,
            };
            arrivals.advance(end);
            arrivals
        });
        Self {
            per_class: per_class.collect(),
            end,
            remaining: plan.max_calls,
        }
    }
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        self.remaining = self.remaining.checked_sub(1)?;
        let per_class = self.per_class.iter_mut().enumerate();
        let (class, arrivals) = per_class.min_by_key(|(_, arrivals)| arrivals.next)?;
        if arrivals.next >= self.end {
            return None;
        }
        let arrival = Arrival {
            class,
            number: arrivals.number,
            intended_start: arrivals.next,
        };
        arrivals.number += 1;
        arrivals.advance(self.end);
        Some(arrival)
    }
}
