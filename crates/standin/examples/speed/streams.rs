//! Streamed tokens a second.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use briarbank_standin::{Client, ClientError, answer_length, prompt_hash};
use serde_json::json;
use tokio::task::JoinSet;

use crate::bench::{Bench, Call, PACED_TOKEN_US, SEED, send};

/// Length of each rung.
const PHASE: Duration = Duration::from_secs(6);
/// Rates that the engines are set to, all together.
const RATES_PER_S: [u32; 4] = [100_000, 200_000, 300_000, 400_000];
/// Streams that are open at once.
const STREAMS: usize = 2_000;
/// Most tokens of an answer.
const MAX_TOKENS: u32 = 1_000;
/// Least tokens of the answers that are asked for.
const LEAST_TOKENS: u32 = 400;

/// What the streams of a rung came to.
#[derive(Debug, Default)]
struct Counts {
    tokens: AtomicU64,
    whole: AtomicU64,
    broken: AtomicU64,
}

/// Tokens a second through the node, at rising rates of the engines.
pub(crate) async fn rates(bench: &Bench) {
    let prompts: Arc<[String]> = long_prompts(STREAMS).into();
    for rate_per_s in RATES_PER_S {
        set_rate(bench, rate_per_s).await;
        let direct = rung(bench, &bench.paced, &prompts).await;
        println!("streamed tokens, {rate_per_s}/s asked, direct: {direct}");
        let routed = rung(bench, &[bench.node.caller], &prompts).await;
        println!("streamed tokens, {rate_per_s}/s asked, routed: {routed}");
    }
}

/// Sets the engines' time between tokens.
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
            println!("engine {engine} keeps its rate: {error}");
        }
    }
}

async fn rung(bench: &Bench, entries: &[SocketAddr], prompts: &Arc<[String]>) -> String {
    let counts = Arc::new(Counts::default());
    let before = bench.node.processor_s();
    let begin = Instant::now();
    let mut streams = JoinSet::new();
    for number in 0..STREAMS {
        let entry = entries[number % entries.len()];
        let (prompts, counts) = (Arc::clone(prompts), Arc::clone(&counts));
        streams.spawn(async move {
            let client = Client::default();
            for round in 0.. {
                if begin.elapsed() >= PHASE {
                    break;
                }
                let prompt = &prompts[(number + round * 7) % prompts.len()];
                match read_stream(&client, entry, prompt, &counts, begin).await {
                    Ok(true) => counts.whole.fetch_add(1, Ordering::Relaxed),
                    Ok(false) | Err(_) => counts.broken.fetch_add(1, Ordering::Relaxed),
                };
            }
        });
    }
    streams.join_all().await;
    let seconds = PHASE.as_secs_f64();
    let per_s = counts.tokens.load(Ordering::Relaxed) as f64 / seconds;
    let cores = (bench.node.processor_s() - before) / begin.elapsed().as_secs_f64();
    let whole = counts.whole.load(Ordering::Relaxed);
    let broken = counts.broken.load(Ordering::Relaxed);
    let (memory_mb, _) = bench.node.memory_mb();
    format!(
        "{per_s:.0}/s, {whole} whole, {broken} broken, node {cores:.2} cores, {memory_mb:.0} MB"
    )
}

/// Reads an answer, and whether it was whole; counts tokens within the phase.
async fn read_stream(
    client: &Client,
    entry: SocketAddr,
    prompt: &str,
    counts: &Counts,
    begin: Instant,
) -> Result<bool, ClientError> {
    let body = body(prompt);
    let call = Call {
        path: "/v1/completions",
        body: &body,
    };
    let mut answer = send(client, entry, "POST", call).await?;
    if !answer.head.status.is_success() {
        answer.whole().await?;
        // A refused caller comes back later.
        tokio::time::sleep(Duration::from_millis(100)).await;
        return Ok(false);
    }
    let mut events = 0;
    let mut newlines = 0;
    while let Some(bytes) = answer.chunk().await? {
        newlines += bytes.split(|b| *b == b'\n').skip(1).count() as u64;
        // Two newlines end an event.
        let so_far = newlines / 2;
        if begin.elapsed() < PHASE {
            counts.tokens.fetch_add(so_far - events, Ordering::Relaxed);
        }
        events = so_far;
    }
    let length = answer_length(prompt_hash(prompt), SEED, MAX_TOKENS);
    Ok(events == u64::from(length) + 1)
}

pub(crate) fn body(prompt: &str) -> String {
    json!({"model": "paced", "prompt": prompt, "stream": true, "max_tokens": MAX_TOKENS})
        .to_string()
}

/// Prompts with long answers, so that streams last.
pub(crate) fn long_prompts(count: usize) -> Vec<String> {
    let prompts = (0..u32::MAX).map(|n| format!("catalogue sheet {n}"));
    prompts
        .filter(|p| answer_length(prompt_hash(p), SEED, MAX_TOKENS) >= LEAST_TOKENS)
        .take(count)
        .collect()
}
