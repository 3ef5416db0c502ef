//! Operations of a history.

use briarbank_core::hosts::HostState;
use proptest::prelude::*;

/// One operation: a call, a fault, its end, or time.
#[derive(Clone, Debug)]
pub(crate) enum Op {
    /// Time passes.
    Wait { ms: u64 },
    /// A caller sends a new id, with a timestamp if it is a `UUIDv7`.
    Call { host: usize, v7: bool },
    /// A caller whose clock is wrong sends a new id.
    SkewedCall { host: usize, skew_ms: i64 },
    /// A caller repeats one of the last ids.
    Repeat { host: usize, request: usize },
    /// The network is partitioned into the hosts in the mask and all others.
    Split { mask: u32 },
    /// One direction between two hosts is interrupted.
    Cut { from: usize, to: usize },
    /// All interrupted connections work again.
    Heal,
    /// A process is paused.
    Pause { host: usize, ms: u64 },
    /// A process is killed and started with empty memory.
    Restart { host: usize, clock_error_ms: i64 },
    /// The network's loss, duplication and delay of messages change.
    Network {
        loss_percent: u32,
        duplicate_percent: u32,
        delay_ms: u64,
    },
    /// The platform publishes a host as live or leaving, or drops it.
    Publish {
        host: usize,
        state: Option<HostState>,
    },
    /// A host reads from a stale replica, which may return any earlier list.
    Stale { host: usize, on: bool },
    /// A host cannot read the platform.
    NoPlatform { host: usize, on: bool },
}

/// Bound on the number of operations of one history.
const OPS_MAX: usize = 40;

fn op() -> impl Strategy<Value = Op> {
    let host = 0..8_usize;
    let state = prop_oneof![
        Just(None),
        Just(Some(HostState::Live)),
        Just(Some(HostState::Leaving))
    ];
    prop_oneof![
        6 => (1..900_u64).prop_map(|ms| Op::Wait { ms }),
        6 => (host.clone(), any::<bool>()).prop_map(|(host, v7)| Op::Call { host, v7 }),
        1 => (host.clone(), -20_000..20_000_i64)
            .prop_map(|(host, skew_ms)| Op::SkewedCall { host, skew_ms }),
        8 => (host.clone(), 0..4_usize).prop_map(|(host, request)| Op::Repeat { host, request }),
        2 => (1..255_u32).prop_map(|mask| Op::Split { mask }),
        2 => (host.clone(), host.clone()).prop_map(|(from, to)| Op::Cut { from, to }),
        2 => Just(Op::Heal),
        2 => (host.clone(), 1..3000_u64).prop_map(|(host, ms)| Op::Pause { host, ms }),
        2 => (host.clone(), prop_oneof![4 => -80..80_i64, 1 => -10_000..10_000_i64])
            .prop_map(|(host, clock_error_ms)| Op::Restart { host, clock_error_ms }),
        1 => (0..30_u32, 0..30_u32, 1..400_u64).prop_map(
            |(loss_percent, duplicate_percent, delay_ms)| Op::Network {
                loss_percent,
                duplicate_percent,
                delay_ms,
            }
        ),
        3 => (host.clone(), state).prop_map(|(host, state)| Op::Publish { host, state }),
        1 => (host.clone(), any::<bool>()).prop_map(|(host, on)| Op::Stale { host, on }),
        1 => (host, any::<bool>()).prop_map(|(host, on)| Op::NoPlatform { host, on }),
    ]
}

/// Generates histories.
pub(crate) fn ops() -> impl Strategy<Value = Vec<Op>> {
    proptest::collection::vec(op(), 1..OPS_MAX)
}
