//! Latency and rate of plain calls, and latency of first tokens.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use briarbank_standin::Client;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use uuid::Uuid;

use crate::bench::{Bench, Call, send_as};
use crate::failures::{CallFailure, Failures, error_type};
use crate::sample::{LatencyPair, print_quantiles};

/// Duration of each phase.
const PHASE: Duration = Duration::from_secs(6);
/// Half of the target of 10,000 plain calls per second.
const HALF_LOAD_PER_S: u32 = 5_000;
/// Rate of streamed calls, measured up to the first token.
const STREAM_RATE_PER_S: u32 = 500;
/// Number of callers, each with its own connections, at a steady rate.
const PACED_CALLERS: usize = 64;
/// Number of callers that call without pause to find the maximum rate.
const BUSY_CALLERS: usize = 128;
/// Body of a plain call.
const SLIP: &str = "{\"lens\": \"35 mm\", \"days\": 3}";

/// A kind of call, made directly and through the node.
#[derive(Clone, Debug)]
struct Probe {
    direct: SocketAddr,
    routed: SocketAddr,
    direct_path: &'static str,
    routed_path: &'static str,
    body: &'static str,
    profile: &'static str,
    /// Whether the measurement ends with the first chunk of the answer.
    first_only: bool,
}

impl Probe {
    fn slip(bench: &Bench, profile: &'static str) -> Self {
        Self {
            direct: bench.service,
            routed: bench.node.caller,
            direct_path: "/slip",
            routed_path: "/services/slips/slip",
            body: SLIP,
            profile,
            first_only: false,
        }
    }

    fn stream(bench: &Bench) -> Self {
        Self {
            direct: bench.fast[0],
            routed: bench.node.caller,
            direct_path: "/v1/completions",
            routed_path: "/v1/completions",
            body: "{\"model\": \"fast\", \"prompt\": \"which lenses\", \"stream\": true, \"max_tokens\": 8}",
            profile: "reads",
            first_only: true,
        }
    }

    async fn measure(&self, client: &Client, routed: bool) -> Result<Duration, CallFailure> {
        let (address, path) = if routed {
            (self.routed, self.routed_path)
        } else {
            (self.direct, self.direct_path)
        };
        let call = Call {
            path,
            body: self.body,
        };
        let id = Uuid::now_v7().to_string();
        let begin = Instant::now();
        let mut answer = send_as(client, address, "POST", call, self.profile, &id).await?;
        if !answer.head.status.is_success() {
            return Err(CallFailure::Refused(error_type(&answer.bytes().await?)));
        }
        let mut first_chunk = None;
        if self.first_only && answer.chunk().await?.is_some() {
            first_chunk = Some(begin.elapsed());
        }
        while answer.chunk().await?.is_some() {}
        Ok(first_chunk.unwrap_or_else(|| begin.elapsed()))
    }

    async fn measure_pair(
        &self,
        client: &Client,
        routed_first: bool,
    ) -> Result<LatencyPair, CallFailure> {
        let first = self.measure(client, routed_first).await?;
        let second = self.measure(client, !routed_first).await?;
        let (direct, routed) = if routed_first {
            (second, first)
        } else {
            (first, second)
        };
        Ok(LatencyPair { direct, routed })
    }
}

/// Prints the latency that the node adds to plain calls at half load.
pub(crate) async fn measure_added_latency(bench: &Bench) {
    for profile in ["reads", "slips"] {
        let title = format!("plain call, profile {profile}, {HALF_LOAD_PER_S}/s");
        measure_pairs(bench, &title, Probe::slip(bench, profile), HALF_LOAD_PER_S).await;
    }
}

/// Prints the latency that the node adds to the first token.
pub(crate) async fn measure_first_token(bench: &Bench) {
    let title = format!("first token, {STREAM_RATE_PER_S}/s");
    measure_pairs(bench, &title, Probe::stream(bench), STREAM_RATE_PER_S).await;
}

/// Makes pairs of calls at a steady rate and prints their latencies.
async fn measure_pairs(bench: &Bench, title: &str, probe: Probe, rate_per_s: u32) {
    let (senders, receivers): (Vec<_>, Vec<_>) =
        (0..PACED_CALLERS).map(|_| mpsc::channel(64)).unzip();
    let mut callers = JoinSet::new();
    for receiver in receivers {
        callers.spawn(call_pairs(probe.clone(), receiver));
    }
    let before = bench.node.cpu_time_s();
    let pacing = tokio::task::spawn_blocking(move || pace_calls(&senders, rate_per_s)).await;
    let mut pairs = Vec::new();
    let mut failures = Failures::default();
    for (more, caller_failures) in callers.join_all().await {
        pairs.extend(more);
        failures.merge(caller_failures);
    }
    print_quantiles(title, &pairs, &failures);
    let cores = (bench.node.cpu_time_s() - before) / PHASE.as_secs_f64();
    let dropped = pacing.unwrap_or(0);
    println!("  node used {cores:.2} cores; {dropped} starts dropped");
}

async fn call_pairs(probe: Probe, mut starts: mpsc::Receiver<u64>) -> (Vec<LatencyPair>, Failures) {
    let client = Client::default();
    let mut pairs = Vec::new();
    let mut failures = Failures::default();
    while let Some(number) = starts.recv().await {
        // Alternates the order so that neither call benefits from the other.
        match probe.measure_pair(&client, number % 2 == 0).await {
            Ok(pair) => pairs.push(pair),
            Err(failure) => failures.record(&failure),
        }
    }
    client.close().await;
    (pairs, failures)
}

/// Starts calls at a steady rate and returns how many found their caller busy.
///
/// Runs on a blocking thread, since the runtime's timer is too coarse.
fn pace_calls(callers: &[mpsc::Sender<u64>], rate_per_s: u32) -> usize {
    let begin = Instant::now();
    let step = Duration::from_secs(1) / rate_per_s;
    let mut dropped = 0;
    for number in 0_u64.. {
        let due = step.mul_f64(number as f64);
        if due >= PHASE {
            break;
        }
        thread::sleep(due.saturating_sub(begin.elapsed()));
        let caller = &callers[number as usize % callers.len()];
        dropped += usize::from(caller.try_send(number / callers.len() as u64).is_err());
    }
    dropped
}

/// Prints the rate of plain calls when callers call again without pause.
pub(crate) async fn measure_rate(bench: &Bench) {
    for (title, profile, routed) in [
        ("direct", "reads", false),
        ("routed, profile reads", "reads", true),
        ("routed, profile slips", "slips", true),
    ] {
        let probe = Probe::slip(bench, profile);
        let before = bench.node.cpu_time_s();
        let begin = Instant::now();
        let mut callers = JoinSet::new();
        for _ in 0..BUSY_CALLERS {
            callers.spawn(call_repeatedly(probe.clone(), routed, begin));
        }
        let mut completed = 0;
        let mut failures = Failures::default();
        for (calls, caller_failures) in callers.join_all().await {
            completed += calls;
            failures.merge(caller_failures);
        }
        let seconds = begin.elapsed().as_secs_f64();
        let per_s = f64::from(completed) / seconds;
        let cores = (bench.node.cpu_time_s() - before) / seconds;
        println!("plain calls, {title}: {per_s:.0}/s, {failures}, node used {cores:.2} cores");
    }
}

async fn call_repeatedly(probe: Probe, routed: bool, begin: Instant) -> (u32, Failures) {
    let client = Client::default();
    let mut completed = 0;
    let mut failures = Failures::default();
    while begin.elapsed() < PHASE {
        match probe.measure(&client, routed).await {
            Ok(_) => completed += 1,
            Err(failure) => failures.record(&failure),
        }
    }
    client.close().await;
    (completed, failures)
}
