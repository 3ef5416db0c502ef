//! Choice of a server among those with capacity for a request.
//!
//! Rendezvous hashing gives a prompt prefix the same preferred server at all nodes,
//! so that the prefix cache of that server is reused. If the load of the preferred
//! server exceeds the mean by a fixed factor (Mirrokni, Thorup and Zadimoghaddam,
//! "Consistent hashing with bounded loads", 2016), the better of two random servers
//! is chosen instead (Mitzenmacher, "The power of two choices", 2001).

use rand::Rng;
use rand::rngs::SmallRng;

use crate::rendezvous;

/// Maximum load of the preferred server, as a multiple of the mean.
const LOAD_BOUND_RATIO: f64 = 1.25;

/// A server that has capacity for the request.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Index by which the user of the balancer identifies the server.
    pub index: usize,
    /// Rendezvous hashing key of its name.
    pub name_key: u64,
    /// Expected requests at the server, as a fraction of its slots.
    pub load_ratio: f64,
    /// Extra cost in the unit of `load_ratio`, such as for another zone.
    pub cost: f64,
}

impl Candidate {
    fn score(&self) -> f64 {
        self.load_ratio + self.cost
    }
}

/// Chooses a server; see the module documentation.
pub trait Balancer: std::fmt::Debug + Send {
    /// Returns the index of the chosen candidate, or `None` without candidates.
    ///
    /// `prefix_key` 0 means that the request has no prefix to reuse.
    fn choose(&mut self, prefix_key: u64, candidates: &[Candidate]) -> Option<usize>;
}

/// Balancer with prefix affinity and bounded load, else the better of two choices.
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
/// let mut first_node = AffinityBalancer::new(1);
/// let mut second_node = AffinityBalancer::new(2);
/// assert_eq!(first_node.choose(7, &candidates), second_node.choose(7, &candidates));
/// ```
#[derive(Debug)]
pub struct AffinityBalancer {
    rng: SmallRng,
}

impl AffinityBalancer {
    /// Creates a balancer whose random choices depend only on `seed`.
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
            if preferred.score() <= mean * LOAD_BOUND_RATIO {
                return Some(preferred.index);
            }
        }
        self.better_of_two(candidates)
    }
}
