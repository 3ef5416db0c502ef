//! Slow servers, and slots taken from lower tiers.

use std::time::Duration;

use briarbank_core::call::Failure;
use briarbank_core::catalog::Catalog;
use briarbank_core::router::{Action, AttemptEvent, Event};

use crate::bench::{Bench, catalog, dispatches, only_dispatch, server};

const MS: Duration = Duration::from_millis(1);

/// A catalog in which calls of `top` may be repeated, and `top` and `low` have no share.
fn repeatable() -> Catalog {
    let mut catalog = catalog();
    catalog.profiles[0].idempotent = true;
    catalog.profiles[0].share_ratio = 0.0;
    catalog.profiles[2].share_ratio = 0.0;
    catalog.profiles[2].whole_ms = 60_000;
    catalog
}

/// Fills the only slot with `running`, lets `waiting` wait, and returns what follows.
fn wait_to_the_end(catalog: Catalog, running: &str, waiting: &str, tokens: u32) -> Vec<Action> {
    let mut bench = Bench::new(catalog, vec![server("s1", &["model"], 1)]);
    let (_, actions) = bench.arrive(running, "model");
    let attempt = only_dispatch(&actions).attempt;
    if tokens > 0 {
        bench.attempt(attempt, AttemptEvent::Progress { tokens });
    }
    bench.arrive(waiting, "model");
    bench.pass(9_700 * MS)
}

#[test]
fn a_stream_of_a_lower_tier_gives_way_and_is_resumed() {
    let mut bench = Bench::new(repeatable(), vec![server("s1", &["model"], 1)]);
    let (low, actions) = bench.arrive("low", "model");
    let attempt = only_dispatch(&actions).attempt;
    bench.attempt(attempt, AttemptEvent::Progress { tokens: 7 });
    let (top, _) = bench.arrive("top", "model");
    let actions = bench.pass(9_700 * MS);
    assert!(matches!(&actions[0], Action::Cancel { attempt: a, .. } if *a == attempt));
    let next = only_dispatch(&actions);
    assert_eq!(next.call, top);
    let actions = bench.attempt(next.attempt, AttemptEvent::Done);
    let resumed = only_dispatch(&actions);
    assert_eq!(resumed.call, low);
    assert!(resumed.resume);
    assert_eq!(bench.router.counters().preempted, 1);
}

#[test]
fn nothing_gives_way_to_a_lower_tier() {
    let mut catalog = repeatable();
    catalog.profiles[0].whole_ms = 60_000;
    catalog.profiles[2].whole_ms = 10_000;
    assert_eq!(wait_to_the_end(catalog, "top", "low", 7), []);
}

#[test]
fn what_may_not_be_repeated_gives_way_to_nothing() {
    let mut catalog = repeatable();
    catalog.profiles[2].idempotent = false;
    assert_eq!(wait_to_the_end(catalog, "low", "top", 7), []);
}

#[test]
fn a_call_without_tokens_gives_way_to_nothing() {
    assert_eq!(wait_to_the_end(repeatable(), "low", "top", 0), []);
}

#[test]
fn a_class_keeps_its_share_of_the_slots() {
    let mut catalog = repeatable();
    catalog.profiles[2].share_ratio = 0.5;
    assert_eq!(wait_to_the_end(catalog, "low", "top", 7), []);
}

/// Servers of which `slow` takes ten times as long, after some calls each.
fn with_straggler(count: usize) -> Bench {
    let mut catalog = repeatable();
    for profile in &mut catalog.profiles {
        profile.whole_ms = 60_000;
    }
    let servers = (0..count)
        .map(|i| server(&format!("s{i}"), &["model"], 2))
        .collect();
    let mut bench = Bench::new(catalog, servers);
    for _ in 0..40 {
        let (_, actions) = bench.arrive("mid", "model");
        let dispatch = only_dispatch(&actions);
        let factor = if dispatch.server == "s0".into() {
            10
        } else {
            1
        };
        for tokens in 1..=33 {
            bench.now += 20 * factor * MS;
            bench.attempt(dispatch.attempt, AttemptEvent::Progress { tokens });
        }
        bench.attempt(dispatch.attempt, AttemptEvent::Done);
    }
    bench
}

fn hits(bench: &mut Bench, server: &str, calls: usize) -> usize {
    let mut hits = 0;
    for _ in 0..calls {
        let (call, actions) = bench.arrive("mid", "model");
        hits += usize::from(only_dispatch(&actions).server == server.into());
        bench.send(Event::CallerGone(call));
    }
    hits
}

#[test]
fn a_straggler_is_left_and_tried_again() {
    let mut bench = with_straggler(4);
    assert_eq!(hits(&mut bench, "s0", 30), 0);
    bench.pass(Duration::from_mins(3));
    assert!(hits(&mut bench, "s0", 100) > 0);
}

#[test]
fn no_more_than_a_third_is_set_aside() {
    let servers = (0..6).map(|i| server(&format!("s{i}"), &["model"], 4));
    let mut catalog = catalog();
    catalog.profiles[1].queue_limit = 1_000;
    let mut bench = Bench::new(catalog, servers.collect());
    for _ in 0..300 {
        let (_, actions) = bench.arrive("mid", "model");
        let Some(first) = dispatches(&actions).first().map(|d| d.attempt) else {
            continue;
        };
        let mut next = Some(first);
        while let Some(attempt) = next {
            let actions = bench.attempt(attempt, AttemptEvent::Failed(Failure::Broken));
            next = dispatches(&actions).first().map(|d| d.attempt);
        }
    }
    let mut used: Vec<_> = (0..200)
        .map(|_| {
            let (call, actions) = bench.arrive("mid", "model");
            let server = only_dispatch(&actions).server;
            bench.send(Event::CallerGone(call));
            server
        })
        .collect();
    used.sort();
    used.dedup();
    assert_eq!(used.len(), 4, "{used:?}");
}

#[test]
fn a_silent_stream_is_moved_and_resumed() {
    let mut bench = with_straggler(1);
    bench.send(Event::Fleet(std::sync::Arc::new(crate::bench::fleet(
        2,
        ["s0", "s1"].map(|s| server(s, &["model"], 2)).to_vec(),
    ))));
    bench.pass(Duration::from_mins(1));
    let (call, actions) = bench.arrive("mid", "model");
    let first = only_dispatch(&actions);
    bench.now += 100 * MS;
    bench.attempt(first.attempt, AttemptEvent::Progress { tokens: 3 });
    let actions = bench.pass(Duration::from_secs(5));
    assert!(matches!(&actions[0], Action::Cancel { attempt, .. } if *attempt == first.attempt));
    let moved = only_dispatch(&actions);
    assert_eq!(moved.call, call);
    assert!(moved.resume);
    assert_ne!(moved.server, first.server);
}
