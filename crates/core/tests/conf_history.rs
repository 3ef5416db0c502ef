//! Replication of published values under generated fault histories.

mod recovery_fleet;

use briarbank_core::conf::Key;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};
use recovery_fleet::Fleet;
use recovery_fleet::documents::INVALID;

/// Time within which a change is in force everywhere.
const IN_FORCE_MS: u64 = 10_000;

/// Number of histories in each of the five tests.
const HISTORIES: u32 = 2_200;

/// Maximum number of hosts in a history.
const HOSTS_MAX: usize = 7;

/// One fault or change.
#[derive(Clone, Debug)]
enum Step {
    Publish(Key),
    /// Two operators change the same document concurrently.
    Race(Key),
    Invalid,
    Restart(usize),
    Stop(usize),
    Platform(bool),
    PlatformCut(usize, bool),
    /// The platform replica that a host reads lags by some revisions.
    Lag(usize, usize),
    /// A host moves to one side of a partition.
    Partition(usize, u32),
}

fn any_key() -> impl Strategy<Value = Key> {
    prop_oneof![Just(Key::Servers), Just(Key::Config)]
}

fn any_step() -> impl Strategy<Value = Step> {
    let host = 0..HOSTS_MAX;
    prop_oneof![
        4 => any_key().prop_map(Step::Publish),
        2 => any_key().prop_map(Step::Race),
        1 => Just(Step::Invalid),
        4 => host.clone().prop_map(Step::Restart),
        1 => host.clone().prop_map(Step::Stop),
        2 => any::<bool>().prop_map(Step::Platform),
        2 => (host.clone(), any::<bool>()).prop_map(|(h, cut)| Step::PlatformCut(h, cut)),
        3 => (host.clone(), 0_usize..4).prop_map(|(h, lag)| Step::Lag(h, lag)),
        2 => (host, 0_u32..2).prop_map(|(h, group)| Step::Partition(h, group)),
    ]
}

#[derive(Clone, Debug)]
struct History {
    hosts: usize,
    seed: u64,
    loss: f64,
    steps: Vec<(u64, Step)>,
}

fn any_history(loss: f64) -> impl Strategy<Value = History> {
    let steps = prop::collection::vec((0_u64..2_500, any_step()), 1..10);
    (2..=HOSTS_MAX, any::<u64>(), steps).prop_map(move |(hosts, seed, steps)| History {
        hosts,
        seed,
        loss,
        steps,
    })
}

fn document(key: Key, number: usize) -> Vec<u8> {
    format!("{{\"of\":\"{}\"}},\n{{\"number\":{number}}}", key.as_str()).into_bytes()
}

fn apply(fleet: &mut Fleet, number: usize, step: &Step) {
    let hosts = fleet.nodes.len();
    match *step {
        Step::Publish(key) => {
            fleet.platform.publish(key, document(key, number));
        }
        Step::Race(key) => {
            fleet.platform.publish(key, document(key, number));
            fleet.platform.publish(key, document(key, number + 1_000));
        }
        Step::Invalid => {
            fleet.platform.publish(Key::Config, INVALID.to_vec());
        }
        Step::Restart(host) => fleet.start(host % hosts),
        Step::Stop(host) => fleet.stop(host % hosts),
        Step::Platform(up) => fleet.platform.up = up,
        Step::PlatformCut(host, cut) => fleet.nodes[host % hosts].platform_cut = cut,
        Step::Lag(host, lag) => fleet.nodes[host % hosts].replica_lag = lag,
        Step::Partition(host, group) => fleet.set_group(host % hosts, group),
    }
}

/// Ends all faults and brings the platform's replicas up to date.
fn heal(fleet: &mut Fleet) {
    fleet.platform.up = true;
    for index in 0..fleet.nodes.len() {
        fleet.set_group(index, 0);
        let node = &mut fleet.nodes[index];
        node.platform_cut = false;
        node.replica_lag = 0;
        if node.replicator.is_none() {
            fleet.start(index);
        }
    }
}

fn check_history(history: &History) -> Result<(), TestCaseError> {
    let mut fleet = Fleet::new(history.hosts, 3, history.seed);
    fleet.platform.publish(Key::Servers, b"{}".to_vec());
    fleet.platform.publish(Key::Config, b"{}".to_vec());
    fleet.start_all();
    fleet.run(2_000);
    fleet.loss = history.loss;
    for (number, (pause_ms, step)) in history.steps.iter().enumerate() {
        fleet.run(*pause_ms);
        apply(&mut fleet, number, step);
    }
    heal(&mut fleet);
    for key in [Key::Servers, Key::Config] {
        fleet.platform.publish(key, document(key, 999));
    }
    for key in Key::ALL {
        let newest = fleet.platform.newest_valid(key);
        let took = fleet.run_until_revision(key, newest, IN_FORCE_MS);
        prop_assert!(took.is_some(), "{key:?} {newest} not in force everywhere");
        let all = fleet.nodes.iter().filter_map(|n| n.replicator.as_ref());
        let exact = all.into_iter().all(|r| r.revision(key) == newest);
        prop_assert!(exact, "{key:?} beyond {newest}");
    }
    prop_assert_eq!(fleet.reverted.take(), None);
    Ok(())
}

fn check_histories(seed: u8, loss: f64) {
    let config = Config {
        cases: HISTORIES,
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    println!("{HISTORIES} histories, seed {seed}, loss {loss}");
    runner
        .run(&any_history(loss), |history| check_history(&history))
        .expect("all histories hold");
}

#[test]
fn never_reverts_and_converges_in_time_seed_1() {
    check_histories(1, 0.0);
}

#[test]
fn never_reverts_and_converges_in_time_seed_2() {
    check_histories(2, 0.0);
}

#[test]
fn never_reverts_and_converges_in_time_with_loss_seed_3() {
    check_histories(3, 0.1);
}

#[test]
fn never_reverts_and_converges_in_time_with_loss_seed_4() {
    check_histories(4, 0.1);
}

#[test]
fn never_reverts_and_converges_in_time_with_loss_seed_5() {
    check_histories(5, 0.1);
}

#[test]
fn node_restarted_at_a_stale_replica_does_not_revert() {
    for seed in 0..50 {
        let mut fleet = Fleet::new(3, 3, seed);
        fleet.platform.publish(Key::Servers, b"{}".to_vec());
        fleet.platform.publish(Key::Config, b"{}".to_vec());
        fleet.start_all();
        fleet.run(2_000);
        let revision = fleet
            .platform
            .publish(Key::Config, document(Key::Config, 1));
        let took = fleet.run_until_revision(Key::Config, revision, IN_FORCE_MS);
        assert!(took.is_some(), "seed {seed}");
        fleet.run(2_000);
        fleet.nodes[0].replica_lag = 1;
        fleet.start(0);
        let took = fleet.run_until_revision(Key::Config, revision, IN_FORCE_MS);
        assert!(took.is_some(), "seed {seed}");
        assert_eq!(fleet.reverted, None, "seed {seed}");
    }
}
