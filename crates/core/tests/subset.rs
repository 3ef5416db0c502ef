//! Subsets of servers.

use std::collections::{BTreeMap, BTreeSet};

use briarbank_core::ids::{HostName, ServerName};
use briarbank_core::subset::{Options, Subsets};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};

/// Maximum deviation of a node from the average, as a fraction of the average.
const BALANCE_RATIO: f64 = 0.15;

/// Maximum fraction of the node-server pairs that change when one host leaves.
const MOVED_RATIO: f64 = 0.01;

fn hosts(count: usize) -> Vec<HostName> {
    let name = |i| HostName::new(&format!("host-{i:03}"));
    (0..count).map(name).collect()
}

fn servers(count: usize) -> Vec<ServerName> {
    let name = |i| ServerName::new(&format!("engine-{i:04}"));
    (0..count).map(name).collect()
}

fn pairs<'a>(
    subsets: &'a Subsets,
    hosts: &'a [HostName],
) -> BTreeSet<(&'a HostName, &'a ServerName)> {
    let of = |host| {
        subsets
            .servers(host)
            .iter()
            .map(move |server| (host, server))
    };
    hosts.iter().flat_map(of).collect()
}

#[test]
fn removing_one_host_moves_few_servers_at_target_size() {
    let (hosts, servers) = (hosts(390), servers(3_300));
    let all = Subsets::new(Options::default(), &hosts, &servers);
    let before = pairs(&all, &hosts);
    for removed in [0, 100, 389] {
        let mut rest = hosts.clone();
        rest.remove(removed);
        let fewer = Subsets::new(Options::default(), &rest, &servers);
        let after = pairs(&fewer, &rest);
        let moved = after.difference(&before).count();
        let own = all.servers(&hosts[removed]).len();
        println!(
            "host {removed} had {own} servers, {moved} pairs moved of {}",
            before.len()
        );
        assert!((moved as f64) < MOVED_RATIO * before.len() as f64);
    }
}

#[test]
fn small_fleet_uses_all_servers() {
    let (hosts, servers) = (hosts(8), servers(15));
    let subsets = Subsets::new(Options::default(), &hosts, &servers);
    for host in &hosts {
        assert_eq!(subsets.servers(host), servers);
    }
}

fn check(host_count: usize, server_count: usize, per_node: usize) -> Result<(), TestCaseError> {
    let options = Options {
        servers_per_node: per_node,
        ..Options::default()
    };
    let (mut hosts, servers) = (hosts(host_count), servers(server_count));
    let subsets = Subsets::new(options, &hosts, &servers);
    let mut users: BTreeMap<&ServerName, usize> = BTreeMap::new();
    for (_, server) in pairs(&subsets, &hosts) {
        *users.entry(server).or_default() += 1;
    }
    let each = subsets.hosts_per_server();
    prop_assert_eq!(users.len(), server_count);
    prop_assert!(users.values().all(|count| *count == each));
    let average = (server_count * each) as f64 / host_count as f64;
    for host in &hosts {
        let deviation = (subsets.servers(host).len() as f64 - average).abs();
        prop_assert!(
            deviation <= BALANCE_RATIO * average,
            "{deviation} of {average}"
        );
    }
    hosts.reverse();
    prop_assert_eq!(Subsets::new(options, &hosts, &servers), subsets);
    Ok(())
}

#[test]
fn nodes_are_balanced_and_servers_have_equal_counts() {
    check(390, 3_300, 200).expect("target size");
    let config = Config {
        cases: 150,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[1; 32]);
    let sizes = (1_usize..80, 1_usize..400, 20_usize..120);
    TestRunner::new_with_rng(config, rng)
        .run(&sizes, |(hosts, servers, per_node)| {
            check(hosts, servers, per_node)
        })
        .expect("balanced");
}
