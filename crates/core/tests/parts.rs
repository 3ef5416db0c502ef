//! Properties of limiter, retry budget, quantiles, balancer and load view.

use std::time::{Duration, Instant};

use briarbank_core::balance::{AffinityBalancer, Balancer, Candidate};
use briarbank_core::budget::{self, RetryBudget};
use briarbank_core::call::ServerLoad;
use briarbank_core::limiter::Limiter;
use briarbank_core::load::LoadView;
use briarbank_core::quantile::Histogram;
use briarbank_core::rendezvous;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const CASES: u32 = 500;
const SEED: [u8; 32] = *b"briarbank parts properties 00001";

fn check<S: Strategy>(strategy: &S, test: impl Fn(S::Value) -> Result<(), TestCaseError>)
where
    S::Value: std::fmt::Debug,
{
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let result = TestRunner::new_with_rng(config, rng).run(strategy, test);
    if let Err(error) = result {
        panic!("{error}");
    }
}

#[test]
fn limit_stays_between_one_and_the_slots() {
    let steps = prop::collection::vec((0..4_u8, 0..5_000_u64, 0..40_u32), 1..200);
    check(
        &(1..64_u32, 1..400_usize, steps),
        |(slots, nodes, steps)| {
            let mut now = Instant::now();
            let mut limiter = Limiter::new(slots, nodes);
            for (kind, time_ms, count) in steps {
                now += Duration::from_millis(time_ms);
                let time = Duration::from_millis(time_ms);
                let load = ServerLoad {
                    running: count,
                    waiting: count % 3,
                    age_ms: 0,
                };
                match kind {
                    0 => limiter.record_refusal(now),
                    1 => limiter.record_first_token(now, time, Duration::from_millis(500), count),
                    2 => limiter.record_report(now, load, count),
                    _ => limiter.set_nodes(slots, 1 + count as usize),
                }
                prop_assert!((1..=slots).contains(&limiter.limit()));
            }
            Ok(())
        },
    );
}

#[test]
fn shares_of_equal_nodes_fit_into_the_slots() {
    check(&(1..200_u32, 1..64_usize), |(slots, nodes)| {
        let limit = Limiter::new(slots, nodes).limit() as usize;
        let fits = limit * nodes <= slots as usize;
        prop_assert!(fits || limit == 1, "{limit} x {nodes} > {slots}");
        Ok(())
    });
}

#[test]
fn retries_are_bounded_by_a_fraction_of_first_attempts() {
    let steps = prop::collection::vec(any::<bool>(), 1..500);
    check(
        &(0.0..1.0_f64, 1.0..50.0_f64, steps),
        |(ratio, burst, steps)| {
            let mut budget = RetryBudget::new(budget::Options {
                deposit_ratio: ratio,
                burst,
            });
            let (mut firsts, mut retries) = (0.0, 0.0);
            for first in steps {
                if first {
                    budget.deposit();
                    firsts += 1.0;
                } else if budget.withdraw() {
                    retries += 1.0;
                }
                prop_assert!(retries <= burst + ratio * firsts + 1e-6);
            }
            Ok(())
        },
    );
}

#[test]
fn quantile_is_accurate_to_a_fifth() {
    let values = prop::collection::vec(1.0..1e6_f64, 1..500);
    check(&(values, 0.0..=1.0_f64), |(mut values, ratio)| {
        let mut histogram = Histogram::default();
        for value in &values {
            histogram.record(*value);
        }
        values.sort_by(f64::total_cmp);
        let rank = (values.len() as f64 * ratio).ceil().max(1.0) as usize;
        let exact = values[rank - 1];
        let found = histogram.quantile(ratio).expect("has values");
        prop_assert!(found <= exact * 1.2 && found >= exact / 1.2);
        Ok(())
    });
}

#[test]
fn all_nodes_prefer_the_same_server_until_it_is_loaded() {
    let loads = prop::collection::vec(0.0..2.0_f64, 1..40);
    check(&(1..u64::MAX, loads, 0..1_000_u64), |(key, loads, seed)| {
        let candidate = |(index, load): (usize, &f64)| Candidate {
            index,
            name_key: rendezvous::key(format!("s{index}").as_bytes()),
            load_ratio: *load,
            cost: 0.0,
        };
        let candidates: Vec<_> = loads.iter().enumerate().map(candidate).collect();
        let preferred = candidates
            .iter()
            .max_by_key(|c| rendezvous::weight_of(key, c.name_key))
            .expect("has candidates");
        let mean = loads.iter().sum::<f64>() / loads.len() as f64;
        let chosen = AffinityBalancer::new(seed).choose(key, &candidates);
        let chosen = chosen.expect("has candidates");
        if preferred.load_ratio <= mean {
            prop_assert_eq!(chosen, preferred.index);
        }
        prop_assert!(chosen < candidates.len());
        Ok(())
    });
}

#[test]
fn keys_spread_evenly_over_servers() {
    const SERVERS: u64 = 12;
    const KEYS: u64 = 12_000;
    let names: Vec<u64> = (0..SERVERS)
        .map(|i| rendezvous::key(format!("s{i:02}").as_bytes()))
        .collect();
    let mut counts = vec![0_u64; names.len()];
    for key in 0..KEYS {
        let best = (0..names.len()).max_by_key(|i| rendezvous::weight_of(key, names[*i]));
        counts[best.expect("has servers")] += 1;
    }
    let mean = KEYS / SERVERS;
    let even = counts
        .iter()
        .all(|c| (mean * 8 / 10..=mean * 12 / 10).contains(c));
    assert!(even, "{counts:?}");
}

#[test]
fn older_report_is_ignored_after_a_newer_one() {
    let now = Instant::now() + Duration::from_mins(1);
    let mut view = LoadView::default();
    let load = |running, age_ms| ServerLoad {
        running,
        waiting: 0,
        age_ms,
    };
    view.record_report(now, load(2, 0));
    view.record_report(now, load(9, 3_000));
    assert!((view.requests(now) - 2.0).abs() < 1e-9);
}

/// Guards against a limit that stays at the slots of a smaller server.
///
/// Slots and nodes double together, so that the equal share stays the same.
#[test]
fn a_limit_grows_to_the_new_number_of_slots() {
    let now = std::time::Instant::now();
    let mut limiter = Limiter::new(8, 2);
    limiter.set_nodes(16, 4);
    for _ in 0..1_000 {
        let in_flight = limiter.limit();
        limiter.record_first_token(now, Duration::ZERO, Duration::from_secs(1), in_flight);
    }
    assert_eq!(limiter.limit(), 16);
}
