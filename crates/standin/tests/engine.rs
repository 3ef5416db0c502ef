//! Protocol and failure switches of the engine stand-in.

mod common;

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use briarbank_standin::{Client, answer_length, answer_token, prompt_hash};
use common::{TestServer, get_json, model_call, send, set_switches, start_engine};
use serde_json::{Value, json};

/// Seed of the answer lengths that [`start_engine`] sets.
const SEED: u64 = 7;
const PATH: &str = "/v1/completions";

/// Returns the tokens of the answer to a prompt.
fn expected_tokens(prompt: &str, max_tokens: u32) -> Vec<String> {
    let hash = prompt_hash(prompt);
    let length = answer_length(hash, SEED, max_tokens);
    (0..length)
        .map(|i| answer_token(hash, i, i + 1 == length))
        .collect()
}

/// Returns the data of the events of a stream, up to its end or failure.
async fn stream_events(
    client: &Client,
    at: SocketAddr,
    headers: &[(&str, &str)],
    body: &str,
) -> Vec<String> {
    let mut answer = send(client, at, "POST", PATH, headers, body)
        .await
        .expect("head");
    let mut text = String::new();
    while let Ok(Some(chunk)) = answer.chunk().await {
        text.push_str(std::str::from_utf8(&chunk).expect("UTF-8"));
    }
    let events = text.split("\n\n").filter(|e| !e.is_empty());
    events
        .map(|e| e.strip_prefix("data: ").expect("data").to_owned())
        .collect()
}

/// Returns the tokens of all events that are valid JSON.
fn event_tokens(events: &[String]) -> Vec<String> {
    let parsed = events
        .iter()
        .filter_map(|e| serde_json::from_str::<Value>(e).ok());
    parsed
        .filter_map(|e| Some(e["choices"][0]["text"].as_str()?.to_owned()))
        .collect()
}

async fn start_engine_and_client() -> (TestServer, Client) {
    (start_engine(8, 0).await, Client::default())
}

#[tokio::test]
async fn stream_has_each_token_once_in_order() {
    let (engine, client) = start_engine_and_client().await;
    let headers = [("briarbank-attempt", "a-1")];
    let events = stream_events(
        &client,
        engine.address,
        &headers,
        &model_call("which lenses", true, 200),
    )
    .await;
    assert_eq!(events.last().map(String::as_str), Some("[DONE]"));
    assert_eq!(event_tokens(&events), expected_tokens("which lenses", 200));
    for (index, event) in events[..events.len() - 1].iter().enumerate() {
        let event: Value = serde_json::from_str(event).expect("JSON");
        assert_eq!(event["index"], index);
        assert_eq!(event["attempt"], "a-1");
        let finish = &event["choices"][0]["finish_reason"];
        assert_eq!(*finish == "stop", index + 2 == events.len());
    }
    engine.stop().await;
}

#[tokio::test]
async fn unstreamed_answer_has_the_same_tokens() {
    let (engine, client) = start_engine_and_client().await;
    let body = json!({"model": "m", "messages": [{"role": "user", "content": "a list"}]});
    let answer = send(
        &client,
        engine.address,
        "POST",
        "/v1/chat/completions",
        &[("briarbank-attempt", "a-2")],
        &body.to_string(),
    )
    .await
    .expect("answer");
    assert_eq!(answer.header("briarbank-attempt"), Some("a-2"));
    let answer: Value = serde_json::from_slice(&answer.bytes().await.expect("body")).expect("JSON");
    let text = expected_tokens("a list", 256).concat();
    assert_eq!(answer["choices"][0]["message"]["content"], text);
    engine.stop().await;
}

#[tokio::test]
async fn resumed_stream_continues_after_received_tokens() {
    let (engine, client) = start_engine_and_client().await;
    let whole = expected_tokens("resume me", 300);
    let received_count = whole.len() / 2;
    let headers = [("briarbank-resume-tokens", &*received_count.to_string())];
    let events = stream_events(
        &client,
        engine.address,
        &headers,
        &model_call("resume me", true, 300),
    )
    .await;
    assert_eq!(event_tokens(&events), whole[received_count..]);
    engine.stop().await;
}

/// Returns a prompt whose answer has more than 2,000 tokens.
fn long_prompt() -> String {
    (0..100_000)
        .map(|n| format!("long {n}"))
        .find(|p| expected_tokens(p, 5_000).len() > 2_000)
        .expect("a long answer")
}

#[tokio::test]
async fn closed_connection_cancels_the_request() {
    let engine = start_engine(1, 1_000).await;
    let client = Client::default();
    let prompt = long_prompt();
    let mut answer = send(
        &client,
        engine.address,
        "POST",
        PATH,
        &[],
        &model_call(&prompt, true, 5_000),
    )
    .await
    .expect("head");
    assert!(answer.chunk().await.expect("first").is_some());
    drop(answer);
    while get_json(&client, engine.address, "/control/state").await["cancelled"] != 1 {}
    engine.stop().await;
}

#[tokio::test]
async fn crash_breaks_the_stream_and_the_engine_restarts() {
    let (engine, client) = start_engine_and_client().await;
    let switches = json!({"crash_after_tokens": 3, "crash_down_ms": 1});
    set_switches(&client, engine.address, &switches).await;
    let body = model_call("long enough", true, 100);
    let events = stream_events(&client, engine.address, &[], &body).await;
    assert_eq!(
        event_tokens(&events),
        expected_tokens("long enough", 100)[..3]
    );
    loop {
        let again = send(&client, engine.address, "POST", PATH, &[], &body).await;
        if again.is_ok_and(|a| a.head.status == 200) {
            break;
        }
    }
    engine.stop().await;
}

#[tokio::test]
async fn swapped_answers_carry_each_others_attempt_id() {
    let (engine, client) = start_engine_and_client().await;
    set_switches(&client, engine.address, &json!({"cross_answers": true})).await;
    let bodies = [model_call("one", true, 50), model_call("two", true, 50)];
    let calls = ["a", "b"].map(|a| [("briarbank-attempt", a)]);
    let (one, two) = tokio::join!(
        stream_events(&client, engine.address, &calls[0], &bodies[0]),
        stream_events(&client, engine.address, &calls[1], &bodies[1]),
    );
    let first = |events: &[String]| serde_json::from_str::<Value>(&events[0]).expect("JSON");
    assert_eq!(first(&one)["attempt"], "b");
    assert_eq!(first(&two)["attempt"], "a");
    assert_eq!(event_tokens(&one)[0], expected_tokens("two", 50)[0]);
    engine.stop().await;
}

#[tokio::test]
async fn silenced_connections_stay_silent_while_new_ones_work() {
    let engine = start_engine(8, 0).await;
    let (old, new) = (Client::default(), Client::default());
    let body = model_call("quiet", false, 10);
    let first = send(&old, engine.address, "POST", PATH, &[], &body).await;
    first.expect("head").bytes().await.expect("body");
    let silence = send(&new, engine.address, "POST", "/control/silence", &[], "");
    assert_eq!(silence.await.expect("answer").head.status, 200);
    let later_calls = async {
        for _ in 0..20 {
            let fresh = send(&new, engine.address, "POST", PATH, &[], &body).await;
            fresh.expect("head").bytes().await.expect("body");
        }
    };
    tokio::select! {
        biased;
        _ = send(&old, engine.address, "POST", PATH, &[], &body) => panic!("a silenced connection answered"),
        () = later_calls => {}
    }
    engine.stop().await;
}

#[tokio::test]
async fn malformed_event_is_not_valid_json() {
    let (engine, client) = start_engine_and_client().await;
    set_switches(&client, engine.address, &json!({"malformed_events": 1})).await;
    let body = model_call("odd", true, 50);
    let events = stream_events(&client, engine.address, &[], &body).await;
    assert!(serde_json::from_str::<Value>(&events[0]).is_err());
    assert_eq!(event_tokens(&events), expected_tokens("odd", 50)[1..]);
    engine.stop().await;
}

#[tokio::test]
async fn leaving_engine_refuses_with_not_run_header() {
    let (engine, client) = start_engine_and_client().await;
    set_switches(&client, engine.address, &json!({"leaving": true})).await;
    let body = model_call("late", false, 50);
    let refused = send(&client, engine.address, "POST", PATH, &[], &body)
        .await
        .expect("answer");
    assert_eq!(refused.head.status, 503);
    assert_eq!(refused.header("briarbank-not-run"), Some("leaving"));
    assert_eq!(refused.header("briarbank-server-state"), Some("leaving"));
    let state = get_json(&client, engine.address, "/control/state").await;
    assert_eq!(state["queued"], 0);
    engine.stop().await;
}

#[tokio::test]
async fn lower_fencing_number_is_refused_only_if_checked() {
    let (engine, client) = start_engine_and_client().await;
    let body = model_call("order", false, 5);
    for (checks, number, status) in [
        (false, "9", 200),
        (false, "8", 200),
        (true, "8", 409),
        (true, "9", 200),
    ] {
        set_switches(&client, engine.address, &json!({"checks_fencing": checks})).await;
        let headers = [("briarbank-fencing", number)];
        let answer = send(&client, engine.address, "POST", PATH, &headers, &body).await;
        assert_eq!(answer.expect("answer").head.status, status, "{number}");
    }
    engine.stop().await;
}

#[tokio::test]
async fn false_load_replaces_the_reported_load() {
    let (engine, client) = start_engine_and_client().await;
    let load = json!({"false_load": {"running": 1, "waiting": 2, "age_ms": 3}});
    set_switches(&client, engine.address, &load).await;
    let body = model_call("load", false, 5);
    let answer = send(&client, engine.address, "POST", PATH, &[], &body)
        .await
        .expect("answer");
    assert_eq!(
        answer.header("briarbank-load"),
        Some("running=1,waiting=2,age_ms=3")
    );
    engine.stop().await;
}

#[tokio::test]
async fn invalid_request_bodies_are_refused() {
    let (engine, client) = start_engine_and_client().await;
    for body in ["", "{", "[]", "{\"model\": 3}"] {
        let answer = send(&client, engine.address, "POST", PATH, &[], body).await;
        assert_eq!(answer.expect("answer").head.status, 400, "{body}");
    }
    engine.stop().await;
}

#[tokio::test]
async fn lower_tier_number_leaves_the_queue_first() {
    let engine = start_engine(1, 1_000).await;
    let client = Client::default();
    let at = engine.address;
    let long = model_call(&long_prompt(), true, 5_000);
    let mut busy = send(&client, at, "POST", PATH, &[], &long)
        .await
        .expect("head");
    assert!(busy.chunk().await.expect("first").is_some());
    let order = Mutex::new(Vec::new());
    let call = async |tier: &'static str, others: u64| {
        while get_json(&client, at, "/control/state").await["waiting"] != others {}
        let body = model_call("short", false, 3);
        let headers = [("briarbank-tier", tier)];
        let answer = send(&client, at, "POST", PATH, &headers, &body).await;
        answer.expect("head").bytes().await.expect("body");
        order.lock().expect("order").push(tier);
    };
    let release = async {
        while get_json(&client, at, "/control/state").await["waiting"] != 3 {}
        drop(busy);
    };
    tokio::join!(call("5", 0), call("3", 1), call("0", 2), release);
    assert_eq!(*order.lock().expect("order"), ["0", "3", "5"]);
    engine.stop().await;
}

#[tokio::test]
async fn prefix_cache_evicts_and_counts_hits() {
    let (engine, client) = start_engine_and_client().await;
    let prompts = ["a", "b", "c", "d", "e", "e", "a"];
    for prompt in prompts {
        let body = model_call(prompt, false, 3);
        let answer = send(&client, engine.address, "POST", PATH, &[], &body).await;
        answer.expect("head").bytes().await.expect("body");
    }
    let state = get_json(&client, engine.address, "/control/state").await;
    // Four prefixes fit: the second "e" is a hit, "a" was evicted before its second use.
    assert_eq!(
        (&state["prefix_hits"], &state["cached_prefixes"]),
        (&json!(1), &json!(4))
    );
    engine.stop().await;
}

#[tokio::test]
async fn cut_breaks_only_one_stream() {
    let (engine, client) = start_engine_and_client().await;
    set_switches(&client, engine.address, &json!({"cut_after_tokens": 2})).await;
    let body = model_call("cut me", true, 100);
    let whole = expected_tokens("cut me", 100);
    for expected in [&whole[..2], &whole[..]] {
        let events = stream_events(&client, engine.address, &[], &body).await;
        assert_eq!(event_tokens(&events), expected);
    }
    engine.stop().await;
}

#[tokio::test]
async fn frozen_engine_answers_after_it_resumes() {
    let (engine, client) = start_engine_and_client().await;
    let at = engine.address;
    set_switches(&client, at, &json!({"frozen": true})).await;
    let body = model_call("cold", false, 10);
    let mut call = Box::pin(send(&client, at, "POST", PATH, &[], &body));
    let meanwhile = async {
        for _ in 0..20 {
            assert_eq!(get_json(&client, at, "/control/state").await["queued"], 0);
        }
    };
    tokio::select! {
        _ = &mut call => panic!("a frozen engine answered"),
        () = meanwhile => {}
    }
    set_switches(&client, at, &json!({"frozen": false})).await;
    assert_eq!(call.await.expect("answer").head.status, 200);
    engine.stop().await;
}

#[tokio::test]
async fn late_and_straggling_engine_delays_the_answer() {
    let engine = start_engine(8, 1_000).await;
    let client = Client::default();
    let slow = json!({"late_ms": 30, "straggle_factor": 10.0});
    set_switches(&client, engine.address, &slow).await;
    let begin = tokio::time::Instant::now();
    let body = model_call("slow", false, 3);
    let answer = send(&client, engine.address, "POST", PATH, &[], &body).await;
    answer.expect("head").bytes().await.expect("body");
    let tokens = u32::try_from(expected_tokens("slow", 3).len()).expect("few");
    // The first token takes no time, each further one ten times 1 ms.
    let least = Duration::from_millis(30) + Duration::from_millis(10) * (tokens - 1);
    assert!(begin.elapsed() >= least);
    engine.stop().await;
}
