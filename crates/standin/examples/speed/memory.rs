//! Memory of the node with many open streams.

use std::time::Duration;

use briarbank_standin::{Answer, Client, ClientError};
use serde_json::json;

use crate::bench::{Bench, Call, PACED_TOKEN_US, send};
use crate::streams::{body, long_prompts};

/// Streams that are opened.
const STREAMS: usize = 5_000;
/// Time between tokens of each stream.
const TOKEN_US: u64 = 79_000;
/// Time for which the streams run before the memory is read.
const RUN: Duration = Duration::from_secs(10);

/// Opens streams, lets them run and tells the node's memory.
pub(crate) async fn open_streams(bench: &Bench) {
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
            println!("engine {engine} keeps its rate: {error}");
        }
    }
    let mut answers = Vec::new();
    let mut refused = 0;
    for prompt in long_prompts(STREAMS) {
        match open(bench, &client, &prompt).await {
            Ok(answer) if answer.head.status.is_success() => answers.push(answer),
            Ok(_) | Err(_) => refused += 1,
        }
    }
    let open = answers.len();
    let before = bench.node.processor_s();
    let reading = answers
        .into_iter()
        .map(|mut answer| async move { while let Ok(Some(_)) = answer.chunk().await {} });
    let mut readers: tokio::task::JoinSet<()> = reading.collect();
    tokio::time::sleep(RUN).await;
    // A stream that has ended is no longer open.
    while readers.try_join_next().is_some() {}
    let still_open = readers.len();
    let (memory_mb, peak_mb) = bench.node.memory_mb();
    let cores = (bench.node.processor_s() - before) / RUN.as_secs_f64();
    readers.shutdown().await;
    println!(
        "memory: {idle_mb:.0} MB before, {memory_mb:.0} MB (at most {peak_mb:.0} MB) with {open} \
         streams opened and {still_open} open after {RUN:?}, {refused} refused, node {cores:.2} cores"
    );
}

async fn open(bench: &Bench, client: &Client, prompt: &str) -> Result<Answer, ClientError> {
    let body = body(prompt);
    let call = Call {
        path: "/v1/completions",
        body: &body,
    };
    send(client, bench.node.caller, "POST", call).await
}
