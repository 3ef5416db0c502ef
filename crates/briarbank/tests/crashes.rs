//! Prompts that crash the engines that answer them.

mod fleet;

use fleet::{Call, Fleet, Size};
use http::StatusCode;
use serde_json::json;
use tokio::net::TcpStream;

/// More engines than a call may be sent to.
const SIZE: Size = Size {
    nodes: 1,
    engines: 8,
    services: 0,
    token_us: 2_000,
    call_us: 0,
};
/// Attempts of one call.
const ATTEMPTS_MAX: usize = 3;

/// Guards against a prompt that is sent to one engine after the other until none is left.
#[tokio::test]
async fn call_crashes_no_more_engines_than_it_has_attempts() {
    let fleet = Fleet::start(SIZE).await;
    let crash = json!({"crash_after_tokens": 0, "crash_down_ms": 60_000});
    for engine in &fleet.engines {
        engine.post("/control", &crash).await;
    }
    let answer = fleet.caller(0).send(&Call::stream("x", 50)).await;
    let answer = answer.expect("an answer");
    assert!(answer.status != StatusCode::OK || answer.text.contains("event: error"));
    let mut crashed = 0;
    for engine in &fleet.engines {
        crashed += usize::from(TcpStream::connect(engine.address).await.is_err());
    }
    println!("{crashed} engines crashed");
    assert!((1..=ATTEMPTS_MAX).contains(&crashed), "{crashed}");
}
