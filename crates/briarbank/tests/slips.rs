//! Calls that may run only once, under faults.

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

/// Time for a resumed process to act on its stale state.
const RESUME_DELAY: Duration = Duration::from_secs(2);

/// Waits until a service runs the slip.
async fn wait_running(fleet: &Fleet, id: &str) {
    while fleet.runs(id).await == 0 {
        sleep(POLL).await;
    }
}

/// Starts a slip and disconnects its caller while a service runs it.
async fn start_abandoned_slip(fleet: &Fleet, node: usize) -> Call {
    loop {
        let caller = fleet.caller(node);
        let call = Call::slip();
        let sent = caller.send(&call);
        tokio::select! {
            answer = sent => {
                let outcome = answer.expect("an answer").outcome;
                assert_ne!(outcome.as_deref(), Some("unknown"));
            }
            () = wait_running(fleet, call.id()) => return call,
        }
    }
}

#[tokio::test]
async fn slip_completes_without_its_caller_and_keeps_its_answer() {
    let fleet = Fleet::start(SIZE).await;
    for node in 0..SIZE.nodes {
        let call = start_abandoned_slip(&fleet, node).await;
        let answer = fleet.caller((node + 1) % SIZE.nodes);
        let answer = answer.retry_until_served(&call).await;
        assert_eq!(answer.json()["request_id"], call.id());
        assert_eq!(fleet.runs(call.id()).await, 1);
    }
}

#[tokio::test]
async fn same_slip_through_all_nodes_at_once_runs_once() {
    let fleet = Fleet::start(SIZE).await;
    for _ in 0..10 {
        let call = Call::slip();
        let retry = call.retry();
        let callers: Vec<_> = (0..SIZE.nodes).map(|node| fleet.caller(node)).collect();
        let sent = callers.iter().map(|caller| caller.send(&retry));
        let answers = futures_util::future::join_all(sent).await;
        let runs = fleet.runs(call.id()).await;
        assert!(runs <= 1, "{runs}");
        for answer in answers.into_iter().flatten() {
            assert_outcome_matches_runs(&answer, runs);
        }
    }
}

/// Checks that the outcome of an answer agrees with the number of runs.
fn assert_outcome_matches_runs(answer: &Answer, runs: u64) {
    match answer.outcome.as_deref() {
        Some("completed") => assert_eq!(runs, 1, "{}", answer.text),
        Some("not-run") => assert_eq!(runs, 0, "{}", answer.text),
        Some("unknown") => assert_ne!(answer.status, StatusCode::OK),
        other => panic!("{other:?}"),
    }
}

/// Retries never run a slip again, whichever node is killed while it runs.
#[tokio::test]
async fn slip_runs_at_most_once_when_a_node_is_killed() {
    for killed in 0..SIZE.nodes {
        let mut fleet = Fleet::start(SIZE).await;
        let call = start_abandoned_slip(&fleet, 0).await;
        fleet.nodes[killed].kill();
        for turn in 0..12 {
            let node = (killed + 1 + turn % 2) % SIZE.nodes;
            let answer = fleet.caller(node).send(&call.retry()).await;
            if let Some(answer) = answer {
                assert_outcome_matches_runs(&answer, 1);
            }
            sleep(POLL).await;
        }
        assert_eq!(fleet.runs(call.id()).await, 1);
    }
}

#[tokio::test]
async fn slip_cut_off_by_its_service_is_unknown_and_never_resent() {
    let fleet = Fleet::start(SIZE).await;
    for service in &fleet.services {
        service
            .post("/control", &json!({"cut_after_tokens": 1}))
            .await;
    }
    let call = start_abandoned_slip(&fleet, 0).await;
    for turn in 0..6 {
        let answer = fleet.caller(turn % SIZE.nodes).send(&call.retry()).await;
        assert_eq!(
            answer.expect("an answer").outcome.as_deref(),
            Some("unknown")
        );
        sleep(POLL).await;
    }
    assert_eq!(fleet.runs(call.id()).await, 1);
}

/// A leaving service reports that it did not run the call, so the other service gets it.
#[tokio::test]
async fn leaving_service_gets_no_new_calls() {
    let fleet = Fleet::start(SIZE).await;
    fleet.services[0]
        .post("/control", &json!({"leaving": true}))
        .await;
    let left = fleet.services[0].get("/control/state").await["total"].clone();
    for number in 0..12 {
        let (call, _) = fleet
            .caller(number % SIZE.nodes)
            .send_slip_until_served()
            .await;
        assert_eq!(fleet.runs(call.id()).await, 1);
    }
    let state = fleet.services[0].get("/control/state").await;
    assert_eq!(state["total"], left);
}

/// A silent connection between nodes still yields a correct outcome.
#[tokio::test]
async fn frozen_owner_yields_a_correct_outcome() {
    let fleet = Fleet::start(SIZE).await;
    fleet.nodes[1].signal("STOP");
    let mut answers = Vec::new();
    for _ in 0..6 {
        let call = Call::slip();
        let answer = fleet.caller(0).send(&call).await.expect("an answer");
        answers.push((call, answer));
    }
    fleet.nodes[1].signal("CONT");
    // Calls that the owner accepted before the freeze may run after it.
    sleep(RESUME_DELAY).await;
    for (call, answer) in &answers {
        assert_outcome_matches_runs(answer, fleet.runs(call.id()).await);
    }
}
