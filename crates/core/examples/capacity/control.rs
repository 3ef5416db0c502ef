//! Cost of replicating values and of membership at several fleet sizes.

use std::time::Duration;

use briarbank_core::conf::Key;
use briarbank_core::ids::Revision;

use crate::fit;
use crate::recovery_fleet::Fleet;

const SIZES: [usize; 8] = [2, 4, 8, 16, 32, 64, 130, 390];
const ZONES: usize = 6;
const WINDOW_MS: u64 = 60_000;

/// Bytes of frame, TCP and IP headers on a message that is sent on its own.
const HEADER_BYTES: f64 = 9.0 + 4.0 + 32.0 + 20.0;

fn document(items: usize, changed: usize, mark: u64) -> Vec<u8> {
    let item = |i: usize| {
        let mark = if i == changed { mark } else { 0 };
        format!("{{\"name\":\"w{i:05}\",\"weight\":1.0,\"in_flight_limit\":{mark}}}")
    };
    let list: Vec<String> = (0..items).map(item).collect();
    format!("{{\"workspaces\":[{}]}}", list.join(",")).into_bytes()
}

fn start_fleet(hosts: usize, items: usize) -> Fleet {
    let mut fleet = Fleet::new(hosts, ZONES, 1);
    fleet.with_members = true;
    fleet.platform.publish(Key::Servers, b"{}".to_vec());
    fleet.platform.publish(Key::Config, document(items, 0, 0));
    fleet.start_all();
    fleet.run(60_000);
    fleet.measure = true;
    reset(&mut fleet);
    fleet
}

fn reset(fleet: &mut Fleet) {
    for node in &mut fleet.nodes {
        node.sent_bytes = 0;
        node.sent_member_bytes = 0;
        node.sent_messages = 0;
    }
    fleet.replicator_time = Duration::ZERO;
    fleet.members_time = Duration::ZERO;
}

struct Rates {
    conf_bytes: f64,
    member_bytes: f64,
    messages: f64,
    largest_bytes: f64,
    replication_us: f64,
    members_us: f64,
}

/// Returns what a node sends and computes per second, on average and at most.
fn rates(fleet: &Fleet, window_ms: u64) -> Rates {
    let seconds = window_ms as f64 / 1_000.0;
    let hosts = fleet.nodes.len() as f64;
    let node_average = |of: fn(&crate::recovery_fleet::SimNode) -> u64| {
        fleet.nodes.iter().map(of).sum::<u64>() as f64 / seconds / hosts
    };
    let member_bytes = node_average(|s| s.sent_member_bytes);
    let on_wire = |s: &crate::recovery_fleet::SimNode| {
        (s.sent_bytes as f64 + HEADER_BYTES * s.sent_messages as f64) / seconds
    };
    Rates {
        conf_bytes: node_average(|s| s.sent_bytes) - member_bytes,
        member_bytes,
        messages: node_average(|s| s.sent_messages),
        largest_bytes: fleet.nodes.iter().map(on_wire).fold(0.0, f64::max),
        replication_us: fleet.replicator_time.as_secs_f64() * 1e6 / seconds / hosts,
        members_us: fleet.members_time.as_secs_f64() * 1e6 / seconds / hosts,
    }
}

/// Prints the cost of control without changes and faults.
pub(crate) fn print_idle() {
    println!("## Values and membership without changes, per node and second ({WINDOW_MS} ms)\n");
    println!(
        "| nodes | values, B | membership, B | messages | with headers, B | largest node, B | values, us | membership, us | platform calls per minute |"
    );
    println!("|--:|--:|--:|--:|--:|--:|--:|--:|--:|");
    let (mut bytes, mut time) = (Vec::new(), Vec::new());
    for hosts in SIZES {
        let mut fleet = start_fleet(hosts, 10);
        let calls = fleet.platform.calls;
        fleet.run(WINDOW_MS);
        let r = rates(&fleet, WINDOW_MS);
        let payload = r.conf_bytes + r.member_bytes;
        let wire = payload + HEADER_BYTES * r.messages;
        println!(
            "| {hosts} | {:.0} | {:.0} | {:.1} | {wire:.0} | {:.0} | {:.0} | {:.0} | {} |",
            r.conf_bytes,
            r.member_bytes,
            r.messages,
            r.largest_bytes,
            r.replication_us,
            r.members_us,
            fleet.platform.calls - calls
        );
        if hosts >= 8 {
            bytes.push((hosts as f64, wire));
            time.push((hosts as f64, r.replication_us + r.members_us));
        }
    }
    println!();
    fit::print("bytes with headers from 8 nodes on", "B/s", &bytes);
    fit::print("processor time from 8 nodes on", "us/s", &time);
}

struct Changes {
    /// Bytes with headers that a change adds per node.
    bytes: f64,
    deltas: f64,
    slowest_ms: u64,
}

fn measure_changes(hosts: usize, items: usize, loss: f64) -> Changes {
    const COUNT: u64 = 8;
    let mut fleet = start_fleet(hosts, items);
    fleet.loss = loss;
    fleet.run(WINDOW_MS);
    let idle = rates(&fleet, WINDOW_MS);
    reset(&mut fleet);
    let mut slowest_ms = 0;
    for number in 1..=COUNT {
        let changed_item = number as usize * items / 10;
        let revision = fleet
            .platform
            .publish(Key::Config, document(items, changed_item, number));
        let elapsed_ms = fleet.run_until_revision(Key::Config, revision, 10_000);
        slowest_ms = slowest_ms.max(elapsed_ms.unwrap_or(u64::MAX));
        fleet.run(7_500_u64.saturating_sub(elapsed_ms.unwrap_or(0)));
    }
    let rates = rates(&fleet, 7_500 * COUNT);
    let wire = |r: &Rates| r.conf_bytes + r.member_bytes + HEADER_BYTES * r.messages;
    Changes {
        bytes: (wire(&rates) - wire(&idle)) * 7.5,
        deltas: fleet.deltas as f64 / COUNT as f64 / hosts as f64,
        slowest_ms,
    }
}

/// Returns the time until 50 simultaneous changes are in force on all nodes.
fn burst_ms(hosts: usize) -> Option<u64> {
    let mut fleet = start_fleet(hosts, 200);
    fleet.loss = 0.1;
    let mut last = Revision(0);
    for number in 0..50 {
        last = fleet
            .platform
            .publish(Key::Config, document(200, number, 7));
    }
    fleet.run_until_revision(Key::Config, last, 10_000)
}

/// Prints the cost of control with changes of a document.
pub(crate) fn print_changes() {
    println!("## Changes of one item in a document of 1,000\n");
    println!(
        "| nodes | bytes per change and node | deltas per change and node | in force, ms | with 10 % loss, ms | 50 at once with 10 % loss, ms |"
    );
    println!("|--:|--:|--:|--:|--:|--:|");
    for hosts in [8, 32, 130, 390] {
        let (quiet, lossy) = (
            measure_changes(hosts, 1_000, 0.0),
            measure_changes(hosts, 1_000, 0.1),
        );
        println!(
            "| {hosts} | {:.0} | {:.2} | {} | {} | {:?} |",
            quiet.bytes,
            quiet.deltas,
            quiet.slowest_ms,
            lossy.slowest_ms,
            burst_ms(hosts)
        );
    }
    println!();
}

/// Prints the bytes with headers that nodes send per second after a zone has crashed.
pub(crate) fn print_zone() {
    const HOSTS: usize = 390;
    println!("## A zone of 65 of {HOSTS} nodes crashes and starts again after 60 s\n");
    println!("| seconds | bytes per node and second | largest node in its worst second, B |");
    println!("|:--|--:|--:|");
    let mut fleet = start_fleet(HOSTS, 10);
    let zone: Vec<usize> = (0..HOSTS).filter(|i| i % ZONES == 2).collect();
    for host in &zone {
        fleet.stop(*host);
    }
    for window in 0..12 {
        if window == 6 {
            for host in &zone {
                fleet.start(*host);
            }
        }
        let (mut sum, mut largest) = (0.0, 0.0_f64);
        for _ in 0..10 {
            reset(&mut fleet);
            fleet.run(1_000);
            let rates = rates(&fleet, 1_000);
            largest = largest.max(rates.largest_bytes);
            sum += rates.conf_bytes + rates.member_bytes + HEADER_BYTES * rates.messages;
        }
        let from = window * 10;
        println!(
            "| {from} to {} | {:.0} | {largest:.0} |",
            from + 10,
            sum / 10.0
        );
    }
    println!();
}
