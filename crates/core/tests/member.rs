//! Membership and dissemination of leaving servers.

mod recovery_fleet;

use std::time::{Duration, Instant};

use briarbank_core::conf::Replicator;
use briarbank_core::hosts::{Host, HostState, HostView};
use briarbank_core::ids::{Incarnation, Revision};
use briarbank_core::member::{Members, Message, Options, Output, Status, Update};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};
use recovery_fleet::Fleet;

/// Time after an announcement within which all reachable nodes know a leaving server.
const LEAVING_MS: u64 = 3_000;

/// Time within which all nodes agree on a host that stopped or rejoined.
const AGREE_MS: u64 = 30_000;

fn started_fleet(hosts: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(hosts, 3, seed);
    fleet.with_members = true;
    fleet.start_all();
    fleet.run(10_000);
    fleet
}

fn all_know(fleet: &Fleet, server: &str) -> bool {
    let running = fleet
        .nodes
        .iter()
        .filter(|n| n.members.is_some() && n.group == 0);
    running
        .into_iter()
        .all(|n| n.leaving.contains_key(&server.into()))
}

#[test]
fn crashed_host_is_declared_dead_and_rejoins() {
    for seed in 0..10 {
        let mut fleet = started_fleet(8, seed);
        fleet.stop(3);
        let took = fleet.run_until(AGREE_MS, |f| f.all_agree(3, false));
        assert!(took.is_some(), "seed {seed}: declared dead");
        fleet.run(60_000);
        fleet.start(3);
        let took = fleet.run_until(AGREE_MS, |f| f.all_agree(3, true));
        assert!(took.is_some(), "seed {seed}: rejoined");
    }
}

#[test]
fn packet_loss_alone_declares_no_host_dead() {
    for seed in 0..10 {
        let mut fleet = started_fleet(8, seed);
        fleet.loss = 0.1;
        for _ in 0..600 {
            fleet.run(100);
            for host in 0..8 {
                assert!(fleet.all_agree(host, true), "seed {seed}, host {host}");
            }
        }
    }
}

#[test]
fn non_transitive_partition_declares_no_host_dead() {
    let mut fleet = started_fleet(8, 1);
    fleet.blocked.extend([(0, 1), (1, 0), (2, 1), (1, 2)]);
    for _ in 0..600 {
        fleet.run(100);
        for host in 0..8 {
            assert!(fleet.all_agree(host, true), "host {host}");
        }
    }
}

#[test]
fn halves_of_a_healed_partition_merge() {
    let mut fleet = started_fleet(8, 2);
    for host in 0..4 {
        fleet.set_group(host, 1);
    }
    fleet.run(120_000);
    assert_eq!(fleet.nodes[0].members.as_ref().unwrap().live_count(), 4);
    for host in 0..4 {
        fleet.set_group(host, 0);
    }
    let took = fleet.run_until(AGREE_MS, |f| (0..8).all(|host| f.all_agree(host, true)));
    assert!(took.is_some());
}

#[test]
fn paused_node_rejoins_after_it_resumes() {
    let mut fleet = started_fleet(8, 3);
    fleet.nodes[5].paused = true;
    let took = fleet.run_until(AGREE_MS, |f| f.all_agree(5, false));
    assert!(took.is_some());
    fleet.resume(5);
    let took = fleet.run_until(AGREE_MS, |f| (0..8).all(|host| f.all_agree(host, true)));
    assert!(took.is_some());
}

/// Returns the membership of one node with a list of two hosts, after its first tick.
fn lone_member(now: Instant) -> Members {
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
fn suspicion_from_before_a_pause_does_not_expire_at_once() {
    let mut now = Instant::now();
    let mut members = lone_member(now);
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
fn announcement_of_a_server_is_reported_once_and_expires_by_age() {
    let now = Instant::now();
    let mut members = lone_member(now);
    let mut announce = |at: Instant, age_s: u32| {
        let mut out = Vec::new();
        let server = "server".into();
        let updates = Message::Updates(vec![Update::ServerLeaving { server, age_s }]);
        members.handle_message(at, &"b".into(), Incarnation(2), updates, &mut out);
        out.iter().any(|o| matches!(o, Output::ServerLeaving(_)))
    };
    assert!(!announce(now, 600), "too old");
    assert!(announce(now, 5));
    assert!(!announce(now, 0), "repeated announcement");
    assert!(announce(now + Duration::from_mins(2), 0), "a new departure");
}

#[test]
fn graceful_shutdown_is_known_within_the_bound() {
    for seed in 0..20 {
        let mut fleet = started_fleet(8, seed);
        fleet.loss = 0.1;
        fleet.leave(2);
        let took = fleet.run_until(LEAVING_MS, |f| f.all_agree(2, false));
        assert!(took.is_some(), "seed {seed}");
    }
}

#[test]
fn leaving_server_is_known_at_target_size() {
    let mut fleet = started_fleet(390, 4);
    fleet.loss = 0.1;
    let mut slowest = 0;
    for number in 0..5 {
        let server = format!("server-{number}");
        fleet.server_leaving(number * 37, &server);
        let took = fleet.run_until(LEAVING_MS, |f| all_know(f, &server));
        slowest = slowest.max(took.expect("known within the bound"));
        fleet.run(2_000);
    }
    println!("390 nodes, loss 10 %: known everywhere within {slowest} ms");
}

/// A fault or an announcement of a leaving server.
#[derive(Clone, Debug)]
enum Step {
    Announce(usize),
    Restart(usize),
    Stop(usize),
    Partition(usize, u32),
}

fn any_step() -> impl Strategy<Value = Step> {
    let host = 0..8_usize;
    prop_oneof![
        3 => host.clone().prop_map(Step::Announce),
        1 => host.clone().prop_map(Step::Restart),
        1 => host.clone().prop_map(Step::Stop),
        2 => (host, 0_u32..2).prop_map(|(h, group)| Step::Partition(h, group)),
    ]
}

/// Checks that announcements reach all nodes within the bound after the last fault.
fn check_history(seed: u64, steps: &[(u64, Step)]) -> Result<(), TestCaseError> {
    let mut fleet = Fleet::new(8, 3, seed);
    fleet.with_members = true;
    fleet.start_all();
    fleet.run(5_000);
    fleet.loss = 0.1;
    for (pause_ms, step) in steps {
        fleet.run(*pause_ms);
        match *step {
            Step::Announce(host) => fleet.server_leaving(host, "early"),
            Step::Restart(host) => fleet.start(host),
            Step::Stop(host) => fleet.stop(host),
            Step::Partition(host, group) => fleet.set_group(host, group),
        }
    }
    for host in 0..8 {
        fleet.set_group(host, 0);
        if fleet.nodes[host].members.is_none() {
            fleet.start(host);
        }
    }
    // A node is reachable once it has the host list and the others consider it live.
    let healed = fleet.run_until(AGREE_MS, |f| {
        let listed = f
            .nodes
            .iter()
            .all(|n| n.replicator.as_ref().is_some_and(Replicator::is_synced));
        listed && (0..8).all(|host| f.all_agree(host, true))
    });
    prop_assert!(healed.is_some(), "not healed");
    let early = fleet
        .nodes
        .iter()
        .any(|n| n.leaving.contains_key(&"early".into()));
    fleet.server_leaving(seed as usize % 8, "late");
    let took = fleet.run_until(LEAVING_MS, |f| {
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
        .run(&(any::<u64>(), steps), |(seed, steps)| {
            check_history(seed, &steps)
        })
        .expect("all histories hold");
}

/// Guards against a host that refutes a suspicion only once: peers that missed
/// the refutation then keep suspecting it.
#[test]
fn refutation_is_resent_to_peers_that_missed_it() {
    let steps = [
        (0, Step::Partition(1, 1)),
        (2_001, Step::Partition(4, 1)),
        (1_601, Step::Announce(0)),
        (2_601, Step::Restart(4)),
    ];
    check_history(1_462_587_210_801_064_093, &steps).expect("announcements reach all nodes");
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
