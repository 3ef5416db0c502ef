//! Choice of a server among those that can take a request.
//!
//! A prompt prefix has the same preferred servers at all nodes, by rendezvous
//! hashing, so that its cached state is reused. The preferred server is passed
//! over when its load exceeds the mean by a fixed factor (Mirrokni, Thorup and
//! Zadimoghaddam, "Consistent hashing with bounded loads", 2016). Then the better
//! of two at random is taken (Mitzenmacher, "The power of two choices", 2001).

use rand::Rng;
use rand::rngs::SmallRng;

use crate::rendezvous;

const BOUND_RATIO: f64 = 1.25;

/// A server that can take the request now.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Position that the caller knows it by.
    pub index: usize,
    /// Key of its name, for rendezvous hashing.
    pub name_key: u64,
    /// Requests expected there, as a part of its slots.
    pub load_ratio: f64,
    /// Extra cost, in the same unit as the load, as for another zone.
    pub cost: f64,
}

impl Candidate {
    fn score(&self) -> f64 {
        self.load_ratio + self.cost
    }
}

/// Chooses a server; see the module's page.
pub trait Balancer: std::fmt::Debug + Send {
    /// The index of the chosen candidate, or `None` without candidates.
    ///
    /// `prefix_key` 0 means that no prefix is worth anything.
    fn choose(&mut self, prefix_key: u64, candidates: &[Candidate]) -> Option<usize>;
}

/// Prefix affinity with bounded load, else the better of two choices.
///
/// # Examples
///
/// ```
/// use briarbank_core::balance::{AffinityBalancer, Balancer, Candidate};
/// use briarbank_core::rendezvous;
///
/// let idle = |index, name: &str| Candidate {
///     index, name_key: rendezvous::key(name.as_bytes()), load_ratio: 0.0, cost: 0.0,
/// };
/// let candidates = [idle(0, "a"), idle(1, "b"), idle(2, "c")];
/// let mut here = AffinityBalancer::new(1);
/// let mut there = AffinityBalancer::new(2);
/// assert_eq!(here.choose(7, &candidates), there.choose(7, &candidates));
/// ```
#[derive(Debug)]
pub struct AffinityBalancer {
    rng: SmallRng,
}

impl AffinityBalancer {
    /// A balancer whose random choices follow from `seed`.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        use rand::SeedableRng;
        Self {
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    fn better_of_two(&mut self, candidates: &[Candidate]) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        let first = self.rng.random_range(0..candidates.len());
        let second = self.rng.random_range(0..candidates.len());
        let (first, second) = (candidates.get(first)?, candidates.get(second)?);
        let better = if second.score() < first.score() {
            second
        } else {
            first
        };
        Some(better.index)
    }
}

impl Balancer for AffinityBalancer {
    fn choose(&mut self, prefix_key: u64, candidates: &[Candidate]) -> Option<usize> {
        if prefix_key != 0 {
            let preferred = candidates
                .iter()
                .max_by_key(|c| rendezvous::weight_of(prefix_key, c.name_key))?;
            let total: f64 = candidates.iter().map(Candidate::score).sum();
            let mean = total / candidates.len() as f64;
            if preferred.score() <= mean * BOUND_RATIO {
                return Some(preferred.index);
            }
        }
        self.better_of_two(candidates)
    }
}
