//! Benchmark of one node: calls through the node against direct calls.
//!
//! Starts stand-ins in this process and `briarbank node` as a child process,
//! all on the loopback interface, and runs for about a minute:
//!
//! ```sh
//! cargo build --release && cargo run --release --example speed -- target/release/briarbank
//! ```

mod bench;
mod calls;
mod documents;
mod failures;
mod memory;
mod node;
mod sample;
mod streams;

use std::process::ExitCode;

use bench::Bench;

#[tokio::main]
async fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let Some(binary) = arguments.next() else {
        eprintln!(
            "speed: path of the briarbank binary is missing, such as target/release/briarbank"
        );
        return ExitCode::from(2);
    };
    let only = arguments.next();
    let should_run = |phase: &str| only.as_deref().is_none_or(|name| name == phase);
    let bench = match Bench::start(&binary).await {
        Ok(bench) => bench,
        Err(error) => {
            eprintln!("speed: {error}");
            return ExitCode::FAILURE;
        }
    };
    println!("load average before: {}", load_average());
    if should_run("added") {
        calls::measure_added_latency(&bench).await;
    }
    if should_run("calls") {
        calls::measure_rate(&bench).await;
    }
    if should_run("first-token") {
        calls::measure_first_token(&bench).await;
    }
    if should_run("tokens") {
        streams::measure_token_rates(&bench).await;
    }
    if should_run("memory") {
        memory::measure_open_streams(&bench).await;
    }
    println!("load average after: {}", load_average());
    bench.stop().await;
    ExitCode::SUCCESS
}

/// Returns the load average, since other programs on the machine affect results.
fn load_average() -> String {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let processors = std::thread::available_parallelism().map_or(0, usize::from);
    format!("{} on {processors} processors", text.trim())
}
