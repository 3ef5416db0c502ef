//! Replication of published values between nodes.

mod recovery_fleet;

use briarbank_core::conf::Key;
use briarbank_core::hosts::HostState;
use briarbank_core::ids::Revision;
use recovery_fleet::Fleet;

/// Time within which a change is in force everywhere.
const IN_FORCE_MS: u64 = 10_000;

/// Number of zones at the target size.
const ZONES: usize = 6;

/// Maximum number of watches of one value in a minute.
const WATCHES_PER_MIN: usize = 13;

/// Returns a document of `items` workspaces in which item `changed` has a mark.
fn document(items: usize, changed: usize, mark: u64) -> Vec<u8> {
    let item = |i: usize| {
        let mark = if i == changed { mark } else { 0 };
        format!("{{\"name\":\"w{i:05}\",\"weight\":1.0,\"in_flight_limit\":{mark}}}")
    };
    let list: Vec<String> = (0..items).map(item).collect();
    format!("{{\"workspaces\":[{}]}}", list.join(",")).into_bytes()
}

fn started_fleet(hosts: usize, zones: usize, seed: u64, items: usize) -> Fleet {
    let mut fleet = Fleet::new(hosts, zones, seed);
    fleet.platform.publish(Key::Servers, b"{}".to_vec());
    fleet.platform.publish(Key::Config, document(items, 0, 0));
    fleet.start_all();
    fleet.run(IN_FORCE_MS);
    assert!(fleet.all_have(Key::Config, Revision(3)), "cold start");
    fleet
}

#[test]
fn change_is_sent_as_delta() {
    let mut fleet = started_fleet(8, 3, 1, 1_000);
    fleet.measure = true;
    let revision = fleet.platform.publish(Key::Config, document(1_000, 500, 7));
    let took = fleet.run_until_revision(Key::Config, revision, IN_FORCE_MS);
    assert!(took.is_some());
    assert_eq!(fleet.whole_values, 0);
    assert!(fleet.deltas <= 8, "{} deltas", fleet.deltas);
}

/// Guards against congestion: transfers of a whole document that are begun again before
/// they are done, over links that all of them share.
#[test]
fn a_rewritten_document_is_in_force_over_slow_links() {
    /// 10 Mbit/s, over which the document takes half a second.
    const UPLINK_BYTES_PER_MS: u64 = 1_250;
    /// Mean number of copies that a node is sent.
    const COPIES_MAX: u64 = 2;
    for (hosts, zones) in [(24, 3), (86, ZONES)] {
        let mut fleet = started_fleet(hosts, zones, 9, 12_000);
        fleet.uplink_bytes_per_ms = Some(UPLINK_BYTES_PER_MS);
        fleet.measure = true;
        let text = String::from_utf8(document(12_000, 0, 1)).unwrap();
        let rewritten = text.replace("1.0", "2.0").into_bytes();
        let revision = fleet.platform.publish(Key::Config, rewritten);
        let took = fleet.run_until_revision(Key::Config, revision, IN_FORCE_MS);
        println!("{hosts} hosts: {took:?} ms, {} copies", fleet.whole_values);
        assert!(took.is_some(), "{hosts} hosts");
        assert!(fleet.whole_values <= COPIES_MAX * hosts as u64);
    }
}

#[test]
fn burst_is_in_force_everywhere_with_loss() {
    for seed in 0..20 {
        let mut fleet = started_fleet(8, 3, seed, 200);
        fleet.loss = 0.1;
        let mut last = Revision(0);
        for i in 0..50 {
            last = fleet.platform.publish(Key::Config, document(200, i, 9));
        }
        let took = fleet.run_until_revision(Key::Config, last, IN_FORCE_MS);
        assert!(took.is_some(), "seed {seed}");
    }
}

#[test]
fn burst_is_in_force_at_target_size_with_loss() {
    let mut fleet = started_fleet(390, 6, 5, 20);
    fleet.loss = 0.1;
    let mut last = Revision(0);
    for i in 0..50 {
        last = fleet
            .platform
            .publish(Key::Config, document(20, i % 20, i as u64));
    }
    assert!(
        fleet
            .run_until_revision(Key::Config, last, IN_FORCE_MS)
            .is_some()
    );
}

#[test]
fn node_starting_in_outage_serves_from_peers() {
    let mut fleet = started_fleet(8, 3, 2, 50);
    fleet.platform.up = false;
    fleet.start(4);
    assert!(
        fleet
            .run_until_revision(Key::Config, Revision(3), IN_FORCE_MS)
            .is_some()
    );
}

#[test]
fn invalid_document_is_refused_and_visible_everywhere() {
    let mut fleet = started_fleet(8, 3, 3, 50);
    let invalid = fleet
        .platform
        .publish(Key::Config, recovery_fleet::documents::INVALID.to_vec());
    fleet.run(IN_FORCE_MS);
    for node in &fleet.nodes {
        let replicator = node.replicator.as_ref().unwrap();
        assert_eq!(replicator.revision(Key::Config), Revision(3));
        assert_eq!(replicator.refused(Key::Config).unwrap().revision, invalid);
    }
    let fixed = fleet.platform.publish(Key::Config, document(50, 1, 1));
    assert!(
        fleet
            .run_until_revision(Key::Config, fixed, IN_FORCE_MS)
            .is_some()
    );
    let replicator = fleet.nodes[0].replicator.as_ref().unwrap();
    assert_eq!(replicator.refused(Key::Config), None);
}

#[test]
fn others_read_in_turn_when_all_readers_are_cut_off() {
    let mut fleet = started_fleet(24, 3, 4, 50);
    for node in &mut fleet.nodes {
        node.platform_cut = node.replicator.as_ref().unwrap().watching();
    }
    let cut_count = fleet.nodes.iter().filter(|n| n.platform_cut).count();
    assert_eq!(cut_count, 6);
    let revision = fleet.platform.publish(Key::Config, document(50, 1, 1));
    let took = fleet.run_until_revision(Key::Config, revision, 40_000);
    assert!(took.is_some());
}

/// Guards against readers chosen from live hosts only: with all hosts leaving,
/// no node reads the platform.
#[test]
fn hosts_that_are_all_leaving_receive_the_next_list() {
    let mut fleet = started_fleet(4, 2, 7, 10);
    let leaving = fleet.publish_first_hosts(4, HostState::Leaving);
    assert!(
        fleet
            .run_until_revision(Key::Hosts, leaving, IN_FORCE_MS)
            .is_some()
    );
    let live = fleet.publish_first_hosts(4, HostState::Live);
    assert!(
        fleet
            .run_until_revision(Key::Hosts, live, IN_FORCE_MS)
            .is_some()
    );
}

/// An unlisted host receives no digests from peers and has to read the platform.
#[test]
fn unlisted_host_receives_the_list_that_adds_it() {
    let mut fleet = Fleet::new(8, 3, 8);
    let named = fleet.publish_first_hosts(7, HostState::Live);
    fleet.start_all();
    assert!(
        fleet
            .run_until_revision(Key::Hosts, named, IN_FORCE_MS)
            .is_some()
    );
    fleet.set_group(7, 1);
    let all = fleet.publish_first_hosts(8, HostState::Live);
    assert!(
        fleet
            .run_until_revision(Key::Hosts, all, IN_FORCE_MS)
            .is_some()
    );
}

#[test]
fn platform_calls_do_not_grow_with_the_fleet() {
    for hosts in [2, 4, 8, 16, 32, 64, 130, 390] {
        let mut fleet = started_fleet(hosts, ZONES, 6, 10);
        let before = fleet.platform.calls;
        fleet.run(60_000);
        let calls = fleet.platform.calls - before;
        let readers = hosts.min(2 * ZONES);
        println!("{hosts} hosts, {readers} readers: {calls} calls a minute without changes");
        assert!(calls as usize <= readers * Key::ALL.len() * WATCHES_PER_MIN);
    }
}
