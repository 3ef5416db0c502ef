//! Arrivals by a Poisson process for each class.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::plan::{LoadClass, LoadPlan};

/// Intended start of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Index of the class in the plan.
    pub class: usize,
    /// Number within the class.
    pub number: u64,
    /// Intended start, from the begin of the load.
    pub intended_start: Duration,
}

#[derive(Debug)]
struct Stream {
    class: LoadClass,
    /// Rate without bursts.
    rate_per_s: f64,
    rng: StdRng,
    number: u64,
    next: Duration,
}

impl Stream {
    /// Moves to the next arrival, by thinning a process of the largest rate.
    fn advance(&mut self, end: Duration) {
        let limit = self.class.rate_factor_max();
        loop {
            let uniform: f64 = self.rng.random();
            let gap_s = -(1.0 - uniform).ln() / (self.rate_per_s * limit);
            let gap = Duration::try_from_secs_f64(gap_s).unwrap_or(end);
            self.next = self.next.saturating_add(gap);
            let kept: f64 = self.rng.random();
            if self.next >= end || kept * limit < self.class.rate_factor(self.next) {
                return;
            }
        }
    }
}

/// Arrivals of all classes in the order of time.
#[derive(Debug)]
pub struct Arrivals {
    streams: Vec<Stream>,
    end: Duration,
    left: u64,
}

impl Arrivals {
    /// The arrivals of a plan; equal plans have equal arrivals.
    #[must_use]
    pub fn new(plan: &LoadPlan) -> Self {
        let shares: f64 = plan.classes.iter().map(|c| c.share).sum();
        let end = plan.duration();
        let streams = plan.classes.iter().enumerate().map(|(index, class)| {
            let mut stream = Stream {
                class: class.clone(),
                rate_per_s: plan.rate_per_s * class.share / shares,
                rng: StdRng::seed_from_u64(plan.seed.wrapping_add(index as u64)),
                number: 0,
                next: Duration::ZERO,
            };
            stream.advance(end);
            stream
        });
        Self {
            streams: streams.collect(),
            end,
            left: plan.max_calls,
        }
    }
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        self.left = self.left.checked_sub(1)?;
        let streams = self.streams.iter_mut().enumerate();
        let (class, stream) = streams.min_by_key(|(_, stream)| stream.next)?;
        if stream.next >= self.end {
            return None;
        }
        let arrival = Arrival {
            class,
            number: stream.number,
            intended_start: stream.next,
        };
        stream.number += 1;
        stream.advance(self.end);
        Some(arrival)
    }
}
