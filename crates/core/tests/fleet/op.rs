//! Operations of a history.

use briarbank_core::hosts::HostState;
use proptest::prelude::*;

/// One operation: a call, a fault, its end, or time.
#[derive(Clone, Debug)]
pub(crate) enum Op {
    /// Time passes.
    Wait { ms: u64 },
    /// A caller sends a new id.
    Call { at: usize, dated: bool },
    /// A caller whose clock is wrong sends a new id.
    SkewedCall { at: usize, skew_ms: i64 },
    /// A caller repeats one of the last ids.
    Repeat { at: usize, request: usize },
    /// Two halves lose each other.
    Split { mask: u32 },
    /// One direction between two hosts is lost.
    Cut { from: usize, to: usize },
    /// All connections work again.
    Heal,
    /// A process stands still.
    Pause { at: usize, ms: u64 },
    /// A process is killed and started with empty memory.
    Restart { at: usize, clock_error_ms: i64 },
    /// How the network treats messages.
    Network {
        loss_percent: u32,
        double_percent: u32,
        delay_ms: u64,
    },
    /// The platform publishes a host as live or leaving, or drops it.
    Publish { at: usize, state: Option<HostState> },
    /// A host reads from a replica that may show any earlier list.
    Stale { at: usize, on: bool },
    /// A host can't read the platform.
    NoPlatform { at: usize, on: bool },
}

/// Most operations of one history.
const OPS_MAX: usize = 40;

fn op() -> impl Strategy<Value = Op> {
    let at = 0..8_usize;
    let state = prop_oneof![
        Just(None),
        Just(Some(HostState::Live)),
        Just(Some(HostState::Leaving))
    ];
    prop_oneof![
        6 => (1..900_u64).prop_map(|ms| Op::Wait { ms }),
        6 => (at.clone(), any::<bool>()).prop_map(|(at, dated)| Op::Call { at, dated }),
        1 => (at.clone(), -20_000..20_000_i64)
            .prop_map(|(at, skew_ms)| Op::SkewedCall { at, skew_ms }),
        8 => (at.clone(), 0..4_usize).prop_map(|(at, request)| Op::Repeat { at, request }),
        2 => (1..255_u32).prop_map(|mask| Op::Split { mask }),
        2 => (at.clone(), at.clone()).prop_map(|(from, to)| Op::Cut { from, to }),
        2 => Just(Op::Heal),
        2 => (at.clone(), 1..3000_u64).prop_map(|(at, ms)| Op::Pause { at, ms }),
        2 => (at.clone(), prop_oneof![4 => -80..80_i64, 1 => -10_000..10_000_i64])
            .prop_map(|(at, clock_error_ms)| Op::Restart { at, clock_error_ms }),
        1 => (0..30_u32, 0..30_u32, 1..400_u64).prop_map(
            |(loss_percent, double_percent, delay_ms)| Op::Network {
                loss_percent,
                double_percent,
                delay_ms,
            }
        ),
        3 => (at.clone(), state).prop_map(|(at, state)| Op::Publish { at, state }),
        1 => (at.clone(), any::<bool>()).prop_map(|(at, on)| Op::Stale { at, on }),
        1 => (at, any::<bool>()).prop_map(|(at, on)| Op::NoPlatform { at, on }),
    ]
}

/// Histories.
pub(crate) fn ops() -> impl Strategy<Value = Vec<Op>> {
    proptest::collection::vec(op(), 1..OPS_MAX)
}
