//! Division of limits among nodes.

use briarbank_core::division::Division;
use briarbank_core::hosts::{Host, HostState, HostView};
use briarbank_core::ids::{HostName, Revision};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn view(count: usize) -> HostView {
    let host = |i| Host {
        name: HostName::new(&format!("host-{i:03}")),
        zone: "recife".into(),
        peer_address: "127.0.0.1:1".parse().expect("valid address"),
        state: HostState::Live,
    };
    HostView::new(Revision(1), (0..count).map(host).collect())
}

fn total(division: &Division, name: &str, limit: u64) -> u64 {
    let share = |host| division.share(name, limit, host);
    division.sharing_hosts().iter().map(share).sum()
}

#[test]
fn shares_add_up_and_differ_by_at_most_one() {
    let config = Config {
        cases: 2_000,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[1; 32]);
    let cases = (1_usize..60, 0_u64..5_000, "[a-z]{1,8}");
    TestRunner::new_with_rng(config, rng)
        .run(&cases, |(count, limit, name)| {
            let division = Division::new(&view(count), |_| true);
            prop_assert_eq!(total(&division, &name, limit), limit);
            for host in division.sharing_hosts() {
                let even = limit / count as u64;
                let share = division.share(&name, limit, host);
                prop_assert!(share == even || share == even + 1);
            }
            Ok(())
        })
        .expect("exact");
}

#[test]
fn shares_are_recomputed_when_a_host_leaves() {
    let view = view(8);
    let left_host = HostName::new("host-003");
    let division = Division::new(&view, |host| *host != left_host);
    assert_eq!(total(&division, "engine", 32), 32);
    assert_eq!(division.share("engine", 32, &left_host), 0);
}

#[test]
fn only_larger_side_of_a_partition_takes_over() {
    for cut in 0..=8 {
        let view = view(8);
        let low = |host: &HostName| host.as_str() < format!("host-{cut:03}").as_str();
        let left = Division::new(&view, low);
        let right = Division::new(&view, |host| !low(host));
        let names = || view.hosts.iter().map(|h| &h.name);
        let left: u64 = names()
            .filter(|h| low(h))
            .map(|h| left.share("e", 80, h))
            .sum();
        let right: u64 = names()
            .filter(|h| !low(h))
            .map(|h| right.share("e", 80, h))
            .sum();
        assert!(left.min(right) <= 40, "{left} and {right}");
        assert!(left + right <= 120, "{left} and {right}");
    }
}

#[test]
fn small_limits_are_assigned_to_different_hosts() {
    let view = view(390);
    let division = Division::new(&view, |_| true);
    let total_share = |host| {
        let names = (0..1_000).map(|i| format!("workspace-{i}"));
        names
            .map(|name| division.share(&name, 10, host))
            .sum::<u64>()
    };
    let most = division
        .sharing_hosts()
        .iter()
        .take(20)
        .map(total_share)
        .max();
    // Shares add up to 10,000, which is 26 for each of 390 hosts. If the limits always went
    // to the same ten hosts, each of these would have 1,000.
    assert!(most.is_some_and(|most| most < 100), "{most:?}");
    let holder = division.holders("workspace-1", 1);
    assert_eq!(division.share("workspace-1", 10, holder[0]), 1);
}
