//! Heavy days of whole fleets, by the pattern of load.

use briarbank_core::flow::{Options, PeerOptions};

use crate::day::{Day, Kind};
use crate::engine::EngineTiming;

const SHEETS: Kind = Kind {
    per_s: 432.0,
    rank: 1,
    target_ms: 400,
    gap_ms: 300,
    common: (2_520, 4),
    subject: (3_780, 390),
    own_tokens: 2_890.0,
    events: 7.0,
};

const CHATS: Kind = Kind {
    per_s: 189.0,
    rank: 0,
    target_ms: 250,
    gap_ms: 200,
    common: (119, 20),
    subject: (79, 424),
    own_tokens: 628.0,
    events: 42.0,
};

/// 86 nodes before 60 engines.
fn large() -> Day {
    Day {
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
        sheets: SHEETS,
        chats: CHATS,
        options: Options::default(),
        peers: PeerOptions::default(),
        hot_ratio: 0.0,
    }
}

/// Eight nodes before twelve engines with many slots.
fn small() -> Day {
    let day = large();
    let timing = EngineTiming {
        slots: 128,
        cache_tokens: 400_000,
        event_tokens: 5,
        ..day.timing
    };
    let sheets = Kind {
        per_s: 53.0,
        target_ms: 500,
        gap_ms: 400,
        events: 10.0,
        ..day.sheets
    };
    let chats = Kind {
        per_s: 54.0,
        target_ms: 300,
        gap_ms: 250,
        events: 58.0,
        ..day.chats
    };
    Day {
        nodes: 8,
        servers: 12,
        seconds: 10,
        timing,
        sheets,
        chats,
        ..day
    }
}

/// More long prompts than usual.
fn sheet_burst(day: Day, times: f64) -> Day {
    let per_s = day.sheets.per_s * times;
    Day {
        sheets: Kind {
            per_s,
            ..day.sheets
        },
        ..day
    }
}

/// A part of the long prompts is about one subject.
fn hot(day: Day, ratio: f64) -> Day {
    Day {
        hot_ratio: ratio,
        ..day
    }
}

/// More short prompts than usual.
fn chat_burst(day: Day, times: f64) -> Day {
    let per_s = day.chats.per_s * times;
    Day {
        chats: Kind { per_s, ..day.chats },
        ..day
    }
}

fn with(mut day: Day, change: impl FnOnce(&mut Options)) -> Day {
    change(&mut day.options);
    day
}

/// Twice the long prompts at a fleet whose nodes hear of loads late: a prompt that
/// may go anywhere finds its shared parts nowhere, and the reading makes all late.
#[test]
fn a_burst_of_long_prompts_stays_on_few_servers_for_each_subject() {
    let few = sheet_burst(large(), 2.0).play();
    let any = with(sheet_burst(large(), 2.0), |o| o.spill_servers = usize::MAX).play();
    assert!(few.again_ratio * 2.0 < any.again_ratio, "{few:?} {any:?}");
    assert!(few.sheets.in_time > any.sheets.in_time, "{few:?} {any:?}");
}

/// A third of all long prompts about one subject: it gets the servers that it needs.
#[test]
fn a_hot_subject_gets_further_servers() {
    let few = with(hot(large(), 0.3), |o| o.prefix_busy_ratio = f64::INFINITY).play();
    let more = hot(large(), 0.3).play();
    assert!(
        more.sheets.refused * 2 < few.sheets.refused,
        "{few:?} {more:?}"
    );
    assert!(more.sheets.in_time > few.sheets.in_time, "{few:?} {more:?}");
}

/// Chats at 86 nodes, each of which hears of loads late: they don't all fill the
/// same server before the first has heard that it is full.
#[test]
fn chats_are_in_time_though_loads_are_heard_late() {
    let outcome = large().play();
    assert!(outcome.chats.in_time_ratio() >= 0.95, "{outcome:?}");
}

/// Nodes that hear a few peers do nearly as well as nodes that hear all at once.
#[test]
fn a_late_view_of_loads_costs_little() {
    let late = large().play();
    let mut all = large();
    all.peers.fan_out = all.nodes;
    let fresh = all.play();
    for (late, fresh) in [(late.sheets, fresh.sheets), (late.chats, fresh.chats)] {
        assert!(
            late.in_time_ratio() > fresh.in_time_ratio() - 0.05,
            "{late:?} {fresh:?}"
        );
    }
}

/// Eight nodes, heavy days of each kind: all but a few calls are in time.
#[test]
fn a_small_fleet_bears_bursts_of_either_kind() {
    for day in [sheet_burst(small(), 2.3), chat_burst(small(), 2.2)] {
        let outcome = day.play();
        assert!(outcome.chats.in_time_ratio() >= 0.95, "{outcome:?}");
        assert!(outcome.sheets.in_time_ratio() >= 0.95, "{outcome:?}");
    }
}

/// Prints the figures of several loads and ways; for choosing among ways.
#[test]
#[ignore = "prints a table"]
fn table() {
    let ways = [
        ("in force", large().options),
        (
            "any server",
            with(large(), |o| o.spill_servers = usize::MAX).options,
        ),
        (
            "no hot subjects",
            with(large(), |o| o.prefix_busy_ratio = f64::INFINITY).options,
        ),
    ];
    let days = [
        ("86 nodes", large()),
        ("86 nodes, sheets 2x", sheet_burst(large(), 2.0)),
        ("86 nodes, chats 2x", chat_burst(large(), 2.0)),
        ("86 nodes, hot subject", hot(large(), 0.3)),
        ("8 nodes", small()),
        ("8 nodes, sheets 2.3x", sheet_burst(small(), 2.3)),
        ("8 nodes, chats 2.2x", chat_burst(small(), 2.2)),
    ];
    for (way, options) in ways {
        for (load, day) in &days {
            let outcome = Day {
                options: options.clone(),
                ..day.clone()
            }
            .play();
            println!("{way}, {load}: {outcome:?}");
        }
    }
}
