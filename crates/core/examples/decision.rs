//! Time of one decision: `cargo run --release -p briarbank-core --example decision`.
//!
//! Runs a fixed number of calls with 28 models and 38,000 workspaces, for increasing
//! numbers of servers shared by 390 nodes. Either half of the node's share of the
//! slots is in flight, or all of it with as many calls queued.

use std::sync::Arc;
use std::time::{Duration, Instant};

use briarbank_core::call::Call;
use briarbank_core::catalog::{
    Catalog, Fleet, Profile, Server, ServerState, Target, TargetKind, Workspace,
};
use briarbank_core::ids::{CallId, Incarnation, Revision};
use briarbank_core::router::{Action, AttemptEvent, Event, Options, Router};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SERVER_COUNTS: [usize; 4] = [330, 825, 1_650, 3_300];
const TARGETS_PER_SERVER: [usize; 2] = [1, 3];
const TARGET_COUNT: usize = 28;
const WORKSPACE_COUNT: usize = 38_000;
const PROFILE_COUNT: usize = 12;
const CALL_COUNT: u64 = 50_000;
const SLOTS: u32 = 16;
const NODE_COUNT: usize = 390;
const SEED: u64 = 5;

fn main() {
    println!("| servers | models each | state | p50 µs | p99 µs | longest µs |");
    println!("|---|---|---|---|---|---|");
    for targets in TARGETS_PER_SERVER {
        for servers in SERVER_COUNTS {
            for full in [false, true] {
                let mut times = measure(servers, targets, full);
                times.sort();
                let quantile_us = |ratio: f64| {
                    let index = (times.len() as f64 * ratio) as usize;
                    times[index.min(times.len() - 1)].as_nanos() as f64 / 1e3
                };
                let state = if full { "full" } else { "room" };
                println!(
                    "| {servers} | {targets} | {state} | {:.1} | {:.1} | {:.1} |",
                    quantile_us(0.5),
                    quantile_us(0.99),
                    quantile_us(1.0)
                );
            }
        }
    }
}

/// Returns the times to handle all arrivals and ends.
fn measure(servers: usize, targets: usize, full: bool) -> Vec<Duration> {
    let mut router = Router::new(Options::default(), Incarnation(1), SEED);
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut now = Instant::now();
    let mut actions = Vec::new();
    router.handle(now, Event::Catalog(Arc::new(catalog())), &mut actions);
    router.handle(
        now,
        Event::Fleet(Arc::new(fleet(servers, targets))),
        &mut actions,
    );
    router.handle(now, Event::SharingNodes(NODE_COUNT), &mut actions);
    let slots = servers * (SLOTS as usize).div_ceil(NODE_COUNT);
    let in_flight = if full { 2 * slots } else { slots / 2 };
    let mut running = Vec::new();
    let mut times = Vec::new();
    for id in 0..CALL_COUNT + in_flight as u64 {
        now += Duration::from_micros(100);
        actions.clear();
        let call = call(id, now, &mut rng);
        let start = Instant::now();
        router.handle(now, Event::Arrive(call), &mut actions);
        let arrival = start.elapsed();
        take(&actions, &mut running);
        if id < in_flight as u64 || running.is_empty() {
            continue;
        }
        times.push(arrival);
        let attempt = running.swap_remove(rng.random_range(0..running.len()));
        actions.clear();
        let event = AttemptEvent::Done;
        let start = Instant::now();
        router.handle(now, Event::Attempt { attempt, event }, &mut actions);
        times.push(start.elapsed());
        take(&actions, &mut running);
    }
    times
}

/// Adds the dispatched attempts to the running ones.
fn take(actions: &[Action], running: &mut Vec<briarbank_core::ids::AttemptId>) {
    running.extend(actions.iter().filter_map(|action| match action {
        Action::Dispatch(dispatch) => Some(dispatch.attempt),
        _ => None,
    }));
}

fn call(id: u64, now: Instant, rng: &mut SmallRng) -> Call {
    Call {
        id: CallId(id),
        request: "r".into(),
        profile: format!("p{}", rng.random_range(0..PROFILE_COUNT))
            .as_str()
            .into(),
        workspace: format!("w{}", rng.random_range(0..WORKSPACE_COUNT))
            .as_str()
            .into(),
        target: format!("m{}", rng.random_range(0..TARGET_COUNT))
            .as_str()
            .into(),
        prefix_key: rng.random(),
        max_tokens: 500,
        received: now,
        first_try: true,
    }
}

fn catalog() -> Catalog {
    let profile = |index| Profile {
        name: format!("p{index}").as_str().into(),
        tier: (index % 6) as u8,
        idempotent: true,
        first_token_ms: 1_400,
        between_tokens_ms: 79,
        whole_ms: 30_000,
        share_ratio: 0.05,
        queue_limit: 1_000,
    };
    let workspace = |index| Workspace {
        name: format!("w{index}").as_str().into(),
        weight: 1.0,
        in_flight_limit: 1_000,
    };
    let target = |index| Target {
        name: format!("m{index}").as_str().into(),
        kind: TargetKind::Model,
    };
    Catalog {
        revision: Revision(1),
        profiles: (0..PROFILE_COUNT).map(profile).collect(),
        workspaces: (0..WORKSPACE_COUNT).map(workspace).collect(),
        targets: (0..TARGET_COUNT).map(target).collect(),
        retired_hosts_revision: Revision(0),
    }
}

fn fleet(servers: usize, targets: usize) -> Fleet {
    let server = |index: usize| Server {
        name: format!("s{index}").as_str().into(),
        zone: "recife".into(),
        address: ([127, 0, 0, 1], 1).into(),
        targets: (0..targets)
            .map(|t| format!("m{}", (index + t) % TARGET_COUNT).as_str().into())
            .collect(),
        slots: SLOTS,
        version: "".into(),
        checks_fencing: false,
        state: ServerState::Live,
    };
    Fleet {
        revision: Revision(1),
        servers: (0..servers).map(server).collect(),
    }
}
