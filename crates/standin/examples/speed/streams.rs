//! Streamed tokens a second.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use briarbank_standin::{Client, answer_length, prompt_hash};
use serde_json::json;
use tokio::task::JoinSet;

use crate::bench::{Bench, Call, PACED_TOKEN_US, SEED, send};
use crate::failures::{Failed, Failures, reason};

/// Time in which the streams of a rung are opened, one after another: a burst
/// would overflow the listeners' queues and measure the repeats of TCP.
const OPENING: Duration = Duration::from_secs(1);
/// Time from a rung's begin after which tokens are counted.
const WARM_UP: Duration = Duration::from_secs(2);
/// Time in which tokens are counted.
const PHASE: Duration = Duration::from_secs(5);
/// Rates that the engines are set to, all together.
const RATES_PER_S: [u32; 4] = [100_000, 200_000, 300_000, 400_000];
/// Streams that are open at once.
const STREAMS: usize = 2_000;
/// Most tokens of an answer.
pub(crate) const MAX_TOKENS: u32 = 1_000;
/// End of a stream that is kept to see how it ended.
const TAIL_BYTES: usize = 1_024;
/// Least tokens of the answers that are asked for.
const LEAST_TOKENS: u32 = 400;

/// What the streams of a rung came to.
#[derive(Debug, Default)]
struct Counts {
    tokens: AtomicU64,
    whole: AtomicU64,
    failures: Mutex<Failures>,
}

impl Counts {
    fn note(&self, ended: Result<(), Failed>) {
        match ended {
            Ok(()) => {
                self.whole.fetch_add(1, Ordering::Relaxed);
            }
            Err(failed) => {
                let failures = self.failures.lock();
                failures
                    .unwrap_or_else(PoisonError::into_inner)
                    .note(&failed);
            }
        }
    }
}

/// Tokens a second through the node, at rising rates of the engines.
pub(crate) async fn rates(bench: &Bench) {
    let prompts: Arc<[String]> = long_prompts(STREAMS, LEAST_TOKENS).into();
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
    let end = begin + WARM_UP + PHASE;
    let mut streams = JoinSet::new();
    for number in 0..STREAMS {
        let entry = entries[number % entries.len()];
        let (prompts, counts) = (Arc::clone(prompts), Arc::clone(&counts));
        let opening = OPENING.mul_f64(number as f64 / STREAMS as f64);
        streams.spawn(async move {
            tokio::time::sleep(opening).await;
            let client = Client::default();
            for round in 0.. {
                if Instant::now() >= end {
                    break;
                }
                let prompt = &prompts[(number + round * 7) % prompts.len()];
                let ended = read_stream(&client, entry, prompt, &counts, begin).await;
                counts.note(ended);
            }
        });
    }
    streams.join_all().await;
    let seconds = PHASE.as_secs_f64();
    let per_s = counts.tokens.load(Ordering::Relaxed) as f64 / seconds;
    let cores = (bench.node.processor_s() - before) / begin.elapsed().as_secs_f64();
    let whole = counts.whole.load(Ordering::Relaxed);
    let failures = counts.failures.lock();
    let failures = failures.unwrap_or_else(PoisonError::into_inner);
    let (memory_mb, _) = bench.node.memory_mb();
    format!("{per_s:.0}/s, {whole} whole, {failures}, node {cores:.2} cores, {memory_mb:.0} MB")
}

/// Reads an answer to its end; counts tokens between warm-up and end.
async fn read_stream(
    client: &Client,
    entry: SocketAddr,
    prompt: &str,
    counts: &Counts,
    begin: Instant,
) -> Result<(), Failed> {
    let body = body(prompt);
    let call = Call {
        path: "/v1/completions",
        body: &body,
    };
    let mut answer = send(client, entry, "POST", call).await?;
    if !answer.head.status.is_success() {
        let reason = reason(&answer.bytes().await?);
        // A refused caller comes back later.
        tokio::time::sleep(Duration::from_millis(100)).await;
        return Err(Failed::Refused(reason));
    }
    let mut events = 0;
    let mut newlines = 0;
    let mut tail = Vec::new();
    while let Some(bytes) = answer.chunk().await? {
        newlines += bytes.split(|b| *b == b'\n').skip(1).count() as u64;
        // Two newlines end an event.
        let so_far = newlines / 2;
        if (WARM_UP..WARM_UP + PHASE).contains(&begin.elapsed()) {
            counts.tokens.fetch_add(so_far - events, Ordering::Relaxed);
        }
        events = so_far;
        tail.extend_from_slice(&bytes);
        tail.drain(..tail.len().saturating_sub(TAIL_BYTES));
    }
    let length = answer_length(prompt_hash(prompt), SEED, MAX_TOKENS);
    if events == u64::from(length) + 1 && tail.ends_with(b"data: [DONE]\n\n") {
        return Ok(());
    }
    let mut lines = tail.split(|b| *b == b'\n').rev();
    let error = lines.find_map(|l| l.strip_prefix(b"data: "));
    Err(Failed::Refused(reason(error.unwrap_or_default())))
}

pub(crate) fn body(prompt: &str) -> String {
    json!({"model": "paced", "prompt": prompt, "stream": true, "max_tokens": MAX_TOKENS})
        .to_string()
}

/// Prompts with answers of a least length, so that streams last.
pub(crate) fn long_prompts(count: usize, least_tokens: u32) -> Vec<String> {
    let prompts = (0..u32::MAX).map(|n| format!("catalogue sheet {n}"));
    prompts
        .filter(|p| answer_length(prompt_hash(p), SEED, MAX_TOKENS) >= least_tokens)
        .take(count)
        .collect()
}
