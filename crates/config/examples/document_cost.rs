//! Measures the time to decode published documents of several sizes.
//!
//! `cargo run --release -p briarbank-config --example document_cost`

use std::hint::black_box;
use std::time::Instant;

use briarbank_config::{parse_config, parse_servers};
use briarbank_core::ids::Revision;

const REPEATS: u32 = 10;

fn config(workspaces: usize) -> String {
    let workspace = |i| format!("{{\"name\":\"w{i:05}\",\"weight\":1.0,\"in_flight_limit\":10}}");
    let list: Vec<String> = (0..workspaces).map(workspace).collect();
    let targets: Vec<String> = (0..28)
        .map(|i| format!("{{\"name\":\"model-{i}\",\"kind\":\"model\"}}"))
        .collect();
    format!(
        "{{\"profiles\":[],\"workspaces\":[{}],\"targets\":[{}]}}",
        list.join(","),
        targets.join(",")
    )
}

fn servers(count: usize) -> String {
    let server = |i: usize| {
        format!(
            "{{\"name\":\"engine-{i:04}\",\"zone\":\"zone-{}\",\"address\":\"10.0.{}.{}:8000\",\
             \"targets\":[\"model-{}\"],\"slots\":64,\"state\":\"live\"}}",
            i % 6,
            i / 250,
            i % 250 + 1,
            i % 28
        )
    };
    let list: Vec<String> = (0..count).map(server).collect();
    format!("{{\"servers\":[{}]}}", list.join(","))
}

/// Prints the size of a document and its mean decoding time.
fn print_row(name: &str, items: usize, text: &str, decode: impl Fn(&[u8]) -> bool) {
    let started = Instant::now();
    let mut valid = true;
    for _ in 0..REPEATS {
        valid &= black_box(decode(text.as_bytes()));
    }
    let ms = started.elapsed().as_secs_f64() * 1e3 / f64::from(REPEATS);
    println!("| {name} | {items} | {} | {valid} | {ms:.1} |", text.len());
}

fn main() {
    println!("| document | items | B | valid | decode, ms |");
    println!("|:--|--:|--:|:--|--:|");
    for workspaces in [100, 1_000, 10_000, 19_000, 38_000] {
        let text = config(workspaces);
        let decode = |bytes: &[u8]| parse_config(Revision(1), bytes).is_ok();
        print_row("config", workspaces, &text, decode);
    }
    for count in [12, 330, 3_300] {
        let text = servers(count);
        let decode = |bytes: &[u8]| parse_servers(Revision(1), bytes).is_ok();
        print_row("servers", count, &text, decode);
    }
}
