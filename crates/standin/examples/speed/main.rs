//! Speed of one node against the stand-ins without it, in one run.
//!
//! Starts stand-ins in this process and one `briarbank node` as a process of
//! its own, all on the loopback interface, for about a minute:
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
        eprintln!("speed: name the briarbank binary, as target/release/briarbank");
        return ExitCode::from(2);
    };
    let only = arguments.next();
    let runs = |phase: &str| only.as_deref().is_none_or(|name| name == phase);
    let bench = match Bench::start(&binary).await {
        Ok(bench) => bench,
        Err(error) => {
            eprintln!("speed: {error}");
            return ExitCode::FAILURE;
        }
    };
    println!("load of the machine before: {}", load_average());
    if runs("added") {
        calls::added(&bench).await;
    }
    if runs("calls") {
        calls::rate(&bench).await;
    }
    if runs("first-token") {
        calls::first_token(&bench).await;
    }
    if runs("tokens") {
        streams::rates(&bench).await;
    }
    if runs("memory") {
        memory::open_streams(&bench).await;
    }
    println!("load of the machine after: {}", load_average());
    bench.stop().await;
    ExitCode::SUCCESS
}

/// Other programs on the machine bear on each figure.
fn load_average() -> String {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let processors = std::thread::available_parallelism().map_or(0, usize::from);
    format!("{} on {processors} processors", text.trim())
}
