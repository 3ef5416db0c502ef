//! Every class makes progress during a burst of another.

use std::collections::VecDeque;
use std::time::Duration;

use briarbank_core::router::{Action, AttemptEvent, Event};

use crate::harness::{Harness, catalog, dispatches, server};

const SERVICE_TIME: Duration = Duration::from_millis(100);
const WINDOW: usize = 100;

/// Serves a continuous burst of `top` with some `low`.
///
/// Returns for each served call, in order, whether it was `low`.
fn serve_burst(share_ratio: f64) -> Vec<bool> {
    let mut catalog = catalog();
    catalog.profiles[2].share_ratio = share_ratio;
    catalog.profiles[0].queue_limit = 40;
    catalog.profiles[0].whole_ms = 3_000;
    catalog.profiles[2].whole_ms = 60_000;
    let mut harness = Harness::new(catalog, vec![server("s1", &["slips"], 1)]);
    let mut running = VecDeque::new();
    let mut lows = Vec::new();
    let mut served = Vec::new();
    while served.len() < 10 * WINDOW {
        let mut actions = Vec::new();
        for profile in ["top", "top", "top", "low"] {
            let call = harness.call(profile, "slips");
            lows.extend((profile == "low").then_some(call.id));
            actions.extend(harness.send(Event::Arrive(call)));
        }
        harness.now += SERVICE_TIME;
        while let Some(attempt) = running.pop_front() {
            actions.extend(harness.send_attempt(attempt, AttemptEvent::Done));
        }
        actions.extend(harness.advance(Duration::ZERO));
        for dispatch in dispatches(&actions) {
            running.push_back(dispatch.attempt);
            served.push(lows.contains(&dispatch.call));
        }
        assert!(!actions.iter().any(|a| matches!(a, Action::Cancel { .. })));
    }
    served
}

#[test]
fn lowest_class_keeps_its_share_over_any_ten_seconds() {
    let served = serve_burst(0.1);
    let least = served
        .windows(WINDOW)
        .map(|window| window.iter().filter(|low| **low).count())
        .min();
    // Bound of the queue: s * C - (n + 1) * W with two classes and equal costs.
    let bound = WINDOW / 10 - 3;
    assert!(least >= Some(bound), "{least:?}");
}

#[test]
fn most_of_the_burst_is_served_by_tier() {
    let served = serve_burst(0.1);
    let low = served.iter().filter(|low| **low).count();
    assert!(low <= served.len() * 15 / 100, "{low}");
}
