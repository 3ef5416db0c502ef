//! Calls that may not be repeated, under faults.

mod fleet;

use std::time::Duration;

use fleet::{Answer, Call, Fleet, POLL, Size};
use http::StatusCode;
use serde_json::json;
use tokio::time::sleep;

const SIZE: Size = Size {
    nodes: 3,
    engines: 0,
    services: 2,
    token_us: 0,
    call_us: 100_000,
};

/// Time for a woken process to do what it still believes in.
const AFTER_WAKE: Duration = Duration::from_secs(2);

/// Waits until the slip runs at a service.
async fn running(fleet: &Fleet, id: &str) {
    while fleet.runs(id).await == 0 {
        sleep(POLL).await;
    }
}

/// Starts a slip that a service runs; its caller goes away in the midst of it.
async fn abandon_running(fleet: &Fleet, node: usize) -> Call {
    loop {
        let caller = fleet.caller(node);
        let call = Call::slip();
        let sent = caller.send(&call);
        tokio::select! {
            answer = sent => {
                let outcome = answer.expect("an answer").outcome;
                assert_ne!(outcome.as_deref(), Some("unknown"));
            }
            () = running(fleet, call.id()) => return call,
        }
    }
}

#[tokio::test]
async fn slip_goes_on_without_its_caller_and_its_answer_is_kept() {
    let fleet = Fleet::start(SIZE).await;
    for node in 0..SIZE.nodes {
        let call = abandon_running(&fleet, node).await;
        let answer = fleet.caller((node + 1) % SIZE.nodes);
        let answer = answer.insist_on_repeat(&call).await;
        assert_eq!(answer.json()["request_id"], call.id());
        assert_eq!(fleet.runs(call.id()).await, 1);
    }
}

#[tokio::test]
async fn same_slip_through_all_nodes_at_once_runs_once() {
    let fleet = Fleet::start(SIZE).await;
    for _ in 0..10 {
        let call = Call::slip();
        let again = call.again();
        let callers: Vec<_> = (0..SIZE.nodes).map(|node| fleet.caller(node)).collect();
        let sent = callers.iter().map(|caller| caller.send(&again));
        let answers = futures_util::future::join_all(sent).await;
        let runs = fleet.runs(call.id()).await;
        assert!(runs <= 1, "{runs}");
        for answer in answers.into_iter().flatten() {
            assert_truthful(&answer, runs);
        }
    }
}

/// An answer says no more than what is known of the runs.
fn assert_truthful(answer: &Answer, runs: u64) {
    match answer.outcome.as_deref() {
        Some("completed") => assert_eq!(runs, 1, "{}", answer.text),
        Some("not-run") => assert_eq!(runs, 0, "{}", answer.text),
        Some("unknown") => assert_ne!(answer.status, StatusCode::OK),
        other => panic!("{other:?}"),
    }
}

/// Whoever is killed while a slip runs, repeats never run it again.
#[tokio::test]
async fn slip_runs_at_most_once_when_a_node_is_killed() {
    for killed in 0..SIZE.nodes {
        let mut fleet = Fleet::start(SIZE).await;
        let call = abandon_running(&fleet, 0).await;
        fleet.nodes[killed].kill();
        for turn in 0..12 {
            let node = (killed + 1 + turn % 2) % SIZE.nodes;
            let answer = fleet.caller(node).send(&call.again()).await;
            if let Some(answer) = answer {
                assert_truthful(&answer, 1);
            }
            sleep(POLL).await;
        }
        assert_eq!(fleet.runs(call.id()).await, 1);
    }
}

#[tokio::test]
async fn slip_whose_service_breaks_off_is_unknown_and_never_sent_again() {
    let fleet = Fleet::start(SIZE).await;
    for service in &fleet.services {
        service
            .post("/control", &json!({"cut_after_tokens": 1}))
            .await;
    }
    let call = abandon_running(&fleet, 0).await;
    for turn in 0..6 {
        let answer = fleet.caller(turn % SIZE.nodes).send(&call.again()).await;
        assert_eq!(
            answer.expect("an answer").outcome.as_deref(),
            Some("unknown")
        );
        sleep(POLL).await;
    }
    assert_eq!(fleet.runs(call.id()).await, 1);
}

/// A leaving service states that it did not run the call, and so it goes to the other.
#[tokio::test]
async fn leaving_service_gets_nothing_new_after_its_word() {
    let fleet = Fleet::start(SIZE).await;
    fleet.services[0]
        .post("/control", &json!({"leaving": true}))
        .await;
    let left = fleet.services[0].get("/control/state").await["total"].clone();
    for number in 0..12 {
        let (call, _) = fleet.caller(number % SIZE.nodes).insist_on_slip().await;
        assert_eq!(fleet.runs(call.id()).await, 1);
    }
    let state = fleet.services[0].get("/control/state").await;
    assert_eq!(state["total"], left);
}

/// A link between nodes that has gone silent ends in a truthful word.
#[tokio::test]
async fn frozen_owner_ends_in_a_truthful_answer() {
    let fleet = Fleet::start(SIZE).await;
    fleet.nodes[1].signal("STOP");
    let mut answers = Vec::new();
    for _ in 0..6 {
        let call = Call::slip();
        let answer = fleet.caller(0).send(&call).await.expect("an answer");
        answers.push((call, answer));
    }
    fleet.nodes[1].signal("CONT");
    // What the owner took before it froze may run now.
    sleep(AFTER_WAKE).await;
    for (call, answer) in &answers {
        assert_truthful(answer, fleet.runs(call.id()).await);
    }
}
