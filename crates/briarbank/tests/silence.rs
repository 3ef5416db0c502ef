//! Engines that pause and go on.

mod fleet;

use std::time::Duration;

use fleet::{Answer, Call, Fleet, POLL, Process, Size, long_prompt};
use serde_json::json;
use tokio::time::{sleep, timeout};
use uuid::Uuid;

/// Pause of a sound engine.
const PAUSE: Duration = Duration::from_millis(1_300);
/// Pause beyond the shortest silence timeout of a node.
const LONG_PAUSE: Duration = Duration::from_millis(2_700);
/// Longest time for a stream and a pause.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);
/// Tokens of the stream that a pause interrupts.
const TOKENS: u32 = 400;

const SIZE: Size = Size {
    nodes: 1,
    engines: 3,
    services: 0,
    token_us: 2_000,
    call_us: 0,
};

/// Starts a fleet whose node knows the speed of the engines.
async fn start(size: Size) -> Fleet {
    let fleet = Fleet::start(size).await;
    fleet.wait_ids_owned().await;
    let caller = fleet.caller(0);
    let calls = (0..24).map(|number| {
        let caller = &caller;
        async move {
            let prompt = format!("list {number}");
            let answer = caller.send(&Call::stream(&prompt, 30)).await;
            answer.expect("an answer").assert_stream_of(&prompt);
        }
    });
    futures_util::future::join_all(calls).await;
    fleet
}

/// Returns the engine that generates tokens, when it has generated some.
async fn busy_engine(fleet: &Fleet) -> &Process {
    loop {
        for engine in &fleet.engines {
            if engine.get("/control/state").await["running"] != 0 {
                sleep(POLL * 5).await;
                return engine;
            }
        }
        sleep(POLL).await;
    }
}

/// Pauses the busy engine, while the other engines refuse connections.
async fn pause_busy_engine(fleet: &Fleet, pause: Duration) {
    let busy = busy_engine(fleet).await;
    busy.post("/control", &json!({"frozen": true})).await;
    for engine in &fleet.engines {
        if engine.address != busy.address {
            let down = json!({"down_ms": 10_000});
            engine.post("/control/crash", &down).await;
        }
    }
    sleep(pause).await;
    busy.post("/control", &json!({"frozen": false})).await;
}

/// Returns the answer to a stream that a pause interrupts.
async fn stream_over_pause(fleet: &Fleet, call: &Call, pause: Duration) -> Answer {
    let caller = fleet.caller(0);
    let both = async { tokio::join!(caller.send(call), pause_busy_engine(fleet, pause)) };
    let (answer, ()) = timeout(ANSWER_TIMEOUT, both).await.expect("in time");
    answer.expect("an answer")
}

/// Guards against leaving a paused engine before another one has taken the stream.
#[tokio::test]
async fn stream_over_a_pause_is_whole_without_another_engine() {
    let fleet = start(SIZE).await;
    let prompt = long_prompt(TOKENS);
    let call = Call::stream(&prompt, 1_000);
    let answer = stream_over_pause(&fleet, &call, PAUSE).await;
    assert!(answer.assert_stream_of(&prompt) >= TOKENS);
}

/// Guards against the end of a stream that may run only once at a pause of its engine.
#[tokio::test]
async fn stream_that_may_run_once_waits_for_its_engine() {
    let fleet = start(SIZE).await;
    let prompt = long_prompt(TOKENS);
    let call = Call {
        profile: "orders",
        id: Some(Uuid::now_v7().to_string()),
        attempt: Some(1),
        ..Call::stream(&prompt, 1_000)
    };
    let answer = stream_over_pause(&fleet, &call, LONG_PAUSE).await;
    assert!(answer.assert_stream_of(&prompt) >= TOKENS);
}
