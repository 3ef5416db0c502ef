//! Plain calls and first tokens.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use briarbank_standin::Client;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use uuid::Uuid;

use crate::bench::{Bench, Call, send_as};
use crate::failures::{Failed, Failures, reason};
use crate::sample::{Pair, print};

/// Length of each phase.
const PHASE: Duration = Duration::from_secs(6);
/// Half of the target of 10,000 plain calls a second.
const HALF_LOAD_PER_S: u32 = 5_000;
/// Rate of calls that are streamed for their first token.
const STREAM_RATE_PER_S: u32 = 500;
/// Connections of the callers.
const CALLERS: usize = 64;
/// Connections of the callers when the rate is sought.
const BUSY_CALLERS: usize = 128;
/// Body of a plain call.
const SLIP: &str = "{\"lens\": \"35 mm\", \"days\": 3}";

/// One kind of call, made with and without the node.
#[derive(Clone, Debug)]
struct Probe {
    direct: SocketAddr,
    routed: SocketAddr,
    direct_path: &'static str,
    routed_path: &'static str,
    body: &'static str,
    profile: &'static str,
    /// Whether the time ends with the first piece of the answer.
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

    async fn time(&self, client: &Client, routed: bool) -> Result<Duration, Failed> {
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
            return Err(Failed::Refused(reason(&answer.bytes().await?)));
        }
        let mut time = None;
        if self.first_only && answer.chunk().await?.is_some() {
            time = Some(begin.elapsed());
        }
        while answer.chunk().await?.is_some() {}
        Ok(time.unwrap_or_else(|| begin.elapsed()))
    }

    async fn pair(&self, client: &Client, routed_first: bool) -> Result<Pair, Failed> {
        let first = self.time(client, routed_first).await?;
        let second = self.time(client, !routed_first).await?;
        let (direct, routed) = if routed_first {
            (second, first)
        } else {
            (first, second)
        };
        Ok(Pair { direct, routed })
    }
}

/// Time that the node adds to plain calls at half load.
pub(crate) async fn added(bench: &Bench) {
    for profile in ["reads", "slips"] {
        let title = format!("plain call, profile {profile}, {HALF_LOAD_PER_S}/s");
        paired(bench, &title, Probe::slip(bench, profile), HALF_LOAD_PER_S).await;
    }
}

/// Time that the node adds to the first token.
pub(crate) async fn first_token(bench: &Bench) {
    let title = format!("first token, {STREAM_RATE_PER_S}/s");
    paired(bench, &title, Probe::stream(bench), STREAM_RATE_PER_S).await;
}

/// Makes pairs of calls at a steady rate.
async fn paired(bench: &Bench, title: &str, probe: Probe, rate_per_s: u32) {
    let (senders, receivers): (Vec<_>, Vec<_>) = (0..CALLERS).map(|_| mpsc::channel(64)).unzip();
    let mut callers = JoinSet::new();
    for receiver in receivers {
        callers.spawn(call_pairs(probe.clone(), receiver));
    }
    let before = bench.node.processor_s();
    let late = tokio::task::spawn_blocking(move || pace(&senders, rate_per_s)).await;
    let mut pairs = Vec::new();
    let mut failures = Failures::default();
    for (more, failed) in callers.join_all().await {
        pairs.extend(more);
        failures.add(failed);
    }
    print(title, &pairs, &failures);
    let cores = (bench.node.processor_s() - before) / PHASE.as_secs_f64();
    let dropped = late.unwrap_or(0);
    println!("  node used {cores:.2} cores; {dropped} starts dropped");
}

async fn call_pairs(probe: Probe, mut starts: mpsc::Receiver<u64>) -> (Vec<Pair>, Failures) {
    let client = Client::default();
    let mut pairs = Vec::new();
    let mut failures = Failures::default();
    while let Some(number) = starts.recv().await {
        // The order changes, so that neither way profits from the other.
        match probe.pair(&client, number % 2 == 0).await {
            Ok(pair) => pairs.push(pair),
            Err(failed) => failures.note(&failed),
        }
    }
    client.close().await;
    (pairs, failures)
}

/// Starts calls at a steady rate, finer than the runtime's timer; tells how
/// many found their caller busy.
fn pace(callers: &[mpsc::Sender<u64>], rate_per_s: u32) -> usize {
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

/// Plain calls a second, with callers that call again at once.
pub(crate) async fn rate(bench: &Bench) {
    for (title, profile, routed) in [
        ("direct", "reads", false),
        ("routed, profile reads", "reads", true),
        ("routed, profile slips", "slips", true),
    ] {
        let probe = Probe::slip(bench, profile);
        let before = bench.node.processor_s();
        let begin = Instant::now();
        let mut callers = JoinSet::new();
        for _ in 0..BUSY_CALLERS {
            callers.spawn(call_again(probe.clone(), routed, begin));
        }
        let mut done = 0;
        let mut failures = Failures::default();
        for (calls, failed) in callers.join_all().await {
            done += calls;
            failures.add(failed);
        }
        let seconds = begin.elapsed().as_secs_f64();
        let per_s = f64::from(done) / seconds;
        let cores = (bench.node.processor_s() - before) / seconds;
        println!("plain calls, {title}: {per_s:.0}/s, {failures}, node used {cores:.2} cores");
    }
}

async fn call_again(probe: Probe, routed: bool, begin: Instant) -> (u32, Failures) {
    let client = Client::default();
    let mut done = 0;
    let mut failures = Failures::default();
    while begin.elapsed() < PHASE {
        match probe.time(&client, routed).await {
            Ok(_) => done += 1,
            Err(failed) => failures.note(&failed),
        }
    }
    client.close().await;
    (done, failures)
}
