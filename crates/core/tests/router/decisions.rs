//! Individual decisions of the router.

use std::sync::Arc;
use std::time::Duration;

use crate::harness::{Harness, catalog, dispatches, fleet, only_dispatch, refusals, server};
use briarbank_core::call::{Dispatch, Failure, Outcome, Reason, ServerLoad};
use briarbank_core::catalog::{Server, ServerState};
use briarbank_core::router::{Action, AttemptEvent, Event, Options};

const MS: Duration = Duration::from_millis(1);

fn one_slot() -> Harness {
    Harness::new(catalog(), vec![server("s1", &["model", "slips"], 1)])
}

fn two_servers() -> Harness {
    let servers = ["s1", "s2"].map(|name| server(name, &["model", "slips"], 4));
    Harness::new(catalog(), servers.to_vec())
}

#[test]
fn unknown_names_are_refused_as_not_run() {
    let mut harness = one_slot();
    let (_, actions) = harness.arrive("none", "model");
    let (_, refusal) = refusals(&actions)[0];
    assert_eq!(refusal.reason, Reason::UnknownProfile);
    assert_eq!(refusal.outcome, Outcome::NotRun);
    let (_, actions) = harness.arrive("top", "none");
    assert_eq!(refusals(&actions)[0].1.reason, Reason::UnknownTarget);
}

#[test]
fn higher_tier_is_served_first() {
    let mut harness = one_slot();
    let (_, actions) = harness.arrive("low", "model");
    let running = only_dispatch(&actions).attempt;
    harness.arrive("low", "model");
    let (top, _) = harness.arrive("top", "model");
    let actions = harness.send_attempt(running, AttemptEvent::Done);
    assert_eq!(only_dispatch(&actions).call, top);
}

#[test]
fn full_class_refuses_with_jittered_retry_after() {
    let mut harness = one_slot();
    let mut retries = Vec::new();
    for _ in 0..20 {
        let (_, actions) = harness.arrive("low", "model");
        for (_, refusal) in refusals(&actions) {
            assert_eq!(refusal.reason, Reason::QueueFull);
            assert_eq!(refusal.outcome, Outcome::NotRun);
            assert!(refusal.retry_after >= Duration::from_secs(1));
            retries.push(refusal.retry_after);
        }
    }
    assert_eq!(retries.len(), 11);
    retries.dedup();
    assert!(retries.len() > 1, "{retries:?}");
}

#[test]
fn full_node_sheds_the_lowest_tier() {
    let options = Options {
        queue_limit: 2,
        ..Options::default()
    };
    let servers = vec![server("s1", &["model"], 1)];
    let mut harness = Harness::with_options(options, catalog(), servers);
    harness.arrive("low", "model");
    let (low, _) = harness.arrive("low", "model");
    harness.arrive("mid", "model");
    let (top, actions) = harness.arrive("top", "model");
    assert_eq!(refusals(&actions)[0].0, low);
    let (late, actions) = harness.arrive("low", "model");
    assert_eq!(refusals(&actions)[0].0, late);
    assert_ne!(refusals(&actions)[0].0, top);
}

#[test]
fn queued_call_past_its_deadline_is_refused_at_once() {
    let mut harness = one_slot();
    harness.arrive("low", "model");
    let (waiting, _) = harness.arrive("low", "model");
    let actions = harness.advance(Duration::from_secs(11));
    let (call, refusal) = refusals(&actions)[0];
    assert_eq!(call, waiting);
    assert_eq!(refusal.reason, Reason::DeadlineUnreachable);
    assert_eq!(refusal.outcome, Outcome::NotRun);
}

#[test]
fn call_that_cannot_meet_its_deadline_is_not_dispatched() {
    let mut harness = one_slot();
    for _ in 0..10 {
        harness.run_stream("low", 100 * MS, 40 * MS, 100);
    }
    let mut call = harness.call("low", "model");
    harness.now += Duration::from_secs(7);
    call.max_tokens = 200;
    let actions = harness.send(Event::Arrive(call));
    assert_eq!(refusals(&actions)[0].1.reason, Reason::DeadlineUnreachable);
}

#[test]
fn non_idempotent_call_is_not_sent_twice() {
    let mut harness = two_servers();
    let (_, actions) = harness.arrive("top", "slips");
    let attempt = only_dispatch(&actions).attempt;
    let actions = harness.send_attempt(attempt, AttemptEvent::Failed(Failure::Broken));
    assert_eq!(dispatches(&actions).len(), 0);
    assert_eq!(refusals(&actions)[0].1.outcome, Outcome::Unknown);
}

#[test]
fn failure_that_proves_not_run_is_retried_elsewhere() {
    let mut harness = two_servers();
    let (_, actions) = harness.arrive("top", "slips");
    let first = only_dispatch(&actions);
    let actions = harness.send_attempt(first.attempt, AttemptEvent::Failed(Failure::NotSent));
    let second = only_dispatch(&actions);
    assert_ne!(second.server, first.server);
    assert!(!second.resume);
}

#[test]
fn broken_stream_is_resumed_on_another_server() {
    let mut harness = two_servers();
    let (_, actions) = harness.arrive("mid", "model");
    let first = only_dispatch(&actions);
    harness.send_attempt(first.attempt, AttemptEvent::Progress { tokens: 5 });
    let actions = harness.send_attempt(first.attempt, AttemptEvent::Failed(Failure::Broken));
    let second = only_dispatch(&actions);
    assert!(second.resume);
    assert_ne!(second.server, first.server);
    let late = harness.send_attempt(first.attempt, AttemptEvent::Done);
    assert_eq!(late, []);
    assert_eq!(harness.router.counters().dropped, 1);
    let actions = harness.send_attempt(second.attempt, AttemptEvent::Done);
    let outcome = Outcome::Completed;
    let call = second.call;
    assert_eq!(actions, [Action::End { call, outcome }]);
}

/// Guards against answers of two versions: a stream went on at any server of its target.
#[test]
fn a_broken_stream_is_resumed_only_at_its_version() {
    let versions = ["v1", "v2", "v1", "v2"];
    let servers = versions.iter().enumerate().map(|(index, version)| Server {
        version: (*version).into(),
        ..server(&format!("s{index}"), &["model"], 4)
    });
    let servers: Vec<Server> = servers.collect();
    let mut harness = Harness::new(catalog(), servers.clone());
    let version_of = |dispatch: &Dispatch| {
        let server = servers.iter().find(|s| s.name == dispatch.server);
        server.map(|s| Arc::clone(&s.version))
    };
    for _ in 0..8 {
        let (_, actions) = harness.arrive("mid", "model");
        let first = only_dispatch(&actions);
        harness.send_attempt(first.attempt, AttemptEvent::Progress { tokens: 5 });
        let actions = harness.send_attempt(first.attempt, AttemptEvent::Failed(Failure::Broken));
        let second = only_dispatch(&actions);
        assert_eq!(version_of(&second), version_of(&first));
        assert_ne!(second.server, first.server);
        harness.send_attempt(second.attempt, AttemptEvent::Done);
        harness.advance(Duration::from_secs(5));
    }
}

/// Guards against going on at another version when the last server of a version has left.
#[test]
fn a_broken_stream_without_servers_of_its_version_is_given_up() {
    let old = Server {
        version: "v1".into(),
        ..server("s1", &["model"], 4)
    };
    let new = Server {
        version: "v2".into(),
        ..server("s2", &["model"], 4)
    };
    let mut harness = Harness::new(catalog(), vec![old]);
    let (_, actions) = harness.arrive("mid", "model");
    let first = only_dispatch(&actions);
    harness.send_attempt(first.attempt, AttemptEvent::Progress { tokens: 5 });
    harness.send(Event::Fleet(Arc::new(fleet(2, vec![new]))));
    let actions = harness.send_attempt(first.attempt, AttemptEvent::Failed(Failure::Broken));
    assert_eq!(dispatches(&actions).len(), 0);
    assert_eq!(refusals(&actions)[0].1.outcome, Outcome::Unknown);
    // Others are not held up by it.
    let (_, actions) = harness.arrive("mid", "model");
    assert_eq!(only_dispatch(&actions).server, "s2".into());
}

#[test]
fn retries_are_limited_by_the_budget() {
    let mut catalog = catalog();
    for profile in &mut catalog.profiles {
        profile.queue_limit = 1_000;
    }
    let servers: Vec<_> = (0..12)
        .map(|i| server(&format!("s{i}"), &["model"], 100))
        .collect();
    let mut harness = Harness::new(catalog, servers);
    let mut reasons = Vec::new();
    let mut sent = 0;
    for _ in 0..200 {
        let (_, actions) = harness.arrive("mid", "model");
        let mut next = Some(only_dispatch(&actions).attempt);
        while let Some(attempt) = next {
            sent += 1;
            let actions = harness.send_attempt(attempt, AttemptEvent::Failed(Failure::Broken));
            next = dispatches(&actions).first().map(|d| d.attempt);
            reasons.extend(refusals(&actions).iter().map(|(_, r)| r.reason));
        }
    }
    assert!(reasons.contains(&Reason::RetryBudget));
    assert!(sent <= 200 + 20 + 20, "{sent}");
}

#[test]
fn leaving_server_gets_no_new_calls() {
    let mut harness = two_servers();
    harness.send(Event::ServerLeaving("s1".into()));
    for _ in 0..4 {
        let (_, actions) = harness.arrive("mid", "model");
        assert_eq!(only_dispatch(&actions).server, "s2".into());
    }
    let lagging = ["s1", "s2"].map(|name| server(name, &["model"], 4));
    harness.send(Event::Fleet(Arc::new(fleet(2, lagging.to_vec()))));
    let (_, actions) = harness.arrive("mid", "model");
    assert_eq!(dispatches(&actions).len(), 0);
}

#[test]
fn server_that_becomes_live_again_is_used() {
    let mut harness = one_slot();
    harness.send(Event::ServerLeaving("s1".into()));
    let mut leaving = server("s1", &["model"], 1);
    leaving.state = ServerState::Leaving;
    harness.send(Event::Fleet(Arc::new(fleet(2, vec![leaving]))));
    let (_, actions) = harness.arrive("mid", "model");
    assert_eq!(refusals(&actions)[0].1.reason, Reason::NoServer);
    let live = server("s1", &["model"], 1);
    harness.send(Event::Fleet(Arc::new(fleet(3, vec![live]))));
    let (_, actions) = harness.arrive("mid", "model");
    assert_eq!(dispatches(&actions).len(), 1);
}

#[test]
fn full_server_is_tried_again_after_backoff() {
    let mut harness = one_slot();
    let (_, actions) = harness.arrive("top", "model");
    let attempt = only_dispatch(&actions).attempt;
    let actions = harness.send_attempt(attempt, AttemptEvent::Failed(Failure::Full));
    assert_eq!(actions, []);
    let actions = harness.advance(200 * MS);
    assert_eq!(dispatches(&actions).len(), 1);
}

#[test]
fn disconnected_caller_frees_its_server() {
    let mut harness = one_slot();
    let (first, actions) = harness.arrive("mid", "model");
    let attempt = only_dispatch(&actions).attempt;
    let (second, _) = harness.arrive("mid", "model");
    let actions = harness.send(Event::CallerGone(first));
    assert!(matches!(&actions[0], Action::Cancel { attempt: a, .. } if *a == attempt));
    let outcome = Outcome::Unknown;
    assert_eq!(
        actions[1],
        Action::End {
            call: first,
            outcome
        }
    );
    assert_eq!(only_dispatch(&actions).call, second);
}

#[test]
fn nodes_divide_the_slots_and_the_workspace_limits() {
    let mut catalog = catalog();
    catalog.workspaces[0].in_flight_limit = 8;
    let mut harness = Harness::new(catalog, vec![server("s1", &["model"], 8)]);
    harness.send(Event::SharingNodes(4));
    let mut sent = 0;
    let mut reasons = Vec::new();
    for _ in 0..4 {
        let (_, actions) = harness.arrive("mid", "model");
        sent += dispatches(&actions).len();
        reasons.extend(refusals(&actions).iter().map(|(_, r)| r.reason));
    }
    assert_eq!(sent, 2);
    assert_eq!(reasons, [Reason::WorkspaceLimit; 2]);
}

#[test]
fn reported_load_of_other_nodes_is_avoided() {
    let mut harness = two_servers();
    let load = ServerLoad {
        running: 4,
        waiting: 20,
        age_ms: 0,
    };
    let mut hits = 0;
    for _ in 0..40 {
        let server = "s1".into();
        harness.send(Event::Load { server, load });
        let (call, actions) = harness.arrive("mid", "model");
        hits += usize::from(only_dispatch(&actions).server == "s1".into());
        harness.send(Event::CallerGone(call));
    }
    assert!(hits < 20, "{hits}");
}

#[test]
fn prefix_keeps_its_server() {
    let mut harness = two_servers();
    let mut servers = Vec::new();
    for _ in 0..10 {
        let mut call = harness.call("mid", "model");
        call.prefix_key = 99;
        let id = call.id;
        let actions = harness.send(Event::Arrive(call));
        servers.push(only_dispatch(&actions).server);
        harness.send(Event::CallerGone(id));
    }
    servers.dedup();
    assert_eq!(servers.len(), 1);
}
