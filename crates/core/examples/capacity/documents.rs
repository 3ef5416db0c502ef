//! Cost of document deltas, and of version lists compared with a plain revision.

use std::hint::black_box;
use std::time::Instant;

use briarbank_core::conf::Delta;

use crate::fit;

const REPEATS: u32 = 20;

fn document(items: usize, changed: &[usize]) -> Vec<u8> {
    let item = |i: usize| {
        let mark = if changed.contains(&i) { 77 } else { 10 };
        format!("{{\"name\":\"w{i:05}\",\"weight\":1.0,\"in_flight_limit\":{mark}}}")
    };
    let list: Vec<String> = (0..items).map(item).collect();
    format!("{{\"workspaces\":[{}]}}", list.join(",")).into_bytes()
}

/// Returns the average time of one call, in milliseconds.
fn time_ms<T>(mut operation: impl FnMut() -> T) -> f64 {
    let started = Instant::now();
    for _ in 0..REPEATS {
        black_box(operation());
    }
    started.elapsed().as_secs_f64() * 1e3 / f64::from(REPEATS)
}

fn encoded_bytes(delta: &Delta) -> usize {
    let config = bincode::config::standard();
    bincode::serde::encode_to_vec(delta, config).map_or(0, |bytes| bytes.len())
}

/// Prints the cost of deltas.
pub(crate) fn print() {
    println!("## Deltas of documents\n");
    println!("| items | document, B | delta of 1 change, B | of 50, B | compute, ms | apply, ms |");
    println!("|--:|--:|--:|--:|--:|--:|");
    let mut points = Vec::new();
    for items in [100, 1_000, 5_000, 10_000, 19_000, 38_000] {
        let fifty: Vec<usize> = (0..50).map(|i| i * items / 50).collect();
        let old = document(items, &[]);
        let (one, many) = (document(items, &[items / 2]), document(items, &fifty));
        let (delta, burst) = (Delta::between(&old, &one), Delta::between(&old, &many));
        let compute = time_ms(|| Delta::between(&old, &one));
        let apply = time_ms(|| delta.apply(&old));
        points.push((old.len() as f64 / 1e6, compute + apply));
        println!(
            "| {items} | {} | {} | {} | {compute:.2} | {apply:.2} |",
            old.len(),
            encoded_bytes(&delta),
            encoded_bytes(&burst)
        );
    }
    println!();
    fit::print("compute and apply, n in MB", "ms", &points);
    print_versions();
}

/// Entry of a version list: a writer, its latest change, and whether it is unchanged.
type ListEntry = (u32, u64, bool);

/// Prints the size of a value's version: plain revision, and list with an entry per writer.
fn print_versions() {
    println!("## Version of one value, encoded\n");
    println!("| writers | plain revision, B | version list, B |");
    println!("|--:|--:|--:|");
    let config = bincode::config::standard();
    let revision = 4_000_000_u64;
    let plain = bincode::serde::encode_to_vec(revision, config).map_or(0, |b| b.len());
    for writers in [1_u32, 3, 8, 390] {
        let list: Vec<ListEntry> = (0..writers)
            .map(|w| (w, revision / u64::from(writers), w % 2 == 0))
            .collect();
        let list = bincode::serde::encode_to_vec(&list, config).map_or(0, |b| b.len());
        println!("| {writers} | {plain} | {list} |");
    }
    println!();
}
