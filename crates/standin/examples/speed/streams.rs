//! Rate of streamed tokens.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use briarbank_standin::{Client, answer_length, prompt_hash};
use serde_json::json;
use tokio::task::JoinSet;

use crate::bench::{Bench, Call, PACED_TOKEN_US, SEED, send};
use crate::failures::{CallFailure, Failures, error_type};

/// Period over which the streams of a step are opened. Opening all at once
/// would overflow the listen queues and measure TCP retransmissions.
const OPENING_PERIOD: Duration = Duration::from_secs(1);
/// Time from the start of a step after which tokens are counted.
const WARM_UP: Duration = Duration::from_secs(2);
/// Period in which tokens are counted.
const COUNTING_PERIOD: Duration = Duration::from_secs(5);
/// Total token rates that the engines are set to.
const RATES_PER_S: [u32; 4] = [100_000, 200_000, 300_000, 400_000];
/// Number of concurrent streams.
const STREAMS: usize = 2_000;
/// Maximum number of tokens in an answer.
pub(crate) const MAX_TOKENS: u32 = 1_000;
/// Size of the end of a stream, kept to check how the stream ended.
const TAIL_BYTES: usize = 1_024;
/// Minimum number of tokens in an answer.
const MIN_TOKENS: u32 = 400;

/// Counts of the streams of a step.
#[derive(Debug, Default)]
struct StreamCounts {
    tokens: AtomicU64,
    completed: AtomicU64,
    failures: Mutex<Failures>,
}

impl StreamCounts {
    fn record(&self, ended: Result<(), CallFailure>) {
        match ended {
            Ok(()) => {
                self.completed.fetch_add(1, Ordering::Relaxed);
            }
            Err(failure) => {
                let failures = self.failures.lock();
                failures
                    .unwrap_or_else(PoisonError::into_inner)
                    .record(&failure);
            }
        }
    }
}

/// Prints token rates, direct and through the node, at rising engine rates.
pub(crate) async fn measure_token_rates(bench: &Bench) {
    let prompts: Arc<[String]> = long_prompts(STREAMS, MIN_TOKENS).into();
    for rate_per_s in RATES_PER_S {
        set_rate(bench, rate_per_s).await;
        let direct = run_step(bench, &bench.paced, &prompts).await;
        println!("streamed tokens, {rate_per_s}/s requested, direct: {direct}");
        let routed = run_step(bench, &[bench.node.caller], &prompts).await;
        println!("streamed tokens, {rate_per_s}/s requested, routed: {routed}");
    }
}

/// Sets the engines' time between tokens for a total rate.
async fn set_rate(bench: &Bench, rate_per_s: u32) {
    let token_us = STREAMS as f64 / f64::from(rate_per_s) * 1_000_000.0;
    let body = json!({"straggle_factor": token_us / PACED_TOKEN_US as f64}).to_string();
    let client = Client::default();
    for engine in &bench.paced {
        let call = Call {
            path: "/control",
            body: &body,
        };
        if let Err(error) = send(&client, *engine, "POST", call).await {
            println!("setting the rate of engine {engine} failed: {error}");
        }
    }
}

/// Reads streams for the duration of a step and returns a line of results.
async fn run_step(bench: &Bench, entries: &[SocketAddr], prompts: &Arc<[String]>) -> String {
    let counts = Arc::new(StreamCounts::default());
    let before = bench.node.cpu_time_s();
    let begin = Instant::now();
    let end = begin + WARM_UP + COUNTING_PERIOD;
    let mut streams = JoinSet::new();
    for number in 0..STREAMS {
        let entry = entries[number % entries.len()];
        let (prompts, counts) = (Arc::clone(prompts), Arc::clone(&counts));
        let opening = OPENING_PERIOD.mul_f64(number as f64 / STREAMS as f64);
        streams.spawn(async move {
            tokio::time::sleep(opening).await;
            let client = Client::default();
            for round in 0.. {
                if Instant::now() >= end {
                    break;
                }
                let prompt = &prompts[(number + round * 7) % prompts.len()];
                let ended = read_stream(&client, entry, prompt, &counts, begin).await;
                counts.record(ended);
            }
        });
    }
    streams.join_all().await;
    let seconds = COUNTING_PERIOD.as_secs_f64();
    let per_s = counts.tokens.load(Ordering::Relaxed) as f64 / seconds;
    let cores = (bench.node.cpu_time_s() - before) / begin.elapsed().as_secs_f64();
    let completed = counts.completed.load(Ordering::Relaxed);
    let failures = counts.failures.lock();
    let failures = failures.unwrap_or_else(PoisonError::into_inner);
    let (memory_mb, _) = bench.node.memory_mb();
    format!(
        "{per_s:.0}/s, {completed} completed, {failures}, node {cores:.2} cores, {memory_mb:.0} MB"
    )
}

/// Reads an answer to its end and counts its tokens within the counting period.
async fn read_stream(
    client: &Client,
    entry: SocketAddr,
    prompt: &str,
    counts: &StreamCounts,
    begin: Instant,
) -> Result<(), CallFailure> {
    let body = stream_body(prompt);
    let call = Call {
        path: "/v1/completions",
        body: &body,
    };
    let mut answer = send(client, entry, "POST", call).await?;
    if !answer.head.status.is_success() {
        let error_type = error_type(&answer.bytes().await?);
        // Waits before the caller tries again.
        tokio::time::sleep(Duration::from_millis(100)).await;
        return Err(CallFailure::Refused(error_type));
    }
    let mut events = 0;
    let mut newlines = 0;
    let mut tail = Vec::new();
    while let Some(bytes) = answer.chunk().await? {
        newlines += bytes.split(|b| *b == b'\n').skip(1).count() as u64;
        // Two newlines end an event.
        let events_so_far = newlines / 2;
        if (WARM_UP..WARM_UP + COUNTING_PERIOD).contains(&begin.elapsed()) {
            counts
                .tokens
                .fetch_add(events_so_far - events, Ordering::Relaxed);
        }
        events = events_so_far;
        tail.extend_from_slice(&bytes);
        tail.drain(..tail.len().saturating_sub(TAIL_BYTES));
    }
    let length = answer_length(prompt_hash(prompt), SEED, MAX_TOKENS);
    if events == u64::from(length) + 1 && tail.ends_with(b"data: [DONE]\n\n") {
        return Ok(());
    }
    let mut lines = tail.split(|b| *b == b'\n').rev();
    let error = lines.find_map(|l| l.strip_prefix(b"data: "));
    Err(CallFailure::Refused(error_type(error.unwrap_or_default())))
}

/// Returns the body of a call that streams an answer to the prompt.
pub(crate) fn stream_body(prompt: &str) -> String {
    json!({"model": "paced", "prompt": prompt, "stream": true, "max_tokens": MAX_TOKENS})
        .to_string()
}

/// Returns prompts with answers of a minimum length, so that streams stay open.
pub(crate) fn long_prompts(count: usize, min_tokens: u32) -> Vec<String> {
    let prompts = (0..u32::MAX).map(|n| format!("catalogue sheet {n}"));
    prompts
        .filter(|p| answer_length(prompt_hash(p), SEED, MAX_TOKENS) >= min_tokens)
        .take(count)
        .collect()
}
