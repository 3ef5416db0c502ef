//! Recovery from failures at the target size, and the load on the platform.

mod recovery_fleet;

use briarbank_core::conf::{Key, Replicator};
use briarbank_core::ids::{HostName, Revision, ServerName};
use briarbank_core::rendezvous;
use briarbank_core::subset::{Options, Subsets};
use recovery_fleet::Fleet;

/// Number of hosts at the target size.
const HOSTS: usize = 390;
/// Number of zones at the target size.
const ZONES: usize = 6;

/// Maximum rate of reads that the platform serves to all nodes together.
const PLATFORM_CALLS_PER_S: u64 = 2_000;

/// Time within which an accepted change is in force everywhere.
const IN_FORCE_MS: u64 = 10_000;

/// Time within which all nodes agree on the membership again.
const STEADY_MS: u64 = 60_000;

fn started_fleet(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(HOSTS, ZONES, seed);
    fleet.with_members = true;
    fleet.platform.publish(Key::Servers, b"{}".to_vec());
    fleet.platform.publish(Key::Config, b"{}".to_vec());
    fleet.start_all();
    let took = fleet.run_until(IN_FORCE_MS, ready);
    println!("{HOSTS} hosts start at once: ready after {took:?} ms");
    assert!(took.is_some());
    fleet.run(3_000);
    fleet
}

/// Whether all running nodes have all values in force.
fn ready(fleet: &Fleet) -> bool {
    let mut replicators = fleet.nodes.iter().filter_map(|n| n.replicator.as_ref());
    replicators.all(|r| r.is_synced() && Key::ALL.iter().all(|key| r.revision(*key) > Revision(0)))
}

fn agree_on(fleet: &Fleet, hosts: &[usize], usable: bool) -> bool {
    hosts.iter().all(|host| fleet.all_agree(*host, usable))
}

/// Returns the maximum number of platform calls in a second from `since_ms` on.
fn peak_calls(fleet: &Fleet, since_ms: u64) -> u64 {
    let seconds = fleet.platform.calls_by_second.range(since_ms / 1_000..);
    seconds.map(|(_, calls)| *calls).max().unwrap_or(0)
}

/// Crashes hosts at once, restarts them at once and checks the recovery times.
fn crash_and_restart(fleet: &mut Fleet, hosts: &[usize]) {
    let since_ms = fleet.now_ms;
    for host in hosts {
        fleet.stop(*host);
    }
    let dead = fleet.run_until(STEADY_MS, |f| agree_on(f, hosts, false));
    let change = fleet.platform.publish(Key::Config, b"{ }".to_vec());
    let in_force = fleet.run_until_revision(Key::Config, change, IN_FORCE_MS);
    for host in hosts {
        fleet.start(*host);
    }
    let up = fleet.run_until(IN_FORCE_MS, ready);
    let back = fleet.run_until(STEADY_MS, |f| agree_on(f, hosts, true));
    let peak = peak_calls(fleet, since_ms);
    println!(
        "{} hosts crash: declared dead after {dead:?} ms, a change in force after {in_force:?} ms; \
         restart: ready after {up:?} ms, rejoined after {back:?} ms more; \
         at most {peak} platform calls/s",
        hosts.len()
    );
    assert!(dead.is_some() && in_force.is_some() && up.is_some() && back.is_some());
    assert!(peak <= PLATFORM_CALLS_PER_S);
    assert_eq!(fleet.reverted, None);
}

#[test]
fn rack_and_zone_crash_and_restart() {
    let mut fleet = started_fleet(1);
    assert!(peak_calls(&fleet, 0) <= PLATFORM_CALLS_PER_S);
    println!(
        "cold start: at most {} platform calls/s",
        peak_calls(&fleet, 0)
    );
    let rack: Vec<usize> = (100..120).collect();
    crash_and_restart(&mut fleet, &rack);
    let zone: Vec<usize> = (0..HOSTS).filter(|i| i % ZONES == 2).collect();
    crash_and_restart(&mut fleet, &zone);
}

#[test]
fn regions_partitioned_for_minutes_converge_again() {
    let mut fleet = started_fleet(2);
    // Two of six zones are cut off, also from the platform.
    let cut: Vec<usize> = (0..HOSTS).filter(|i| i % ZONES < 2).collect();
    let since_ms = fleet.now_ms;
    for host in &cut {
        fleet.set_group(*host, 1);
        fleet.nodes[*host].platform_cut = true;
    }
    fleet.run(2_000);
    let change = fleet.platform.publish(Key::Config, b"{ }".to_vec());
    fleet.run(118_000);
    let connected = fleet.nodes.iter().filter(|n| n.group == 0);
    let connected = connected
        .filter_map(|n| n.replicator.as_ref())
        .collect::<Vec<&Replicator>>();
    assert!(connected.iter().all(|r| r.revision(Key::Config) == change));
    for host in &cut {
        fleet.set_group(*host, 0);
        fleet.nodes[*host].platform_cut = false;
    }
    let in_force = fleet.run_until_revision(Key::Config, change, IN_FORCE_MS);
    let all: Vec<usize> = (0..HOSTS).collect();
    let steady = fleet.run_until(STEADY_MS, |f| agree_on(f, &all, true));
    let peak = peak_calls(&fleet, since_ms);
    println!(
        "two of six zones cut off for 120 s: after the partition heals, a change made meanwhile \
         in force after {in_force:?} ms, all agree after {steady:?} ms more; \
         at most {peak} platform calls/s"
    );
    assert!(in_force.is_some() && steady.is_some());
    assert!(peak <= PLATFORM_CALLS_PER_S);
}

#[test]
fn platform_outage_does_not_make_all_nodes_call() {
    let mut fleet = started_fleet(3);
    fleet.run(30_000);
    let before = fleet.platform.calls;
    fleet.platform.up = false;
    fleet.run(60_000);
    let calls = fleet.platform.calls - before;
    println!("platform down for 60 s: {calls} calls");
    // Two readers per zone and as many that read in turn, 13 watches of 3 values a minute.
    assert!(calls <= (2 * 2 * ZONES * 3 * 13) as u64);
    fleet.platform.up = true;
    let change = fleet.platform.publish(Key::Config, b"{ }".to_vec());
    let took = fleet.run_until_revision(Key::Config, change, IN_FORCE_MS);
    println!("platform back: a change in force after {took:?} ms");
    assert!(took.is_some());
}

#[test]
fn removed_rack_moves_few_ids_and_servers() {
    let hosts: Vec<HostName> = (0..HOSTS)
        .map(|i| HostName::new(&format!("host-{i:03}")))
        .collect();
    let rest: Vec<HostName> = hosts[20..].to_vec();
    let owner = |key: u64, hosts: &[HostName]| {
        rendezvous::first(key, hosts.iter().cloned(), HostName::as_str)
    };
    let moved = (0..20_000)
        .filter(|key| owner(*key, &hosts) != owner(*key, &rest))
        .count();
    println!("a rack of 20 is removed: {moved} of 20,000 keys move");
    assert!(moved < 20_000 * 20 / HOSTS * 2);
    let servers: Vec<ServerName> = (0..3_300)
        .map(|i| ServerName::new(&format!("e-{i}")))
        .collect();
    let before = Subsets::new(Options::default(), &hosts, &servers);
    let after = Subsets::new(Options::default(), &rest, &servers);
    let new_pairs = |host| {
        let old = before.servers(host);
        let new = after.servers(host);
        new.iter().filter(|s| old.binary_search(s).is_err()).count()
    };
    let moved: usize = rest.iter().map(new_pairs).sum();
    println!("a rack of 20 is removed: {moved} of 79,200 pairs of node and server are new");
    assert!(moved < 79_200 / 10);
}
