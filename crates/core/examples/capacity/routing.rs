//! Cost of routing in one node at several numbers of servers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use briarbank_core::call::Call;
use briarbank_core::catalog::{
    Catalog, Fleet, Profile, Server, ServerState, Target, TargetKind, Workspace,
};
use briarbank_core::ids::{CallId, Incarnation, Revision};
use briarbank_core::router::{Action, AttemptEvent, Event, Options, Router};

const MODELS: usize = 28;
const CALLS: u64 = 4_000;
const TOKENS: u32 = 193;

/// Returns a configuration with the proportions of the capacity target.
pub(crate) fn catalog(workspaces: usize) -> Arc<Catalog> {
    let profile = |tier: u8| Profile {
        name: format!("profile-{tier}").as_str().into(),
        tier,
        idempotent: true,
        first_token_ms: 1_400,
        between_tokens_ms: 79,
        whole_ms: 60_000,
        share_ratio: 0.05,
        queue_limit: 1_000,
    };
    let workspace = |i| Workspace {
        name: format!("w{i:05}").as_str().into(),
        weight: 1.0,
        in_flight_limit: 1_000,
    };
    let target = |i| Target {
        name: format!("model-{i}").as_str().into(),
        kind: TargetKind::Model,
    };
    Arc::new(Catalog {
        revision: Revision(1),
        profiles: (0..6).map(profile).collect(),
        workspaces: (0..workspaces).map(workspace).collect(),
        targets: (0..MODELS).map(target).collect(),
        retired_hosts_revision: Revision(0),
    })
}

/// Returns servers with the proportions of the capacity target, each with one model.
pub(crate) fn fleet(servers: usize) -> Arc<Fleet> {
    let server = |i: usize| Server {
        name: format!("engine-{i:04}").as_str().into(),
        zone: format!("zone-{}", i % 6).as_str().into(),
        address: "127.0.0.1:1".parse().expect("valid address"),
        targets: vec![format!("model-{}", i % MODELS.min(servers)).as_str().into()],
        slots: 64,
        version: "".into(),
        checks_fencing: false,
        state: ServerState::Live,
    };
    Arc::new(Fleet {
        revision: Revision(1),
        servers: (0..servers).map(server).collect(),
    })
}

/// Returns a router with configuration and servers.
pub(crate) fn router(now: Instant, workspaces: usize, servers: usize) -> Router {
    let mut router = Router::new(Options::default(), Incarnation(1), 1);
    let mut actions = Vec::new();
    router.handle(now, Event::Catalog(catalog(workspaces)), &mut actions);
    router.handle(now, Event::Fleet(fleet(servers)), &mut actions);
    router
}

fn call(number: u64, workspaces: usize, models: usize, now: Instant) -> Call {
    Call {
        id: CallId(number),
        request: format!("request-{number}").as_str().into(),
        profile: format!("profile-{}", number % 6).as_str().into(),
        workspace: format!("w{:05}", number as usize % workspaces)
            .as_str()
            .into(),
        target: format!("model-{}", number as usize % models)
            .as_str()
            .into(),
        prefix_key: number % 1_000,
        max_tokens: 400,
        received: now,
        first_try: true,
    }
}

struct Cost {
    adoption: Duration,
    call: Duration,
    token: Duration,
    tick: Duration,
    answered: u64,
}

fn measure(workspaces: usize, servers: usize) -> Cost {
    let mut now = Instant::now();
    let started = Instant::now();
    let mut router = router(now, workspaces, servers);
    let adoption = started.elapsed();
    let (mut calls, mut tokens, mut ticks) = (Duration::ZERO, Duration::ZERO, Duration::ZERO);
    let mut answered = 0;
    for number in 0..CALLS {
        now += Duration::from_millis(25);
        let call = call(number, workspaces, MODELS.min(servers), now);
        let mut actions = Vec::new();
        let started = Instant::now();
        router.handle(now, Event::Arrive(call), &mut actions);
        calls += started.elapsed();
        for action in actions {
            let Action::Dispatch(dispatch) = action else {
                continue;
            };
            let attempt = dispatch.attempt;
            let started = Instant::now();
            for token in 1..=TOKENS {
                let event = AttemptEvent::Progress { tokens: token };
                router.handle(now, Event::Attempt { attempt, event }, &mut Vec::new());
            }
            tokens += started.elapsed();
            let started = Instant::now();
            let event = AttemptEvent::Done;
            router.handle(now, Event::Attempt { attempt, event }, &mut Vec::new());
            calls += started.elapsed();
            answered += 1;
        }
        let started = Instant::now();
        router.handle(now, Event::Tick, &mut Vec::new());
        ticks += started.elapsed();
    }
    Cost {
        adoption,
        call: calls / CALLS as u32,
        token: tokens / (answered.max(1) as u32 * TOKENS),
        tick: ticks / CALLS as u32,
        answered,
    }
}

/// Prints the cost of routing in one node.
pub(crate) fn print() {
    println!("## Routing in one node\n");
    println!(
        "| workspaces | servers | answered of {CALLS} | adopt, ms | per call, us | per token, ns | per tick, us |"
    );
    println!("|--:|--:|--:|--:|--:|--:|--:|");
    for (workspaces, servers) in [
        (10, 12),
        (1_000, 100),
        (10_000, 200),
        (38_000, 200),
        (38_000, 850),
        (38_000, 3_300),
    ] {
        let cost = measure(workspaces, servers);
        println!(
            "| {workspaces} | {servers} | {} | {:.1} | {:.1} | {} | {:.1} |",
            cost.answered,
            cost.adoption.as_secs_f64() * 1e3,
            cost.call.as_secs_f64() * 1e6,
            cost.token.as_nanos(),
            cost.tick.as_secs_f64() * 1e6
        );
    }
    println!();
}
