//! Spread of published values between nodes.

mod recovery_fleet;

use briarbank_core::conf::Key;
use briarbank_core::hosts::HostState;
use briarbank_core::ids::Revision;
use recovery_fleet::Fleet;

/// Time within which a change is in force everywhere.
const IN_FORCE_MS: u64 = 10_000;

/// Zones at the target size.
const ZONES: usize = 6;

/// Watches of one value that fit into a minute.
const WATCHES_PER_MIN: usize = 13;

/// A document of `items` workspaces where item `changed` has a mark.
fn document(items: usize, changed: usize, mark: u64) -> Vec<u8> {
    let item = |i: usize| {
        let mark = if i == changed { mark } else { 0 };
        format!("{{\"name\":\"w{i:05}\",\"weight\":1.0,\"in_flight_limit\":{mark}}}")
    };
    let list: Vec<String> = (0..items).map(item).collect();
    format!("{{\"workspaces\":[{}]}}", list.join(",")).into_bytes()
}

fn started(hosts: usize, zones: usize, seed: u64, items: usize) -> Fleet {
    let mut fleet = Fleet::new(hosts, zones, seed);
    fleet.platform.publish(Key::Servers, b"{}".to_vec());
    fleet.platform.publish(Key::Config, document(items, 0, 0));
    fleet.start_all();
    fleet.run(IN_FORCE_MS);
    assert!(fleet.all_have(Key::Config, Revision(3)), "cold start");
    fleet
}

#[test]
fn change_travels_as_delta() {
    let mut fleet = started(8, 3, 1, 1_000);
    fleet.measure = true;
    let revision = fleet.platform.publish(Key::Config, document(1_000, 500, 7));
    let took = fleet.run_until(Key::Config, revision, IN_FORCE_MS);
    assert!(took.is_some());
    assert_eq!(fleet.whole_values, 0);
    assert!(fleet.deltas <= 8, "{} deltas", fleet.deltas);
}

#[test]
fn burst_is_in_force_everywhere_with_loss() {
    for seed in 0..20 {
        let mut fleet = started(8, 3, seed, 200);
        fleet.loss = 0.1;
        let mut last = Revision(0);
        for i in 0..50 {
            last = fleet.platform.publish(Key::Config, document(200, i, 9));
        }
        let took = fleet.run_until(Key::Config, last, IN_FORCE_MS);
        assert!(took.is_some(), "seed {seed}");
    }
}

#[test]
fn burst_is_in_force_at_target_size_with_loss() {
    let mut fleet = started(390, 6, 5, 20);
    fleet.loss = 0.1;
    let mut last = Revision(0);
    for i in 0..50 {
        last = fleet
            .platform
            .publish(Key::Config, document(20, i % 20, i as u64));
    }
    assert!(fleet.run_until(Key::Config, last, IN_FORCE_MS).is_some());
}

#[test]
fn node_starting_in_outage_serves_from_peers() {
    let mut fleet = started(8, 3, 2, 50);
    fleet.platform.up = false;
    fleet.start(4);
    assert!(
        fleet
            .run_until(Key::Config, Revision(3), IN_FORCE_MS)
            .is_some()
    );
}

#[test]
fn invalid_document_is_refused_and_visible_everywhere() {
    let mut fleet = started(8, 3, 3, 50);
    let invalid = fleet
        .platform
        .publish(Key::Config, recovery_fleet::documents::INVALID.to_vec());
    fleet.run(IN_FORCE_MS);
    for slot in &fleet.slots {
        let replicator = slot.replicator.as_ref().unwrap();
        assert_eq!(replicator.revision(Key::Config), Revision(3));
        assert_eq!(replicator.refused(Key::Config).unwrap().revision, invalid);
    }
    let mended = fleet.platform.publish(Key::Config, document(50, 1, 1));
    assert!(fleet.run_until(Key::Config, mended, IN_FORCE_MS).is_some());
    let replicator = fleet.slots[0].replicator.as_ref().unwrap();
    assert_eq!(replicator.refused(Key::Config), None);
}

#[test]
fn others_read_in_turn_when_all_readers_are_cut_off() {
    let mut fleet = started(24, 3, 4, 50);
    for slot in &mut fleet.slots {
        slot.platform_cut = slot.replicator.as_ref().unwrap().watching();
    }
    let cut = fleet.slots.iter().filter(|s| s.platform_cut).count();
    assert_eq!(cut, 6);
    let revision = fleet.platform.publish(Key::Config, document(50, 1, 1));
    let took = fleet.run_until(Key::Config, revision, 40_000);
    assert!(took.is_some());
}

/// Readers were taken from live hosts only, so that nobody read any more.
#[test]
fn hosts_that_are_all_leaving_learn_the_next_list() {
    let mut fleet = started(4, 2, 7, 10);
    let leaving = fleet.publish_first_hosts(4, HostState::Leaving);
    assert!(fleet.run_until(Key::Hosts, leaving, IN_FORCE_MS).is_some());
    let live = fleet.publish_first_hosts(4, HostState::Live);
    assert!(fleet.run_until(Key::Hosts, live, IN_FORCE_MS).is_some());
}

/// Nobody tells a host that the list does not name, so that it has to read.
#[test]
fn unlisted_host_learns_the_list_that_names_it() {
    let mut fleet = Fleet::new(8, 3, 8);
    let named = fleet.publish_first_hosts(7, HostState::Live);
    fleet.start_all();
    assert!(fleet.run_until(Key::Hosts, named, IN_FORCE_MS).is_some());
    fleet.group(7, 1);
    let all = fleet.publish_first_hosts(8, HostState::Live);
    assert!(fleet.run_until(Key::Hosts, all, IN_FORCE_MS).is_some());
}

#[test]
fn platform_calls_do_not_grow_with_the_fleet() {
    for hosts in [2, 4, 8, 16, 32, 64, 130, 390] {
        let mut fleet = started(hosts, ZONES, 6, 10);
        let before = fleet.platform.calls;
        fleet.run(60_000);
        let calls = fleet.platform.calls - before;
        let readers = hosts.min(2 * ZONES);
        println!("{hosts} hosts, {readers} readers: {calls} calls a minute without changes");
        assert!(calls as usize <= readers * Key::ALL.len() * WATCHES_PER_MIN);
    }
}
