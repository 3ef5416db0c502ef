//! Servers and calls for tests of the dispatcher.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use briarbank_core::flow::{
    Call, Dispatcher, EngineSpec, Instance, Load, Options, Prompt, RouteConfig, RouteTable,
    ServiceSpec, TierRank,
};
use briarbank_core::ids::ServerName;

pub(crate) const MODELS: &str = "models";
pub(crate) const DESK: &str = "desk";

pub(crate) fn instance(id: &str, service: &str, slots: u32) -> Instance {
    Instance {
        id: id.into(),
        born_ms: 0,
        service: service.into(),
        version: "v1".into(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9)),
        zone: "recife".into(),
        slots,
        is_draining: false,
        cold_ms: 0,
    }
}

pub(crate) fn table() -> RouteTable {
    let engine = EngineSpec {
        slots: 100,
        memory_tokens: 600_000,
        event_tokens: 5,
    };
    let service = |name: &str, engine| ServiceSpec {
        name: name.into(),
        connections_max: 100,
        engine,
        cold: None,
    };
    RouteTable::new(RouteConfig {
        version: 1,
        services: vec![service(MODELS, Some(engine)), service(DESK, None)],
        ..RouteConfig::default()
    })
}

/// Returns a dispatcher with `models` engines and `desks` plain servers.
pub(crate) fn dispatcher(models: usize, desks: usize) -> Dispatcher {
    let mut dispatcher = Dispatcher::new("recife".into(), Options::default());
    dispatcher.configure(&table());
    for index in 0..models {
        dispatcher.add_server(Instant::now(), instance(&format!("m{index}"), MODELS, 100));
    }
    for index in 0..desks {
        dispatcher.add_server(Instant::now(), instance(&format!("d{index}"), DESK, 6));
    }
    dispatcher
}

/// Returns a call with a long prompt: 6,000 shared tokens and 3,000 unshared ones.
pub(crate) fn long_call(prefix: u64, unshared: u64) -> Call {
    prompt_call(
        9_000,
        TierRank::Last,
        &[(1, 2_000), (1_000 + prefix, 4_000), (unshared, 3_000)],
    )
}

/// Returns a call with a short prompt: 200 shared tokens and 600 unshared ones.
pub(crate) fn chat(prefix: u64, unshared: u64) -> Call {
    prompt_call(
        800,
        TierRank::First,
        &[(2, 120), (500 + prefix, 80), (unshared, 600)],
    )
}

fn prompt_call(tokens: u32, tier_rank: TierRank, parts: &[(u64, u32)]) -> Call {
    Call {
        service: MODELS.into(),
        tier_rank,
        objective: Duration::from_millis(500),
        time_left: Duration::from_secs(5),
        version: None,
        key_version: None,
        identity: None,
        allowed_regions: Vec::new(),
        prompt: Some(Prompt {
            tokens,
            output_tokens_max: 100,
            parts: parts.to_vec(),
        }),
    }
}

/// Returns a call to a plain server.
pub(crate) fn plain_call() -> Call {
    Call {
        service: DESK.into(),
        tier_rank: TierRank::First,
        objective: Duration::from_millis(150),
        time_left: Duration::from_secs(1),
        version: None,
        key_version: None,
        identity: None,
        allowed_regions: Vec::new(),
        prompt: None,
    }
}

/// Records calls from which the dispatcher learns the mean prompt size.
pub(crate) fn learn_prompt_sizes(dispatcher: &mut Dispatcher, now: Instant) {
    for unshared in 0..40 {
        dispatcher.record_arrival(now, &long_call(1, unshared));
        dispatcher.record_arrival(now, &chat(1, unshared));
    }
}

/// Returns the load on each server as a peer gets it.
pub(crate) fn loads_at_peer(dispatcher: &Dispatcher, now: Instant) -> BTreeMap<u32, Load> {
    let mut loads: BTreeMap<u32, Load> = BTreeMap::new();
    for load in dispatcher.reported_loads(now) {
        loads.entry(load.server_key).or_default().add(&load, 1.0);
    }
    loads
}

pub(crate) fn server_name(id: &str) -> ServerName {
    id.into()
}
