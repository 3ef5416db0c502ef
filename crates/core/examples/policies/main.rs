//! Compares policies under load: `cargo run --release -p briarbank-core --example policies`.
//!
//! Simulates arrivals and service times with fixed seeds for the router and for
//! three simple policies, and prints a table. Arguments select scenarios by the
//! prefix of their names.

mod baseline;
mod engine;
mod report;
mod simulation;
mod workload;

use baseline::BaselineKind;
use report::Report;
use simulation::{Policy, Simulation};
use workload::SCENARIOS;

const SEEDS: [u64; 3] = [11, 12, 13];

const POLICIES: [(&str, Policy); 4] = [
    ("random, FIFO", Policy::Baseline(BaselineKind::Random)),
    (
        "round robin, fixed",
        Policy::Baseline(BaselineKind::RoundRobin),
    ),
    (
        "least in flight",
        Policy::Baseline(BaselineKind::LeastInFlight),
    ),
    ("briarbank", Policy::Router),
];

fn main() {
    let prefixes: Vec<String> = std::env::args().skip(1).collect();
    println!("{}", Report::HEADER);
    for scenario in &SCENARIOS {
        let is_selected = |prefix: &String| scenario.name.starts_with(prefix.as_str());
        if !prefixes.is_empty() && !prefixes.iter().any(is_selected) {
            continue;
        }
        for (name, policy) in POLICIES {
            let mut report = Report::default();
            for seed in SEEDS {
                Simulation::new(scenario, policy, seed).run(&mut report);
            }
            println!("| {} | {name} | {report} |", scenario.name);
        }
    }
}
