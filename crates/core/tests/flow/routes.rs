//! Lookup of routes, services, urgency and keys.

use std::collections::HashMap;
use std::sync::Arc;

use briarbank_core::flow::{
    Route, RouteConfig, RouteKind, RouteTable, Split, TierRank, WorkspaceEntry,
};
use proptest::prelude::*;

fn route(host: &str, prefix: &str, tier: u8) -> Route {
    Route {
        name: prefix.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: RouteKind::AtMostOnce,
        timeout_ms: 1_000,
        target_ms: 150,
        gap_ms: None,
        tier,
        splits: vec![Split {
            service: "desk".into(),
            weight: 1,
        }],
        attempts_max: 1,
        is_public: false,
        allowed_regions: None,
    }
}

fn table(routes: Vec<Route>, tiers: &[Option<u8>]) -> RouteTable {
    let keys = tiers.iter().enumerate().map(|(index, tier)| {
        let entry = WorkspaceEntry {
            name: format!("w{index}").as_str().into(),
            tier: *tier,
            allowed_regions: None,
        };
        (Arc::from(format!("k{index}")), entry)
    });
    RouteTable::new(RouteConfig {
        routes,
        keys: Some(keys.collect::<HashMap<_, _>>()),
        ..RouteConfig::default()
    })
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::with_cases(2_000) })]

    /// The route with the longest prefix wins, as in a search of all routes.
    #[test]
    fn longest_prefix_wins(
        prefixes in prop::collection::btree_set("(/[ab]){0,3}/", 1..8),
        path in "(/[abc]){0,4}/?",
    ) {
        let routes = prefixes.iter().map(|p| route("h", p, 0)).collect();
        let table = table(routes, &[]);
        let expected = prefixes.iter().filter(|p| path.starts_with(p.as_str())).max_by_key(|p| p.len());
        let found = table.find("h", &path).map(|r| r.prefix.to_string());
        prop_assert_eq!(found.as_ref(), expected);
        prop_assert!(table.find("other", &path).is_none());
    }

    /// Each split gets its share of random numbers.
    #[test]
    fn splits_follow_their_weights(first in 1_u32..1_000, second in 1_u32..1_000) {
        let mut route = route("h", "/", 0);
        let split = |service: &str, weight| Split { service: service.into(), weight };
        route.splits = vec![split("a", first), split("b", second)];
        let total = u64::from(first + second);
        let to_first = (0..total).filter(|n| route.pick_service(*n).unwrap().as_str() == "a").count();
        prop_assert_eq!(to_first, first as usize);
    }
}

/// Guards against equal urgency of all calls of one workspace tier.
///
/// Engines then preempt chats while less urgent long prompts of that tier keep running.
#[test]
fn urgency_orders_by_workspace_tier_then_route_tier() {
    let routes = vec![route("h", "/chat/", 0), route("h", "/sheet/", 1)];
    let table = table(routes, &[Some(0), Some(1), None]);
    let urgencies = [
        table.urgency(0, Some(0)),
        table.urgency(1, Some(0)),
        table.urgency(0, Some(1)),
        table.urgency(1, Some(1)),
    ];
    assert!(urgencies.is_sorted_by(|a, b| a < b), "{urgencies:?}");
    assert_eq!(table.urgency(0, None), 0);
}

/// A tier outranks others unless some tier of the service is more urgent and none less.
#[test]
fn tiers_are_ranked_within_their_service() {
    let routes = vec![
        route("h", "/cell/", 0),
        route("h", "/explain/", 1),
        route("h", "/digest/", 2),
    ];
    let three = table(routes, &[]);
    let ranks = [0, 1, 2].map(|tier| three.tier_rank(&"desk".into(), tier));
    assert_eq!(ranks, [TierRank::First, TierRank::Middle, TierRank::Last]);
    let one = table(vec![route("h", "/slip/", 2)], &[]);
    assert_eq!(one.tier_rank(&"desk".into(), 2), TierRank::First);
    assert_eq!(one.tier_rank(&"other".into(), 2), TierRank::First);
}

#[test]
fn keys_map_to_workspaces() {
    let table = table(vec![], &[Some(0), None]);
    assert!(table.checks_keys());
    assert_eq!(table.workspace("k1").unwrap().name.as_str(), "w1");
    assert!(table.workspace("k9").is_none());
}
