//! Memory of the node with many open streams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use briarbank_standin::Client;
use serde_json::json;
use tokio::task::JoinSet;

use crate::bench::{Bench, Call, PACED_TOKEN_US, send};
use crate::streams::{MAX_TOKENS, long_prompts, stream_body};

/// Number of streams to open.
const STREAMS: usize = 5_000;
/// Time between tokens of each stream.
const TOKEN_US: u64 = 79_000;
/// Pause between the starts of two streams.
const START_PAUSE: Duration = Duration::from_millis(1);
/// Longest wait for all streams to be open.
const OPEN_TIMEOUT: Duration = Duration::from_secs(40);
/// Interval between checks of the number of open streams.
const OPEN_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which the streams run before memory is measured.
const RUN_TIME: Duration = Duration::from_secs(10);

/// Opens streams, lets them run and prints the node's memory.
pub(crate) async fn measure_open_streams(bench: &Bench) {
    let (idle_mb, _) = bench.node.memory_mb();
    let client = Client::default();
    let factor = TOKEN_US as f64 / PACED_TOKEN_US as f64;
    let switches = json!({"straggle_factor": factor}).to_string();
    for engine in &bench.paced {
        let call = Call {
            path: "/control",
            body: &switches,
        };
        if let Err(error) = send(&client, *engine, "POST", call).await {
            println!("setting the rate of engine {engine} failed: {error}");
        }
    }
    let opened = Arc::new(AtomicUsize::new(0));
    let address = bench.node.caller;
    let mut readers = JoinSet::new();
    for prompt in long_prompts(STREAMS, MAX_TOKENS) {
        readers.spawn(read_stream(address, prompt, Arc::clone(&opened)));
        // Opening all streams at once would overflow the listen queues.
        tokio::time::sleep(START_PAUSE).await;
    }
    let opening = async {
        while opened.load(Ordering::Relaxed) < STREAMS {
            tokio::time::sleep(OPEN_CHECK_INTERVAL).await;
        }
    };
    if tokio::time::timeout(OPEN_TIMEOUT, opening).await.is_err() {
        println!("memory: not all streams were opened");
    }
    let before = bench.node.cpu_time_s();
    tokio::time::sleep(RUN_TIME).await;
    // A stream that was refused or has ended is no longer open.
    while readers.try_join_next().is_some() {}
    let still_open = readers.len();
    let (memory_mb, peak_mb) = bench.node.memory_mb();
    let cores = (bench.node.cpu_time_s() - before) / RUN_TIME.as_secs_f64();
    readers.shutdown().await;
    let opened = opened.load(Ordering::Relaxed);
    println!(
        "memory: {idle_mb:.0} MB before, {memory_mb:.0} MB (at most {peak_mb:.0} MB) with {opened} \
         streams opened and {still_open} open after {RUN_TIME:?}, node used {cores:.2} cores"
    );
}

/// Opens a stream and reads it to its end.
async fn read_stream(address: SocketAddr, prompt: String, opened: Arc<AtomicUsize>) {
    let client = Client::default();
    let body = stream_body(&prompt);
    let call = Call {
        path: "/v1/completions",
        body: &body,
    };
    let Ok(mut answer) = send(&client, address, "POST", call).await else {
        return;
    };
    if answer.head.status.is_success() {
        opened.fetch_add(1, Ordering::Relaxed);
        while let Ok(Some(_)) = answer.chunk().await {}
    }
}
