//! Protocol and failure switches of the platform stand-in.

mod common;

use briarbank_standin::Client;
use common::{get_json, send, set_switches, start_platform};
use serde_json::json;

#[tokio::test]
async fn serves_the_newest_revision_with_its_number() {
    let platform = start_platform(1_000).await;
    let client = Client::default();
    let at = platform.address;
    let missing = send(&client, at, "GET", "/v1/values/hosts", &[], "")
        .await
        .expect("answer");
    assert_eq!(missing.head.status, 404);
    for body in ["{\"hosts\": []}", "{\"hosts\": [1]}"] {
        let put = send(&client, at, "PUT", "/control/values/hosts", &[], body)
            .await
            .expect("answer");
        assert_eq!(put.head.status, 200);
    }
    let got = send(&client, at, "GET", "/v1/values/hosts", &[], "")
        .await
        .expect("answer");
    assert_eq!(got.header("revision"), Some("2"));
    assert_eq!(got.bytes().await.expect("body"), "{\"hosts\": [1]}");
    platform.stop().await;
}

#[tokio::test]
async fn refuses_a_revision_that_is_not_newer() {
    let platform = start_platform(1_000).await;
    let client = Client::default();
    let at = platform.address;
    for (path, status) in [
        ("/control/values/config?revision=9", 200),
        ("/control/values/config?revision=9", 409),
        ("/control/values/config?revision=3", 409),
        ("/control/values/config", 200),
    ] {
        let put = send(&client, at, "PUT", path, &[], "{}")
            .await
            .expect("answer");
        assert_eq!(put.head.status, status, "{path}");
    }
    let state = get_json(&client, at, "/control/state").await;
    assert_eq!(state["revisions"]["config"], 10);
    platform.stop().await;
}

#[tokio::test]
async fn watch_waits_for_a_newer_revision_and_counts_as_one_call() {
    let platform = start_platform(1_000).await;
    let client = Client::default();
    let at = platform.address;
    send(&client, at, "PUT", "/control/values/config", &[], "1")
        .await
        .expect("answer");
    let path = "/v1/values/config?after=1&wait_ms=60000";
    let watch = send(&client, at, "GET", path, &[("briarbank-reader", "a")], "");
    let put = async {
        // Publishes the value only after the watch has started to wait.
        while get_json(&client, at, "/control/state").await["waiting"] != 1 {}
        send(&client, at, "PUT", "/control/values/config", &[], "2")
            .await
            .expect("answer")
    };
    let (watched, _) = tokio::join!(watch, put);
    assert_eq!(watched.expect("answer").header("revision"), Some("2"));
    let state = get_json(&client, at, "/control/state").await;
    assert_eq!(state["calls"], 1);
    assert_eq!(state["readers"]["a"], 1);
    assert_eq!(state["waiting"], 0);
    platform.stop().await;
}

#[tokio::test]
async fn watch_times_out_without_a_newer_revision() {
    let platform = start_platform(1_000).await;
    let client = Client::default();
    let path = "/v1/values/config?after=1&wait_ms=1";
    let watched = send(&client, platform.address, "GET", path, &[], "")
        .await
        .expect("answer");
    assert_eq!(watched.head.status, 204);
    platform.stop().await;
}

#[tokio::test]
async fn refuses_calls_above_the_rate_limit() {
    let platform = start_platform(0).await;
    let client = Client::default();
    let got = send(
        &client,
        platform.address,
        "GET",
        "/v1/values/config",
        &[],
        "",
    )
    .await
    .expect("answer");
    assert_eq!(got.head.status, 429);
    let state = get_json(&client, platform.address, "/control/state").await;
    assert_eq!((&state["calls"], &state["refused"]), (&json!(1), &json!(1)));
    platform.stop().await;
}

#[tokio::test]
async fn switches_make_values_stale_for_named_readers_and_unavailable() {
    let platform = start_platform(1_000).await;
    let client = Client::default();
    let at = platform.address;
    for body in ["1", "2"] {
        send(&client, at, "PUT", "/control/values/config", &[], body)
            .await
            .expect("answer");
    }
    let stale = json!({"stale": [{"key": "config", "revision": 1, "readers": ["a"]}]});
    set_switches(&client, at, &stale).await;
    for (reader, revision) in [("a", "1"), ("b", "2")] {
        let headers = [("briarbank-reader", reader)];
        let got = send(&client, at, "GET", "/v1/values/config", &headers, "")
            .await
            .expect("answer");
        assert_eq!(got.header("revision"), Some(revision), "{reader}");
    }
    set_switches(&client, at, &json!({"down": true})).await;
    let got = send(&client, at, "GET", "/v1/values/config", &[], "")
        .await
        .expect("answer");
    assert_eq!(got.head.status, 503);
    platform.stop().await;
}

#[tokio::test]
async fn cut_off_reader_gets_no_answer() {
    let platform = start_platform(1_000).await;
    let client = Client::default();
    let at = platform.address;
    send(&client, at, "PUT", "/control/values/config", &[], "1")
        .await
        .expect("answer");
    set_switches(&client, at, &json!({"cut_readers": ["a"]})).await;
    let cut = send(
        &client,
        at,
        "GET",
        "/v1/values/config",
        &[("briarbank-reader", "a")],
        "",
    );
    let other = async {
        let headers = [("briarbank-reader", "b")];
        let got = send(&client, at, "GET", "/v1/values/config", &headers, "")
            .await
            .expect("answer");
        assert_eq!(got.head.status, 200);
        set_switches(&client, at, &json!({"cut_readers": []})).await;
    };
    let (cut, ()) = tokio::join!(cut, other);
    assert!(
        cut.is_err(),
        "the call of a cut-off reader must fail without an answer"
    );
    platform.stop().await;
}

#[tokio::test]
async fn unknown_switch_is_refused() {
    let platform = start_platform(1_000).await;
    let client = Client::default();
    let refused = send(
        &client,
        platform.address,
        "POST",
        "/control",
        &[],
        "{\"dwon\": true}",
    )
    .await
    .expect("answer");
    assert_eq!(refused.head.status, 400);
    platform.stop().await;
}
