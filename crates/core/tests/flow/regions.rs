//! Regions that calls may reach.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use briarbank_core::flow::{Call, Dispatcher, Fault, Instance, Options, Refusal};
use briarbank_core::ids::{RegionName, ServerName, ZoneName};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::fleet::{DESK, MODELS, instance, long_call, plain_call, server_name, table};

/// Zones of the servers; the last one has no region.
const ZONES: [&str; 4] = ["recife", "natal", "porto", "nowhere"];

fn zone_regions() -> BTreeMap<ZoneName, RegionName> {
    let regions = [("recife", "north"), ("natal", "north"), ("porto", "south")];
    let named = regions.map(|(zone, region)| (zone.into(), region.into()));
    named.into()
}

fn region_of(zone: &ZoneName) -> Option<RegionName> {
    zone_regions().get(zone).cloned()
}

fn list(names: &[&str]) -> Arc<[RegionName]> {
    names.iter().map(|name| RegionName::new(name)).collect()
}

fn in_zone(id: &str, service: &str, zone: &str) -> Instance {
    Instance {
        zone: zone.into(),
        ..instance(id, service, 6)
    }
}

/// Returns a dispatcher with these plain servers: name and zone of each.
fn dispatcher(servers: &[(&str, &str)]) -> Dispatcher {
    let mut dispatcher = Dispatcher::new("recife".into(), Options::default());
    dispatcher.configure(&table());
    dispatcher.set_zone_regions(zone_regions());
    for (id, zone) in servers {
        dispatcher.add_server(Instant::now(), in_zone(id, DESK, zone));
    }
    dispatcher
}

fn call_to(lists: &[&[&str]]) -> Call {
    Call {
        allowed_regions: lists.iter().map(|names| list(names)).collect(),
        ..plain_call()
    }
}

/// Guards against one list that replaces the other: both have to hold the server's region.
#[test]
fn the_lists_of_route_and_workspace_both_apply() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&[("n", "natal"), ("p", "porto")]);
    let both = call_to(&[&["north", "south"], &["south"]]);
    for _ in 0..5 {
        let placement = dispatcher.dispatch(now, &both, &[]).unwrap();
        assert_eq!(placement.instance.id, server_name("p"));
    }
    let none = call_to(&[&["north"], &["south"]]);
    let refusal = dispatcher.dispatch(now, &none, &[]).unwrap_err();
    assert_eq!(refusal, Refusal::NoServerInRegion);
    let empty = call_to(&[&[]]);
    let refusal = dispatcher.dispatch(now, &empty, &[]).unwrap_err();
    assert_eq!(refusal, Refusal::NoServerInRegion);
}

/// Guards against calls that reach servers whose region nobody has named.
#[test]
fn a_server_in_a_zone_without_a_region_gets_only_calls_without_lists() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&[("x", "nowhere")]);
    assert!(dispatcher.dispatch(now, &plain_call(), &[]).is_ok());
    let refusal = dispatcher.dispatch(now, &call_to(&[&["north"]]), &[]);
    assert_eq!(refusal.unwrap_err(), Refusal::NoServerInRegion);
    let refusal = dispatcher.dispatch(now, &call_to(&[&["nowhere"]]), &[]);
    assert_eq!(refusal.unwrap_err(), Refusal::NoServerInRegion);
}

/// Guards against refusals that blame the regions when no server at all would take the call.
#[test]
fn a_refusal_names_the_regions_only_if_they_keep_servers_out() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&[("n", "natal"), ("p", "porto")]);
    let call = call_to(&[&["north"]]);
    dispatcher.record_refusal(now, &server_name("n"), Duration::from_secs(1));
    let refusal = dispatcher.dispatch(now, &call, &[]).unwrap_err();
    assert!(matches!(refusal, Refusal::Busy { .. }), "{refusal:?}");
    dispatcher.remove_server(now, &server_name("n"), None);
    let refusal = dispatcher.dispatch(now, &call, &[]).unwrap_err();
    assert_eq!(refusal, Refusal::NoServerInRegion);
    dispatcher.remove_server(now, &server_name("p"), None);
    let refusal = dispatcher.dispatch(now, &call, &[]).unwrap_err();
    assert_eq!(refusal, Refusal::NoServer);
}

/// Guards against the rest of a stream at a leaving server outside the regions.
///
/// Servers that leave are the last resort for streams that have begun.
#[test]
fn a_leaving_server_gets_the_rest_of_a_stream_only_in_an_allowed_region() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&[("p", "porto")]);
    let version = in_zone("p", DESK, "porto").version_key();
    dispatcher.record_leaving(now, &server_name("p"));
    let rest = |region: &str| Call {
        version: Some(version),
        ..call_to(&[&[region]])
    };
    assert!(dispatcher.dispatch(now, &rest("south"), &[]).is_ok());
    assert!(dispatcher.dispatch(now, &rest("north"), &[]).is_err());
    assert!(!dispatcher.can_move(now, &rest("north"), &[]));
}

/// Guards against a change of the zones' regions that takes effect only at the next start.
#[test]
fn changed_regions_apply_to_the_next_attempt() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&[("p", "porto")]);
    let call = call_to(&[&["south"]]);
    assert!(dispatcher.dispatch(now, &call, &[]).is_ok());
    dispatcher.set_zone_regions(BTreeMap::new());
    assert!(dispatcher.dispatch(now, &call, &[]).is_err());
    // A server that moves is judged by its new zone.
    dispatcher.set_zone_regions(zone_regions());
    dispatcher.add_server(now, in_zone("p", DESK, "natal"));
    assert!(dispatcher.dispatch(now, &call, &[]).is_err());
}

#[derive(Clone, Debug)]
struct Fleet {
    /// Zone and state of each server; a quarter leave, a quarter refuse calls.
    servers: Vec<(usize, u8)>,
    lists: Vec<Vec<&'static str>>,
    is_model: bool,
    is_rest: bool,
}

fn fleet() -> impl Strategy<Value = Fleet> {
    let regions = prop::collection::vec(prop::sample::select(vec!["north", "south", "east"]), 0..3);
    (
        prop::collection::vec((0..ZONES.len(), 0..4_u8), 1..12),
        prop::collection::vec(regions, 0..3),
        any::<bool>(),
        any::<bool>(),
    )
        .prop_map(|(servers, lists, is_model, is_rest)| Fleet {
            servers,
            lists,
            is_model,
            is_rest,
        })
}

impl Fleet {
    fn service(&self) -> &'static str {
        if self.is_model { MODELS } else { DESK }
    }

    fn call(&self, index: u64) -> Call {
        let base = if self.is_model {
            long_call(index % 3, 1_000 + index)
        } else {
            plain_call()
        };
        let version = in_zone("s", self.service(), ZONES[0]).version_key();
        Call {
            allowed_regions: self.lists.iter().map(|names| list(names)).collect(),
            version: self.is_rest.then_some(version),
            ..base
        }
    }

    fn dispatcher(&self, now: Instant) -> Dispatcher {
        let mut dispatcher = dispatcher(&[]);
        for (index, (zone, state)) in self.servers.iter().enumerate() {
            let id = format!("s{index}");
            dispatcher.add_server(now, in_zone(&id, self.service(), ZONES[*zone]));
            match state {
                0 => dispatcher.record_leaving(now, &server_name(&id)),
                1 => dispatcher.record_refusal(now, &server_name(&id), Duration::from_secs(9)),
                _ => {}
            }
        }
        dispatcher
    }

    fn allows(&self, server: &ServerName) -> bool {
        let zones = self.servers.iter().enumerate();
        let mut named = zones.filter(|(i, _)| *server == server_name(&format!("s{i}")));
        let zone = named.next().map(|(_, (zone, _))| ZONES[*zone]);
        let region = zone.and_then(|zone| region_of(&zone.into()));
        let holds = |names: &Vec<&str>| {
            let region = region.as_ref().map(RegionName::as_str);
            region.is_some_and(|region| names.contains(&region))
        };
        self.lists.iter().all(holds)
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(33),
        ..ProptestConfig::with_cases(2_000)
    })]

    /// No attempt of a call, and no question for a load, names a server that is not allowed.
    #[test]
    fn no_path_leads_out_of_the_allowed_regions(fleet in fleet()) {
        let now = Instant::now();
        let mut dispatcher = fleet.dispatcher(now);
        for index in 0..6 {
            let call = fleet.call(index);
            dispatcher.record_arrival(now, &call);
            let mut tried: Vec<ServerName> = Vec::new();
            for _ in 0..4 {
                for key in dispatcher.preferred_servers(now, &call, &tried) {
                    let names = (0..fleet.servers.len()).map(|i| server_name(&format!("s{i}")));
                    let mut of_key = names.filter(|n| dispatcher.server_key(n) == Some(key));
                    prop_assert!(of_key.all(|name| fleet.allows(&name)));
                }
                let names = (0..fleet.servers.len()).map(|i| server_name(&format!("s{i}")));
                let has_other = names
                    .filter(|name| !tried.contains(name))
                    .any(|name| fleet.allows(&name));
                prop_assert!(has_other || !dispatcher.can_move(now, &call, &tried));
                let Ok(placement) = dispatcher.dispatch(now, &call, &tried) else {
                    break;
                };
                prop_assert!(fleet.allows(&placement.instance.id), "{:?}", placement);
                tried.push(placement.instance.id.clone());
                dispatcher.record_failure(now, placement.attempt, Fault::Unreachable);
            }
        }
    }
}
