//! Membership and news of leaving servers.

mod recovery_fleet;

use std::time::{Duration, Instant};

use briarbank_core::conf::Replicator;
use briarbank_core::hosts::{Host, HostState, HostView};
use briarbank_core::ids::{Incarnation, Revision};
use briarbank_core::member::{Members, Message, Options, Output, Status, Update};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};
use recovery_fleet::Fleet;

/// Time after the first sign within which all reachable nodes know a leaving server.
const LEAVING_MS: u64 = 3_000;

/// Time within which all nodes agree on a host that stopped or came back.
const AGREE_MS: u64 = 30_000;

fn started(hosts: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(hosts, 3, seed);
    fleet.with_members = true;
    fleet.start_all();
    fleet.run(10_000);
    fleet
}

fn all_know(fleet: &Fleet, server: &str) -> bool {
    let running = fleet
        .slots
        .iter()
        .filter(|s| s.members.is_some() && s.group == 0);
    running
        .into_iter()
        .all(|s| s.leaving.contains_key(&server.into()))
}

#[test]
fn crashed_host_is_dead_everywhere_and_comes_back() {
    for seed in 0..10 {
        let mut fleet = started(8, seed);
        fleet.stop(3);
        let took = fleet.run_while(AGREE_MS, |f| f.agree(3, false));
        assert!(took.is_some(), "seed {seed}: dead");
        fleet.run(60_000);
        fleet.start(3);
        let took = fleet.run_while(AGREE_MS, |f| f.agree(3, true));
        assert!(took.is_some(), "seed {seed}: back");
    }
}

#[test]
fn loss_alone_kills_nobody() {
    for seed in 0..10 {
        let mut fleet = started(8, seed);
        fleet.loss = 0.1;
        for _ in 0..600 {
            fleet.run(100);
            for host in 0..8 {
                assert!(fleet.agree(host, true), "seed {seed}, host {host}");
            }
        }
    }
}

#[test]
fn partition_that_is_not_transitive_kills_nobody() {
    let mut fleet = started(8, 1);
    fleet.blocked.extend([(0, 1), (1, 0), (2, 1), (1, 2)]);
    for _ in 0..600 {
        fleet.run(100);
        for host in 0..8 {
            assert!(fleet.agree(host, true), "host {host}");
        }
    }
}

#[test]
fn halves_of_a_partition_find_each_other_again() {
    let mut fleet = started(8, 2);
    for host in 0..4 {
        fleet.group(host, 1);
    }
    fleet.run(120_000);
    assert_eq!(fleet.slots[0].members.as_ref().unwrap().live_count(), 4);
    for host in 0..4 {
        fleet.group(host, 0);
    }
    let took = fleet.run_while(AGREE_MS, |f| (0..8).all(|host| f.agree(host, true)));
    assert!(took.is_some());
}

#[test]
fn paused_node_wakes_up_and_is_taken_back() {
    let mut fleet = started(8, 3);
    fleet.slots[5].paused = true;
    let took = fleet.run_while(AGREE_MS, |f| f.agree(5, false));
    assert!(took.is_some());
    fleet.resume(5);
    let took = fleet.run_while(AGREE_MS, |f| (0..8).all(|host| f.agree(host, true)));
    assert!(took.is_some());
}

/// A node alone with a list of two hosts, and its first tick.
fn alone(now: Instant) -> Members {
    let host = |name: &str| Host {
        name: name.into(),
        zone: "recife".into(),
        peer_address: "127.0.0.1:1".parse().expect("valid address"),
        state: HostState::Live,
    };
    let view = HostView::new(Revision(1), vec![host("a"), host("b")]);
    let mut members = Members::new("a".into(), Incarnation(1), Options::default(), 1);
    members.set_hosts(now, &view);
    members.tick(now, &mut Vec::new());
    members
}

#[test]
fn suspicion_from_before_a_pause_is_not_trusted() {
    let mut now = Instant::now();
    let mut members = alone(now);
    let status = |members: &Members| members.status(&"b".into()).map(|(_, status)| status);
    while status(&members) != Some(Status::Suspect) {
        now += Duration::from_millis(100);
        members.tick(now, &mut Vec::new());
    }
    now += Duration::from_mins(1);
    let mut out = Vec::new();
    members.tick(now, &mut out);
    assert!(out.iter().any(|o| matches!(o, Output::Paused(_))));
    assert_eq!(status(&members), Some(Status::Suspect));
}

#[test]
fn sign_of_a_server_is_news_once_and_is_forgotten_by_its_age() {
    let now = Instant::now();
    let mut members = alone(now);
    let mut signs = |at: Instant, age_s: u32| {
        let mut out = Vec::new();
        let server = "server".into();
        let updates = Message::Updates(vec![Update::ServerLeaving { server, age_s }]);
        members.handle_message(at, &"b".into(), Incarnation(2), updates, &mut out);
        out.iter().any(|o| matches!(o, Output::ServerLeaving(_)))
    };
    assert!(!signs(now, 600), "too old");
    assert!(signs(now, 5));
    assert!(!signs(now, 0), "the same sign");
    assert!(signs(now + Duration::from_mins(2), 0), "a new departure");
}

#[test]
fn planned_stop_is_known_within_the_bound() {
    for seed in 0..20 {
        let mut fleet = started(8, seed);
        fleet.loss = 0.1;
        fleet.leave(2);
        let took = fleet.run_while(LEAVING_MS, |f| f.agree(2, false));
        assert!(took.is_some(), "seed {seed}");
    }
}

#[test]
fn leaving_server_is_known_at_target_size() {
    let mut fleet = started(390, 4);
    fleet.loss = 0.1;
    let mut slowest = 0;
    for number in 0..5 {
        let server = format!("server-{number}");
        fleet.server_leaving(number * 37, &server);
        let took = fleet.run_while(LEAVING_MS, |f| all_know(f, &server));
        slowest = slowest.max(took.expect("known in time"));
        fleet.run(2_000);
    }
    println!("390 nodes, loss 10 %: known everywhere within {slowest} ms");
}

/// A fault while signs of leaving servers travel.
#[derive(Clone, Debug)]
enum Step {
    Sign(usize),
    Restart(usize),
    Stop(usize),
    Partition(usize, u32),
}

fn any_step() -> impl Strategy<Value = Step> {
    let host = 0..8_usize;
    prop_oneof![
        3 => host.clone().prop_map(Step::Sign),
        1 => host.clone().prop_map(Step::Restart),
        1 => host.clone().prop_map(Step::Stop),
        2 => (host, 0_u32..2).prop_map(|(h, group)| Step::Partition(h, group)),
    ]
}

/// Signs reach all nodes within the bound after the last fault.
fn check(seed: u64, steps: &[(u64, Step)]) -> Result<(), TestCaseError> {
    let mut fleet = Fleet::new(8, 3, seed);
    fleet.with_members = true;
    fleet.start_all();
    fleet.run(5_000);
    fleet.loss = 0.1;
    for (pause_ms, step) in steps {
        fleet.run(*pause_ms);
        match *step {
            Step::Sign(host) => fleet.server_leaving(host, "early"),
            Step::Restart(host) => fleet.start(host),
            Step::Stop(host) => fleet.stop(host),
            Step::Partition(host, group) => fleet.group(host, group),
        }
    }
    for host in 0..8 {
        fleet.group(host, 0);
        if fleet.slots[host].members.is_none() {
            fleet.start(host);
        }
    }
    // A node is reachable once it has the host list and the others take it for live.
    let healed = fleet.run_while(AGREE_MS, |f| {
        let listed = f
            .slots
            .iter()
            .all(|s| s.replicator.as_ref().is_some_and(Replicator::is_synced));
        listed && (0..8).all(|host| f.agree(host, true))
    });
    prop_assert!(healed.is_some(), "not healed");
    let early = fleet
        .slots
        .iter()
        .any(|s| s.leaving.contains_key(&"early".into()));
    fleet.server_leaving(seed as usize % 8, "late");
    let took = fleet.run_while(LEAVING_MS, |f| {
        all_know(f, "late") && (!early || all_know(f, "early"))
    });
    prop_assert!(
        took.is_some(),
        "early: {early}, late: {}",
        all_know(&fleet, "late")
    );
    Ok(())
}

fn check_histories(seed: u8, cases: u32) {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = prop::collection::vec((0_u64..4_000, any_step()), 1..6);
    println!("{cases} histories, seed {seed}, loss 10 %");
    runner
        .run(&(any::<u64>(), steps), |(seed, steps)| check(seed, &steps))
        .expect("no history violates");
}

/// A host that had objected once did not tell again those who missed it.
#[test]
fn objection_is_told_again_to_who_missed_it() {
    let steps = [
        (0, Step::Partition(1, 1)),
        (2_001, Step::Partition(4, 1)),
        (1_601, Step::Sign(0)),
        (2_601, Step::Restart(4)),
    ];
    check(1_462_587_210_801_064_093, &steps).expect("healed");
}

#[test]
fn leaving_server_is_known_within_the_bound_seed_1() {
    check_histories(1, 1_000);
}

#[test]
fn leaving_server_is_known_within_the_bound_seed_2() {
    check_histories(2, 1_000);
}

#[test]
fn leaving_server_is_known_within_the_bound_seed_3() {
    check_histories(3, 1_000);
}

#[test]
fn leaving_server_is_known_within_the_bound_seed_4() {
    check_histories(4, 1_000);
}
