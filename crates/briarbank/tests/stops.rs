//! Graceful shutdown under load.

mod fleet;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use fleet::{Call, Caller, Fleet, POLL, Size};
use http::StatusCode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;

const SIZE: Size = Size {
    nodes: 3,
    engines: 2,
    services: 1,
    token_us: 2_000,
    call_us: 10_000,
};

/// Concurrent callers of streams, and as many of slips.
const CALLERS: usize = 8;

/// Stop flag and counts of answers, shared by all callers.
#[derive(Debug, Default)]
struct Counts {
    stopped: AtomicBool,
    streams: AtomicUsize,
    slips: AtomicUsize,
    refused: AtomicUsize,
}

/// Sends a call to the nodes in turn until one serves it.
///
/// A node that refuses the connection or the call did not run it, so another may;
/// any other answer must be complete.
async fn send_until_served(
    fleet: &[Caller],
    first: usize,
    mut call: Call,
    counts: &Counts,
) -> fleet::Answer {
    for turn in 0.. {
        let caller = &fleet[(first + turn) % fleet.len()];
        // Each call has its own connection, so `None` means that it was refused.
        if let Some(answer) = caller.send_on_fresh_connection(&call).await {
            if answer.status == StatusCode::OK {
                return answer;
            }
            counts.refused.fetch_add(1, Ordering::Relaxed);
            assert_eq!(
                answer.outcome.as_deref(),
                Some("not-run"),
                "{}",
                answer.text
            );
            if call.id.is_some() {
                call = Call::slip();
            }
        }
        sleep(POLL).await;
    }
    unreachable!("the loop has no end")
}

async fn send_streams(fleet: Arc<Vec<Caller>>, first: usize, counts: Arc<Counts>) {
    for number in 0.. {
        if counts.stopped.load(Ordering::Relaxed) {
            return;
        }
        let prompt = format!("list {first} {number}");
        let call = Call::stream(&prompt, 300);
        let answer = send_until_served(&fleet, first + number, call, &counts).await;
        answer.assert_stream_of(&prompt);
        counts.streams.fetch_add(1, Ordering::Relaxed);
    }
}

async fn send_slips(fleet: Arc<Vec<Caller>>, first: usize, counts: Arc<Counts>) {
    for number in 0.. {
        if counts.stopped.load(Ordering::Relaxed) {
            return;
        }
        let answer = send_until_served(&fleet, first + number, Call::slip(), &counts).await;
        assert_eq!(answer.outcome.as_deref(), Some("completed"));
        assert_eq!(answer.json()["run"], 1);
        counts.slips.fetch_add(1, Ordering::Relaxed);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nodes_stopped_one_after_another_lose_no_request() {
    let mut fleet = Fleet::start(SIZE).await;
    let callers: Vec<Caller> = (0..SIZE.nodes).map(|node| fleet.caller(node)).collect();
    let callers = Arc::new(callers);
    let counts = Arc::new(Counts::default());
    let mut tasks = JoinSet::new();
    for first in 0..CALLERS {
        tasks.spawn(send_streams(
            Arc::clone(&callers),
            first,
            Arc::clone(&counts),
        ));
        tasks.spawn(send_slips(Arc::clone(&callers), first, Arc::clone(&counts)));
    }
    for node in 0..SIZE.nodes {
        let status = fleet.stop_node(node).await;
        assert!(status.success(), "node {node}: {status}");
        fleet.restart_node(node).await;
    }
    counts.stopped.store(true, Ordering::Relaxed);
    while let Some(ended) = tasks.join_next().await {
        ended.expect("no caller lost a request");
    }
    let runs = fleet.services[0].get("/control/state").await;
    assert!(
        runs["doubled"]
            .as_object()
            .is_some_and(serde_json::Map::is_empty),
        "{runs}"
    );
    assert!(counts.streams.load(Ordering::Relaxed) > 0);
    assert!(counts.slips.load(Ordering::Relaxed) > 0);
    println!("{counts:?}");
}

/// Guards against closing a connection whose caller is slow to send its first request.
#[tokio::test]
async fn a_first_request_is_answered_late_in_a_stop() {
    let mut fleet = Fleet::start(Size { nodes: 1, ..SIZE }).await;
    let node = fleet.caller(0).node();
    let mut stream = TcpStream::connect(node).await.expect("a connection");
    // The node accepts connections in the order in which they arrive.
    fleet.caller(0).send(&Call::stream("list", 1)).await;
    fleet.nodes[0].terminate();
    sleep(Duration::from_millis(1_500)).await;
    let head = format!("GET /v1/models HTTP/1.1\r\nhost: {node}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.expect("a write");
    let mut answer = String::new();
    stream
        .read_to_string(&mut answer)
        .await
        .expect("an answer and its end");
    assert!(answer.starts_with("HTTP/1.1 200 OK\r\n"), "{answer}");
    assert!(answer.contains("\r\nconnection: close\r\n"), "{answer}");
    assert!(fleet.nodes[0].wait_exit().await.success());
}

#[tokio::test]
async fn second_signal_has_no_effect() {
    let mut fleet = Fleet::start(Size {
        services: 0,
        ..SIZE
    })
    .await;
    let caller = fleet.caller(0);
    let prompt = fleet::long_prompt(300);
    let call = Call::stream(&prompt, 600);
    let (answer, ()) = tokio::join!(caller.send(&call), async {
        while fleet.nodes[0].get("/dump").await["calls"] == 0 {
            sleep(POLL).await;
        }
        fleet.nodes[0].terminate();
        sleep(POLL).await;
        fleet.nodes[0].terminate();
    });
    answer.expect("an answer").assert_stream_of(&prompt);
    assert!(fleet.nodes[0].wait_exit().await.success());
}

/// At the drain timeout, remaining callers get an error event and the node exits.
#[tokio::test]
async fn drain_timeout_ends_streams_with_an_error_event() {
    let mut fleet = Fleet::start(Size {
        nodes: 1,
        services: 0,
        ..SIZE
    })
    .await;
    fleet.nodes[0].kill();
    fleet.drain_timeout_ms = 50;
    fleet.start_node(0);
    fleet.nodes[0].wait_ready().await;
    let caller = fleet.caller(0);
    let call = Call::stream(&fleet::long_prompt(2_000), 4_000);
    let (answer, ()) = tokio::join!(caller.send(&call), async {
        while fleet.engines[0].get("/control/state").await["tokens"] == 0
            && fleet.engines[1].get("/control/state").await["tokens"] == 0
        {
            sleep(POLL).await;
        }
        fleet.nodes[0].terminate();
    });
    let answer = answer.expect("an answer");
    let last = answer.text.trim_end().rsplit("\n\n").next();
    let last = last.expect("an event");
    assert!(last.starts_with("event: error\n"), "{last}");
    assert!(
        last.contains("\"stopping\"") && last.contains("\"unknown\""),
        "{last}"
    );
    assert!(!answer.text.contains("[DONE]"));
    assert!(fleet.nodes[0].wait_exit().await.success());
}
