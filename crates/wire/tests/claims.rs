//! Memory that the decoder takes for what a message only claims to hold.
#![expect(clippy::unwrap_used, reason = "a failed setup fails the test")]

use std::fs;

use briarbank_core::peer::Envelope;
use briarbank_wire::{Error, VERSION, decode};

/// Most address space that a claim may cost, in kilobytes.
const GROWTH_MAX_KB: u64 = 16 << 10;

/// Returns the largest address space that the process has had, in kilobytes.
fn peak_kb() -> u64 {
    let text = fs::read_to_string("/proc/self/status").unwrap();
    let line = text
        .lines()
        .find_map(|l| l.strip_prefix("VmPeak:"))
        .unwrap();
    line.trim().trim_end_matches(" kB").parse().unwrap()
}

/// Guards against messages of a few bytes that make a node allocate what they claim.
#[test]
fn claimed_lengths_cost_no_memory() {
    let before_kb = peak_kb();
    for shift in 20..64 {
        // Variant 2 (published values), variant 1 (a complete value), then a length.
        let mut bytes = vec![VERSION, 1, b'a', 0, 2, 1, 0, 0, 253];
        bytes.extend((1_u64 << shift).to_le_bytes());
        let decoded = decode::<Envelope>(&bytes);
        assert!(matches!(decoded, Err(Error::Decode(_))), "2^{shift}");
    }
    let growth_kb = peak_kb() - before_kb;
    assert!(growth_kb < GROWTH_MAX_KB, "{growth_kb} kB");
}
