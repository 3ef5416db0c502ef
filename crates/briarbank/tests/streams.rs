//! Streamed answers while engines fail.

mod fleet;

use fleet::{Call, Fleet, POLL, Size, long_prompt};
use http::StatusCode;
use serde_json::json;

/// Two engines behind one node, with tokens slow enough that faults hit open streams.
const SIZE: Size = Size {
    nodes: 1,
    engines: 2,
    services: 0,
    token_us: 2_000,
    call_us: 0,
};

/// Sends concurrent streams and checks that each is complete, in order and its own.
async fn assert_streams_complete(fleet: &Fleet, count: usize, max_tokens: u32) {
    let caller = fleet.caller(0);
    let calls = (0..count).map(|number| {
        let caller = &caller;
        async move {
            let prompt = format!("list {number}");
            let call = Call::stream(&prompt, max_tokens);
            let answer = caller.send(&call).await.expect("an answer");
            answer.assert_stream_of(&prompt);
        }
    });
    futures_util::future::join_all(calls).await;
}

#[tokio::test]
async fn stream_is_resumed_after_an_engine_crash() {
    let fleet = Fleet::start(SIZE).await;
    let crash = json!({"crash_after_tokens": 5, "crash_down_ms": 300});
    fleet.engines[0].post("/control", &crash).await;
    assert_streams_complete(&fleet, 12, 200).await;
}

#[tokio::test]
async fn stream_is_resumed_after_a_disconnect() {
    let fleet = Fleet::start(SIZE).await;
    for engine in &fleet.engines {
        engine
            .post("/control", &json!({"cut_after_tokens": 3}))
            .await;
    }
    assert_streams_complete(&fleet, 8, 100).await;
}

/// Guards against answers of two versions: a stream went on at any engine of its model.
#[tokio::test]
async fn a_stream_goes_on_only_at_the_version_that_began_it() {
    const VERSIONS: [&str; 2] = ["v1", "v2"];
    let fleet = Fleet::start_with_versions(Size { engines: 4, ..SIZE }, &VERSIONS).await;
    for engine in &fleet.engines {
        engine
            .post("/control", &json!({"cut_after_tokens": 3}))
            .await;
    }
    let caller = fleet.caller(0);
    let calls = (0..16).map(|number| {
        let caller = &caller;
        async move {
            let prompt = format!("list {number}");
            let answer = caller.send(&Call::stream(&prompt, 100)).await;
            let answer = answer.expect("an answer");
            answer.assert_stream_of_one(&prompt, &VERSIONS);
        }
    });
    futures_util::future::join_all(calls).await;
}

#[tokio::test]
async fn malformed_events_never_reach_the_caller() {
    let fleet = Fleet::start(SIZE).await;
    for engine in &fleet.engines {
        engine
            .post("/control", &json!({"malformed_events": 2}))
            .await;
    }
    assert_streams_complete(&fleet, 8, 100).await;
}

#[tokio::test]
async fn crossed_answers_never_reach_a_caller() {
    let fleet = Fleet::start(SIZE).await;
    for engine in &fleet.engines {
        engine
            .post("/control", &json!({"cross_answers": true}))
            .await;
    }
    assert_streams_complete(&fleet, 8, 50).await;
    let crossed = fleet.nodes[0]
        .metric("briarbank_crossed_answers_total")
        .await;
    assert!(crossed >= 2.0, "{crossed}");
}

#[tokio::test]
async fn late_answers_are_complete() {
    let fleet = Fleet::start(SIZE).await;
    fleet.engines[0]
        .post("/control", &json!({"late_ms": 400}))
        .await;
    assert_streams_complete(&fleet, 8, 50).await;
}

#[tokio::test]
async fn silent_connections_are_replaced() {
    let fleet = Fleet::start(SIZE).await;
    assert_streams_complete(&fleet, 8, 20).await;
    // The open connections of the node go silent; new ones work.
    for engine in &fleet.engines {
        engine.post("/control/silence", &json!({})).await;
    }
    assert_streams_complete(&fleet, 8, 20).await;
}

#[tokio::test]
async fn connection_silent_in_mid_stream_is_replaced() {
    let fleet = Fleet::start(SIZE).await;
    let caller = fleet.caller(0);
    let prompt = long_prompt(400);
    let call = Call::stream(&prompt, 1_000);
    let (answer, ()) = tokio::join!(caller.send(&call), silence_generating_engine(&fleet));
    let tokens = answer.expect("an answer").assert_stream_of(&prompt);
    assert!(tokens >= 400, "{tokens}");
}

/// Silences the open connections of the first engine that generates tokens.
async fn silence_generating_engine(fleet: &Fleet) {
    loop {
        for engine in &fleet.engines {
            let state = engine.get("/control/state").await;
            if state["tokens"].as_u64() > Some(10) {
                engine.post("/control/silence", &json!({})).await;
                return;
            }
        }
        tokio::time::sleep(POLL).await;
    }
}

#[tokio::test]
async fn completion_without_streaming_is_forwarded() {
    let fleet = Fleet::start(SIZE).await;
    let mut call = Call::stream("short", 10);
    call.body["stream"] = json!(false);
    let answer = fleet.caller(0).send(&call).await.expect("an answer");
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.outcome.as_deref(), Some("completed"));
    assert_eq!(answer.json()["choices"][0]["finish_reason"], "stop");
}

/// A move of a stream can race with its end; neither side may wait for the other.
#[tokio::test]
async fn moved_streams_leave_no_call_in_flight() {
    let fleet = Fleet::start(Size {
        engines: 3,
        token_us: 1_000,
        ..SIZE
    })
    .await;
    let straggle = json!({"straggle_factor": 30.0});
    for turn in 0..12 {
        let engine = &fleet.engines[turn % 3];
        engine.post("/control", &straggle).await;
        assert_streams_complete(&fleet, 60, 60).await;
        engine
            .post("/control", &json!({"straggle_factor": 1.0}))
            .await;
    }
    let node = &fleet.nodes[0];
    // Time for calls in flight to end, far below the deadline of any call.
    for _ in 0..100 {
        if node.get("/dump").await["calls"] == 0 {
            return;
        }
        tokio::time::sleep(POLL).await;
    }
    panic!("{}", node.get("/dump").await);
}

#[tokio::test]
async fn abandoned_stream_is_cancelled_at_its_engine() {
    let fleet = Fleet::start(SIZE).await;
    let caller = fleet.caller(0);
    let call = Call::stream(&long_prompt(2_000), 4_000);
    let started = async {
        loop {
            for engine in &fleet.engines {
                if engine.get("/control/state").await["tokens"] != 0 {
                    return;
                }
            }
        }
    };
    tokio::select! {
        answer = caller.send(&call) => panic!("ended too early: {answer:?}"),
        () = started => {}
    }
    drop(caller);
    loop {
        for engine in &fleet.engines {
            let state = engine.get("/control/state").await;
            if state["cancelled"] == 1 {
                return;
            }
            assert_eq!(state["finished"], 0, "it ran to its end");
        }
        tokio::time::sleep(POLL).await;
    }
}
