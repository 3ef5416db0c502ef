//! Run counts and failure switches of the service stand-in.

mod common;

use briarbank_standin::Client;
use common::{get_json, send, set_switches, start_service};
use serde_json::{Value, json};

#[tokio::test]
async fn repeated_run_of_an_id_is_counted() {
    let service = start_service().await;
    let client = Client::default();
    for (id, run) in [("r1", 1), ("r2", 1), ("r1", 2)] {
        let headers = [("briarbank-request-id", id), ("briarbank-attempt", "a")];
        let answer = send(&client, service.address, "POST", "/slip", &headers, "{}")
            .await
            .expect("answer");
        assert_eq!(answer.header("briarbank-attempt"), Some("a"));
        let body: Value =
            serde_json::from_slice(&answer.bytes().await.expect("body")).expect("JSON");
        assert_eq!(body["run"], run);
    }
    let runs = get_json(&client, service.address, "/control/runs").await;
    let expected = json!({"total": 3, "runs": {"r1": 2, "r2": 1}, "doubled": {"r1": 2}});
    assert_eq!(runs, expected);
    service.stop().await;
}

#[tokio::test]
async fn call_with_a_cut_answer_counts_as_run() {
    let service = start_service().await;
    let client = Client::default();
    set_switches(&client, service.address, &json!({"cut_after_tokens": 1})).await;
    let headers = [("briarbank-request-id", "r1")];
    let cut = send(&client, service.address, "POST", "/slip", &headers, "{}").await;
    assert!(cut.is_err());
    let runs = get_json(&client, service.address, "/control/runs").await;
    assert_eq!(runs["runs"]["r1"], 1);
    service.stop().await;
}

#[tokio::test]
async fn leaving_service_runs_no_calls() {
    let service = start_service().await;
    let client = Client::default();
    set_switches(&client, service.address, &json!({"leaving": true})).await;
    let headers = [("briarbank-request-id", "r1")];
    let refused = send(&client, service.address, "POST", "/slip", &headers, "{}")
        .await
        .expect("answer");
    assert_eq!(refused.header("briarbank-not-run"), Some("leaving"));
    let runs = get_json(&client, service.address, "/control/runs").await;
    assert_eq!(runs["total"], 0);
    service.stop().await;
}
