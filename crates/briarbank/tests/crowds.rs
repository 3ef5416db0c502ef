//! Crowds of clients that break off, trickle or overflow, against a process of `node`.
//!
//! Each test checks what the process takes of its machine, and that an ordinary caller gets
//! its answer while the crowd is there and afterwards.

#[path = "../../../platform/tests/crowd/mod.rs"]
#[allow(dead_code, reason = "the tests of the gateway use the rest")]
mod crowd;
mod fleet;

use std::pin::pin;
use std::time::Duration;

use crowd::{Alone, Crowd, Script, Watch, serve_calls};
use fleet::{Call, Fleet, Size};
use http::StatusCode;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

const SIZE: Size = Size {
    nodes: 1,
    engines: 1,
    services: 0,
    token_us: 0,
    call_us: 0,
};

/// Memory that a node is to stay within.
const MEMORY_MB: u64 = 256;

/// Descriptors of the machine.
const DESCRIPTORS: u64 = 4_100;

/// Servers that take a crowd of 400 calls.
const FAULTY_SERVERS: usize = 50;

/// Largest body by the default limits.
const BODY_BYTES: usize = 1 << 20;

/// Time that a crowd has before an ordinary caller comes.
const CROWD_TIME: Duration = Duration::from_secs(4);

/// Time that a crowd needs for some million chunks.
const CHUNKS_TIME: Duration = Duration::from_secs(9);

/// Time after which a node knows what was published.
const PUBLISHED_TIME: Duration = Duration::from_secs(1);

/// Time within which an ordinary caller that tries again gets its answer.
const SERVED_TIME: Duration = Duration::from_secs(20);

async fn wait_served(fleet: &Fleet, prompt: &str) {
    let served = async {
        let call = Call::stream(prompt, 5);
        loop {
            // A connection that is closed or refused is one try.
            let sent = fleet.caller(0).send(&call).await;
            if sent.is_some_and(|answer| answer.status == StatusCode::OK) {
                return;
            }
            sleep(fleet::POLL).await;
        }
    };
    let mut served = pin!(served);
    if timeout(SERVED_TIME, &mut served).await.is_err() {
        let state = fleet.nodes[0].get("/dump").await;
        panic!("an ordinary call is not answered: {state}");
    }
}

/// Plays a crowd against the operator port, beside which readiness must be answered.
async fn check_operator_port(name: &str, clients: usize, script: &Script) {
    let _alone = Alone::wait();
    let fleet = Fleet::start_with_limits(SIZE, json!({})).await;
    let node = &fleet.nodes[0];
    let watch = Watch::start(node.id(), &[node.address]);
    let crowd = Crowd::start(clients, node.address, script);
    sleep(CROWD_TIME).await;
    let ready = timeout(SERVED_TIME, node.wait_ready()).await;
    assert!(ready.is_ok(), "readiness is not answered");
    drop(crowd);
    wait_served(&fleet, "afterwards").await;
    watch.check(name, MEMORY_MB, DESCRIPTORS);
}

async fn check(name: &str, limits: Value, clients: usize, time: Duration, script: &Script) {
    let _alone = Alone::wait();
    let fleet = Fleet::start_with_limits(SIZE, limits).await;
    let caller = fleet.caller(0).node();
    let watch = Watch::start(fleet.nodes[0].id(), &[caller]);
    let crowd = Crowd::start(clients, caller, script);
    sleep(time).await;
    wait_served(&fleet, "beside").await;
    drop(crowd);
    wait_served(&fleet, "afterwards").await;
    wait_served(&fleet, &"x".repeat(BODY_BYTES - 1_000)).await;
    watch.check(name, MEMORY_MB, DESCRIPTORS);
}

/// Plays a crowd of ordinary callers of faulty servers, which answer an attempt as `answer`
/// says and go no further.
async fn check_servers(name: &str, answer: fn(&str) -> String) {
    let _alone = Alone::wait();
    let mut fleet = Fleet::start_with_limits(SIZE, json!({})).await;
    for _ in 0..FAULTY_SERVERS {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        serve_calls(listener, move |head| {
            let attempt = head.split_once("briarbank-attempt: ")?.1;
            Some(answer(attempt.lines().next()?))
        });
        fleet.publish_server(address, "lens-model").await;
    }
    let caller = fleet.caller(0).node();
    let watch = Watch::start(fleet.nodes[0].id(), &[caller]);
    let body = r#"{"model":"lens-model","prompt":"x","stream":true,"max_tokens":50}"#;
    let request = head(&format!("content-length: {}", body.len())) + body;
    let crowd = Crowd::start(400, caller, &Script::new(request));
    sleep(CROWD_TIME).await;
    drop(crowd);
    fleet.published.servers.truncate(SIZE.engines);
    fleet.publish_all().await;
    // A call that is sent to one of them before the node knows it may wait there.
    sleep(PUBLISHED_TIME).await;
    wait_served(&fleet, "afterwards").await;
    watch.check(name, MEMORY_MB, DESCRIPTORS);
}

/// Returns the start of a stream of an attempt.
fn stream(attempt: &str, events: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
         briarbank-attempt: {attempt}\r\n\r\n{events}"
    )
}

fn head(more: &str) -> String {
    format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nbriarbank-workspace: w\r\n\
         briarbank-profile: lists\r\n{more}\r\n\r\n"
    )
}

#[tokio::test]
async fn large_bodies_that_stop_short() {
    let start = head(&format!("content-length: {BODY_BYTES}"));
    let script = Script::new(start).then(vec![b'x'; (1 << 15) - 1], BODY_BYTES >> 15);
    check("large bodies", json!({}), 500, CROWD_TIME, &script).await;
}

#[tokio::test]
async fn large_chunks() {
    let mut chunk = b"8000\r\n".to_vec();
    chunk.extend(vec![b'x'; 1 << 15]);
    chunk.extend(b"\r\n");
    let script = Script::new(head("transfer-encoding: chunked")).then(chunk, 31);
    check("large chunks", json!({}), 500, CROWD_TIME, &script).await;
}

#[tokio::test]
async fn tiny_chunks() {
    let script = Script::new(head("transfer-encoding: chunked"));
    let script = script.then("1\r\nx\r\n".repeat(1_000), 200);
    check("tiny chunks", json!({}), 100, CHUNKS_TIME, &script).await;
}

#[tokio::test]
async fn heads_without_an_end() {
    let start = "POST /v1/completions HTTP/1.1\r\nhost: x\r\nx-long: ";
    let script = Script::new(start).then(vec![b'x'; 1_000], 1_000);
    let limits = json!({"header_bytes": 1 << 20});
    check("heads", limits, 400, CROWD_TIME, &script).await;
}

/// Guards against callers that take up all connections and send nothing.
#[tokio::test]
async fn connections_that_send_nothing() {
    let limits = json!({"connections": 300, "header_timeout_ms": 60_000});
    check("silent", limits, 400, CROWD_TIME, &Script::new("")).await;
}

/// Guards against bytes that the process need not read and that its machine holds.
#[tokio::test]
async fn bytes_behind_a_call_that_waits() {
    let body = json!({"model": "lens-model", "prompt": "p", "stream": true, "max_tokens": 100_000});
    let body = body.to_string();
    let mut start = head(&format!("content-length: {}", body.len()));
    start.push_str(&body);
    let script = Script::new(start)
        .then_endlessly(vec![b'x'; 1 << 16])
        .unread();
    check("behind a call", json!({}), 800, CROWD_TIME, &script).await;
}

/// Guards against operators and readiness checks that a crowd keeps out.
#[tokio::test]
async fn connections_that_send_nothing_to_the_operator_port() {
    check_operator_port("operator port, silent", 300, &Script::new("")).await;
}

#[tokio::test]
async fn heads_without_an_end_to_the_operator_port() {
    let line = format!("x-line: {}\r\n", "x".repeat(4_000));
    let script = Script::new("GET /ready HTTP/1.1\r\nhost: x\r\n").then(line, 95);
    check_operator_port("operator port, heads", 300, &script).await;
}

/// Guards against parts of events that take memory beside all bounds.
#[tokio::test]
async fn parts_of_events() {
    let answer = |attempt: &str| {
        let part = "x".repeat(1_000_000);
        stream(attempt, &format!("data: {part}"))
    };
    check_servers("parts of events", answer).await;
}

/// Guards against texts of streams, kept to resume them, that take memory beside all bounds.
#[tokio::test]
async fn long_texts() {
    let answer = |attempt: &str| {
        let text = "x".repeat(20_000);
        let event = |index: usize| {
            let choice = json!({"text": text, "finish_reason": null});
            let event = json!({"attempt": attempt, "index": index, "choices": [choice]});
            format!("data: {event}\n\n")
        };
        let events: String = (0..50).map(event).collect();
        stream(attempt, &events)
    };
    check_servers("long texts", answer).await;
}
