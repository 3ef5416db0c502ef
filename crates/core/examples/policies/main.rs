//! Compares policies under load: `cargo run --release -p briarbank-core --example policies`.
//!
//! Plays arrivals and service times with fixed seeds into the state machine and
//! into three simple policies, and prints a table. Arguments pick situations by
//! the beginning of their names.

mod baseline;
mod engine;
mod play;
mod report;
mod workload;

use baseline::Kind;
use play::{Play, Side};
use report::Report;
use workload::SITUATIONS;

const SEEDS: [u64; 3] = [11, 12, 13];

const SIDES: [(&str, Side); 4] = [
    ("random, FIFO", Side::Baseline(Kind::Random)),
    ("round robin, fixed", Side::Baseline(Kind::RoundRobin)),
    ("least in flight", Side::Baseline(Kind::LeastInFlight)),
    ("briarbank", Side::Router),
];

fn main() {
    let picks: Vec<String> = std::env::args().skip(1).collect();
    println!("{}", Report::HEADER);
    for situation in &SITUATIONS {
        let picked = |pick: &String| situation.name.starts_with(pick.as_str());
        if !picks.is_empty() && !picks.iter().any(picked) {
            continue;
        }
        for (name, side) in SIDES {
            let mut report = Report::default();
            for seed in SEEDS {
                Play::new(situation, side, seed).run(&mut report);
            }
            println!("| {} | {name} | {report} |", situation.name);
        }
    }
}
