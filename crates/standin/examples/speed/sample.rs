//! Pairs of latencies, direct and through the node.

use std::time::Duration;

use crate::failures::Failures;

/// Latencies of a direct call and of the same call through the node.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LatencyPair {
    pub(crate) direct: Duration,
    pub(crate) routed: Duration,
}

/// Prints quantiles of both latencies and of their difference.
pub(crate) fn print_quantiles(title: &str, pairs: &[LatencyPair], failures: &Failures) {
    if pairs.is_empty() {
        println!("{title}: no pair of answers, {failures}");
        return;
    }
    let direct: Vec<f64> = pairs.iter().map(|p| millis(p.direct)).collect();
    let routed: Vec<f64> = pairs.iter().map(|p| millis(p.routed)).collect();
    let added = pairs.iter().map(|p| millis(p.routed) - millis(p.direct));
    println!("{title}: {} pairs, {failures}", pairs.len());
    for (name, values) in [
        ("direct", direct),
        ("routed", routed),
        ("added", added.collect()),
    ] {
        let [p50, p95, p99] = quantiles(values);
        println!("  {name:<7} p50 {p50:7.3} ms  p95 {p95:7.3} ms  p99 {p99:7.3} ms");
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

fn quantiles(mut values: Vec<f64>) -> [f64; 3] {
    values.sort_unstable_by(f64::total_cmp);
    let last = values.len() - 1;
    [0.5, 0.95, 0.99].map(|q| values[(last as f64 * q).round() as usize])
}
