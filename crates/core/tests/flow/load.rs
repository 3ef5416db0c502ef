//! Simulated load on whole fleets.

use briarbank_core::flow::{Options, PeerOptions};

use crate::engine::EngineTiming;
use crate::simulation::{CallKind, Scenario};

const LONG_PROMPTS: CallKind = CallKind {
    calls_per_s: 432.0,
    urgency: 1,
    target_ms: 400,
    gap_ms: 300,
    common: (2_520, 4),
    prefix: (3_780, 390),
    unshared_tokens: 2_890.0,
    events: 7.0,
};

const CHATS: CallKind = CallKind {
    calls_per_s: 189.0,
    urgency: 0,
    target_ms: 250,
    gap_ms: 200,
    common: (119, 20),
    prefix: (79, 424),
    unshared_tokens: 628.0,
    events: 42.0,
};

/// Returns a scenario with 86 nodes and 60 engines.
fn large() -> Scenario {
    Scenario {
        seed: 1,
        nodes: 86,
        servers: 60,
        seconds: 6,
        timing: EngineTiming {
            step_us: 3_410,
            step_us_per_call: 46,
            tokens_per_ms: 112,
            chunk_tokens: 4_096,
            slots: 32,
            cache_tokens: 300_000,
            event_tokens: 7,
        },
        long_prompts: LONG_PROMPTS,
        chats: CHATS,
        options: Options::default(),
        peers: PeerOptions::default(),
        hot_ratio: 0.0,
    }
}

/// Returns a scenario with 8 nodes and 12 engines that have more slots.
fn small() -> Scenario {
    let scenario = large();
    let timing = EngineTiming {
        slots: 128,
        cache_tokens: 400_000,
        event_tokens: 5,
        ..scenario.timing
    };
    let long_prompts = CallKind {
        calls_per_s: 53.0,
        target_ms: 500,
        gap_ms: 400,
        events: 10.0,
        ..scenario.long_prompts
    };
    let chats = CallKind {
        calls_per_s: 54.0,
        target_ms: 300,
        gap_ms: 250,
        events: 58.0,
        ..scenario.chats
    };
    Scenario {
        nodes: 8,
        servers: 12,
        seconds: 10,
        timing,
        long_prompts,
        chats,
        ..scenario
    }
}

/// Multiplies the rate of long prompts.
fn long_burst(scenario: Scenario, times: f64) -> Scenario {
    let calls_per_s = scenario.long_prompts.calls_per_s * times;
    Scenario {
        long_prompts: CallKind {
            calls_per_s,
            ..scenario.long_prompts
        },
        ..scenario
    }
}

/// Lets a fraction of the long prompts share one prefix.
fn hot(scenario: Scenario, ratio: f64) -> Scenario {
    Scenario {
        hot_ratio: ratio,
        ..scenario
    }
}

/// Multiplies the rate of chats.
fn chat_burst(scenario: Scenario, times: f64) -> Scenario {
    let calls_per_s = scenario.chats.calls_per_s * times;
    Scenario {
        chats: CallKind {
            calls_per_s,
            ..scenario.chats
        },
        ..scenario
    }
}

fn with(mut scenario: Scenario, change: impl FnOnce(&mut Options)) -> Scenario {
    change(&mut scenario.options);
    scenario
}

/// Guards against prefilling shared parts on every server in a burst.
///
/// Nodes learn of loads with a delay. If prompts may go to any server, they miss the prefix
/// cache, and the prefill makes all calls late.
#[test]
fn a_burst_of_long_prompts_stays_on_few_servers_for_each_prefix() {
    let few = long_burst(large(), 2.0).run();
    let any = with(long_burst(large(), 2.0), |o| o.spill_servers = usize::MAX).run();
    assert!(
        few.prefill_again_ratio * 2.0 < any.prefill_again_ratio,
        "{few:?} {any:?}"
    );
    assert!(
        few.long_prompts.in_time > any.long_prompts.in_time,
        "{few:?} {any:?}"
    );
}

/// Guards against refusing calls of a prefix that needs more than its first servers.
///
/// A third of all long prompts share one prefix.
#[test]
fn a_hot_prefix_gets_further_servers() {
    let few = with(hot(large(), 0.3), |o| o.prefix_busy_ratio = f64::INFINITY).run();
    let more = hot(large(), 0.3).run();
    assert!(
        more.long_prompts.refused * 2 < few.long_prompts.refused,
        "{few:?} {more:?}"
    );
    assert!(
        more.long_prompts.in_time > few.long_prompts.in_time,
        "{few:?} {more:?}"
    );
}

/// Guards against late chats when many nodes fill the same server at once.
///
/// Each of 86 nodes learns with a delay that a server is full.
#[test]
fn chats_are_in_time_with_delayed_loads() {
    let outcome = large().run();
    assert!(outcome.chats.in_time_ratio() >= 0.95, "{outcome:?}");
}

/// Guards against late calls at nodes that get the loads of only a few peers.
///
/// They answer nearly as many calls in time as nodes that get the loads of all peers.
#[test]
fn partial_loads_cost_few_late_calls() {
    let partial = large().run();
    let mut all = large();
    all.peers.fan_out = all.nodes;
    let full = all.run();
    for (partial, full) in [
        (partial.long_prompts, full.long_prompts),
        (partial.chats, full.chats),
    ] {
        assert!(
            partial.in_time_ratio() > full.in_time_ratio() - 0.05,
            "{partial:?} {full:?}"
        );
    }
}

/// Guards a small fleet against late calls in a burst of either kind.
#[test]
fn a_small_fleet_handles_bursts_of_either_kind() {
    for scenario in [long_burst(small(), 2.3), chat_burst(small(), 2.2)] {
        let outcome = scenario.run();
        assert!(outcome.chats.in_time_ratio() >= 0.95, "{outcome:?}");
        assert!(outcome.long_prompts.in_time_ratio() >= 0.95, "{outcome:?}");
    }
}

/// Prints the results of several options for several scenarios.
#[test]
#[ignore = "prints a table"]
fn table() {
    let variants = [
        ("defaults", large().options),
        (
            "any server",
            with(large(), |o| o.spill_servers = usize::MAX).options,
        ),
        (
            "no hot prefixes",
            with(large(), |o| o.prefix_busy_ratio = f64::INFINITY).options,
        ),
    ];
    let scenarios = [
        ("86 nodes", large()),
        ("86 nodes, long prompts 2x", long_burst(large(), 2.0)),
        ("86 nodes, chats 2x", chat_burst(large(), 2.0)),
        ("86 nodes, hot prefix", hot(large(), 0.3)),
        ("8 nodes", small()),
        ("8 nodes, long prompts 2.3x", long_burst(small(), 2.3)),
        ("8 nodes, chats 2.2x", chat_burst(small(), 2.2)),
    ];
    for (variant, options) in variants {
        for (load, scenario) in &scenarios {
            let outcome = Scenario {
                options: options.clone(),
                ..scenario.clone()
            }
            .run();
            println!("{variant}, {load}: {outcome:?}");
        }
    }
}
