//! Planned stops under load.

mod fleet;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use fleet::{Call, Caller, Fleet, POLL, Size};
use http::StatusCode;
use tokio::task::JoinSet;
use tokio::time::sleep;

const SIZE: Size = Size {
    nodes: 3,
    engines: 2,
    services: 1,
    token_us: 2_000,
    call_us: 10_000,
};

/// Callers that run at once, each for streams and for slips.
const CALLERS: usize = 8;

/// What the callers saw.
#[derive(Debug, Default)]
struct Seen {
    ended: AtomicBool,
    streams: AtomicUsize,
    slips: AtomicUsize,
    refused: AtomicUsize,
}

/// Sends a call to one node after another until it is answered.
///
/// A node that refuses the connection or the call did not run it; anything
/// else has to be an answer to its end.
async fn insist(fleet: &[Caller], first: usize, mut call: Call, seen: &Seen) -> fleet::Answer {
    for turn in 0.. {
        let caller = &fleet[(first + turn) % fleet.len()];
        // Without an answer's head the connection was refused: each call has its own.
        if let Some(answer) = caller.send_on_fresh_connection(&call).await {
            if answer.status == StatusCode::OK {
                return answer;
            }
            seen.refused.fetch_add(1, Ordering::Relaxed);
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

async fn stream_forever(fleet: Arc<Vec<Caller>>, first: usize, seen: Arc<Seen>) {
    for number in 0.. {
        if seen.ended.load(Ordering::Relaxed) {
            return;
        }
        let prompt = format!("list {first} {number}");
        let call = Call::stream(&prompt, 300);
        let answer = insist(&fleet, first + number, call, &seen).await;
        answer.assert_stream_of(&prompt);
        seen.streams.fetch_add(1, Ordering::Relaxed);
    }
}

async fn slip_forever(fleet: Arc<Vec<Caller>>, first: usize, seen: Arc<Seen>) {
    for number in 0.. {
        if seen.ended.load(Ordering::Relaxed) {
            return;
        }
        let answer = insist(&fleet, first + number, Call::slip(), &seen).await;
        assert_eq!(answer.outcome.as_deref(), Some("completed"));
        assert_eq!(answer.json()["run"], 1);
        seen.slips.fetch_add(1, Ordering::Relaxed);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nodes_stopped_one_after_another_lose_no_request() {
    let mut fleet = Fleet::start(SIZE).await;
    let callers: Vec<Caller> = (0..SIZE.nodes).map(|node| fleet.caller(node)).collect();
    let callers = Arc::new(callers);
    let seen = Arc::new(Seen::default());
    let mut tasks = JoinSet::new();
    for first in 0..CALLERS {
        tasks.spawn(stream_forever(
            Arc::clone(&callers),
            first,
            Arc::clone(&seen),
        ));
        tasks.spawn(slip_forever(Arc::clone(&callers), first, Arc::clone(&seen)));
    }
    for node in 0..SIZE.nodes {
        let status = fleet.stop_node(node).await;
        assert!(status.success(), "node {node}: {status}");
        fleet.restart_node(node).await;
    }
    seen.ended.store(true, Ordering::Relaxed);
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
    assert!(seen.streams.load(Ordering::Relaxed) > 0);
    assert!(seen.slips.load(Ordering::Relaxed) > 0);
    println!("{seen:?}");
}

#[tokio::test]
async fn second_signal_changes_nothing() {
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
    assert!(fleet.nodes[0].ended().await.success());
}

/// A stop whose time is over tells the callers that are left, and ends.
#[tokio::test]
async fn stop_whose_time_is_over_ends_with_a_clear_word() {
    let mut fleet = Fleet::start(Size {
        nodes: 1,
        services: 0,
        ..SIZE
    })
    .await;
    fleet.nodes[0].kill();
    fleet.drain_timeout_ms = 50;
    fleet.start_node(0);
    fleet.nodes[0].ready().await;
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
    assert!(fleet.nodes[0].ended().await.success());
}
