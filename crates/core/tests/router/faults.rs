//! Slow servers, and preemption of lower tiers.

use std::time::Duration;

use briarbank_core::call::Failure;
use briarbank_core::catalog::Catalog;
use briarbank_core::router::{Action, AttemptEvent, Event};

use crate::harness::{Harness, catalog, dispatches, only_dispatch, server};

const MS: Duration = Duration::from_millis(1);

/// A catalog in which `top` is idempotent, and `top` and `low` have no share.
fn idempotent_catalog() -> Catalog {
    let mut catalog = catalog();
    catalog.profiles[0].idempotent = true;
    catalog.profiles[0].share_ratio = 0.0;
    catalog.profiles[2].share_ratio = 0.0;
    catalog.profiles[2].whole_ms = 60_000;
    catalog
}

/// Returns the actions shortly before the deadline of a queued call.
///
/// `running` occupies the only slot, and `waiting` is queued.
fn preempt_at_deadline(catalog: Catalog, running: &str, waiting: &str, tokens: u32) -> Vec<Action> {
    let mut harness = Harness::new(catalog, vec![server("s1", &["model"], 1)]);
    let (_, actions) = harness.arrive(running, "model");
    let attempt = only_dispatch(&actions).attempt;
    if tokens > 0 {
        harness.send_attempt(attempt, AttemptEvent::Progress { tokens });
    }
    harness.arrive(waiting, "model");
    harness.advance(9_700 * MS)
}

#[test]
fn lower_tier_stream_is_preempted_and_resumed() {
    let mut harness = Harness::new(idempotent_catalog(), vec![server("s1", &["model"], 1)]);
    let (low, actions) = harness.arrive("low", "model");
    let attempt = only_dispatch(&actions).attempt;
    harness.send_attempt(attempt, AttemptEvent::Progress { tokens: 7 });
    let (top, _) = harness.arrive("top", "model");
    let actions = harness.advance(9_700 * MS);
    assert!(matches!(&actions[0], Action::Cancel { attempt: a, .. } if *a == attempt));
    let next = only_dispatch(&actions);
    assert_eq!(next.call, top);
    let actions = harness.send_attempt(next.attempt, AttemptEvent::Done);
    let resumed = only_dispatch(&actions);
    assert_eq!(resumed.call, low);
    assert!(resumed.resume);
    assert_eq!(harness.router.counters().preempted, 1);
}

#[test]
fn higher_tier_stream_is_not_preempted() {
    let mut catalog = idempotent_catalog();
    catalog.profiles[0].whole_ms = 60_000;
    catalog.profiles[2].whole_ms = 10_000;
    assert_eq!(preempt_at_deadline(catalog, "top", "low", 7), []);
}

#[test]
fn non_idempotent_stream_is_not_preempted() {
    let mut catalog = idempotent_catalog();
    catalog.profiles[2].idempotent = false;
    assert_eq!(preempt_at_deadline(catalog, "low", "top", 7), []);
}

#[test]
fn call_without_tokens_is_not_preempted() {
    assert_eq!(
        preempt_at_deadline(idempotent_catalog(), "low", "top", 0),
        []
    );
}

#[test]
fn class_keeps_its_share_of_the_slots() {
    let mut catalog = idempotent_catalog();
    catalog.profiles[2].share_ratio = 0.5;
    assert_eq!(preempt_at_deadline(catalog, "low", "top", 7), []);
}

/// Harness with `count` servers after some calls, `s0` ten times slower.
fn with_straggler(count: usize) -> Harness {
    let mut catalog = idempotent_catalog();
    for profile in &mut catalog.profiles {
        profile.whole_ms = 60_000;
    }
    let servers = (0..count)
        .map(|i| server(&format!("s{i}"), &["model"], 2))
        .collect();
    let mut harness = Harness::new(catalog, servers);
    for _ in 0..40 {
        let (_, actions) = harness.arrive("mid", "model");
        let dispatch = only_dispatch(&actions);
        let factor = if dispatch.server == "s0".into() {
            10
        } else {
            1
        };
        for tokens in 1..=33 {
            harness.now += 20 * factor * MS;
            harness.send_attempt(dispatch.attempt, AttemptEvent::Progress { tokens });
        }
        harness.send_attempt(dispatch.attempt, AttemptEvent::Done);
    }
    harness
}

/// Number of calls, out of `calls`, that are dispatched to `server`.
fn hits(harness: &mut Harness, server: &str, calls: usize) -> usize {
    let mut hits = 0;
    for _ in 0..calls {
        let (call, actions) = harness.arrive("mid", "model");
        hits += usize::from(only_dispatch(&actions).server == server.into());
        harness.send(Event::CallerGone(call));
    }
    hits
}

#[test]
fn straggler_is_ejected_and_tried_again() {
    let mut harness = with_straggler(4);
    assert_eq!(hits(&mut harness, "s0", 30), 0);
    harness.advance(Duration::from_mins(3));
    assert!(hits(&mut harness, "s0", 100) > 0);
}

#[test]
fn at_most_a_third_of_servers_is_ejected() {
    let servers = (0..6).map(|i| server(&format!("s{i}"), &["model"], 4));
    let mut catalog = catalog();
    catalog.profiles[1].queue_limit = 1_000;
    let mut harness = Harness::new(catalog, servers.collect());
    for _ in 0..300 {
        let (_, actions) = harness.arrive("mid", "model");
        let Some(first) = dispatches(&actions).first().map(|d| d.attempt) else {
            continue;
        };
        let mut next = Some(first);
        while let Some(attempt) = next {
            let actions = harness.send_attempt(attempt, AttemptEvent::Failed(Failure::Broken));
            next = dispatches(&actions).first().map(|d| d.attempt);
        }
    }
    let mut used: Vec<_> = (0..200)
        .map(|_| {
            let (call, actions) = harness.arrive("mid", "model");
            let server = only_dispatch(&actions).server;
            harness.send(Event::CallerGone(call));
            server
        })
        .collect();
    used.sort();
    used.dedup();
    assert_eq!(used.len(), 4, "{used:?}");
}

#[test]
fn stalled_stream_is_migrated_and_resumed() {
    let mut harness = with_straggler(1);
    harness.send(Event::Fleet(std::sync::Arc::new(crate::harness::fleet(
        2,
        ["s0", "s1"].map(|s| server(s, &["model"], 2)).to_vec(),
    ))));
    harness.advance(Duration::from_mins(1));
    let (call, actions) = harness.arrive("mid", "model");
    let first = only_dispatch(&actions);
    harness.now += 100 * MS;
    harness.send_attempt(first.attempt, AttemptEvent::Progress { tokens: 3 });
    let actions = harness.advance(Duration::from_secs(5));
    let migrated = only_dispatch(&actions);
    assert_eq!(migrated.call, call);
    assert!(migrated.resume);
    assert_ne!(migrated.server, first.server);
    let actions = harness.send_attempt(migrated.attempt, AttemptEvent::Accepted);
    assert_eq!(actions.len(), 1, "{actions:?}");
    assert!(matches!(&actions[0], Action::Cancel { attempt, .. } if *attempt == first.attempt));
}
