//! Evacuation of availability zones: what is sent where, and how prompts move.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use briarbank_core::flow::{
    AttemptId, Call, Dispatcher, Fault, Instance, Options, Placement, Refusal,
};
use briarbank_core::ids::{ServerName, ZoneName};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::fleet::{DESK, MODELS, instance, long_call, plain_call, server_name, table};

/// Time after a node learns of an evacuation in which it may still send calls.
const STOP_BOUND: Duration = Duration::from_secs(1);

const MS: Duration = Duration::from_millis(1);

fn zone(name: &str) -> ZoneName {
    name.into()
}

fn server_in(zone: &str, id: &str, service: &str) -> Instance {
    let slots = if service == DESK { 6 } else { 100 };
    Instance {
        zone: zone.into(),
        ..instance(id, service, slots)
    }
}

/// Returns a dispatcher with servers of a service in zones, as `zone-number`.
fn dispatcher_with(now: Instant, service: &str, zones: &[(&str, usize)]) -> Dispatcher {
    let mut dispatcher = Dispatcher::new("recife".into(), Options::default());
    dispatcher.configure(&table());
    for (zone, servers) in zones {
        for index in 0..*servers {
            let server = server_in(zone, &format!("{zone}-{index}"), service);
            dispatcher.add_server(now, server);
        }
    }
    dispatcher
}

/// Returns the servers that calls are sent to when several are in flight.
fn servers_used(
    dispatcher: &mut Dispatcher,
    now: Instant,
    call: &Call,
    avoid: &[ServerName],
) -> BTreeSet<String> {
    let placed = (0..6).map_while(|_| dispatcher.dispatch(now, call, avoid).ok());
    let placed: Vec<Placement> = placed.collect();
    for placement in &placed {
        dispatcher.record_success(now, placement.attempt);
    }
    placed.iter().map(|p| p.instance.id.to_string()).collect()
}

fn names(ids: &[&str]) -> BTreeSet<String> {
    ids.iter().map(ToString::to_string).collect()
}

/// Guards against attempts that bypass the rule: a call that has failed at all other
/// servers went to a server of the zone, since servers that were tried come last.
#[test]
fn no_attempt_goes_to_an_evacuated_zone() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with(now, DESK, &[("a", 2), ("b", 2)]);
    assert!(dispatcher.evacuate(now, &zone("a"), false));
    let call = plain_call();
    let avoid = [server_name("b-0"), server_name("b-1")];
    let first = servers_used(&mut dispatcher, now, &call, &[]);
    assert_eq!(first, names(&["b-0", "b-1"]));
    let second = servers_used(&mut dispatcher, now, &call, &avoid[..1]);
    assert_eq!(second, names(&["b-1"]));
    let third = servers_used(&mut dispatcher, now, &call, &avoid);
    assert_eq!(third, names(&["b-0", "b-1"]));
    // Another server is asked beside a silent one only if there is one.
    dispatcher.record_arrival(now, &call);
    assert!(dispatcher.can_move(now, &call, &avoid[..1]));
    assert!(!dispatcher.can_move(now, &call, &avoid));
    assert_eq!(dispatcher.evacuated_servers(now), 2);
}

/// Guards against queries for the loads of servers that get no calls, which would leave
/// no room for those that do.
#[test]
fn loads_are_asked_for_servers_that_get_calls_only() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with(now, MODELS, &[("a", 4), ("b", 4)]);
    dispatcher.evacuate(now, &zone("a"), false);
    let preferred = dispatcher.preferred_servers(now, &long_call(1, 1), &[]);
    let keys = (0..4).map(|index| dispatcher.server_key(&server_name(&format!("b-{index}"))));
    let keys: BTreeSet<u32> = keys.flatten().collect();
    assert_eq!(preferred.into_iter().collect::<BTreeSet<u32>>(), keys);
}

/// Guards against rests of streams in the zone: the servers of the stream's version leave,
/// and those that have just said so are used when there is no other.
#[test]
fn no_rest_of_a_stream_goes_to_a_leaving_server_of_the_zone() {
    let now = Instant::now();
    let options = Options {
        leaving_use: Duration::from_secs(5),
        ..Options::default()
    };
    let mut dispatcher = Dispatcher::new("recife".into(), options);
    dispatcher.configure(&table());
    let server = server_in("a", "a-0", DESK);
    let call = Call {
        version: Some(server.version_key()),
        ..plain_call()
    };
    dispatcher.add_server(now, server);
    dispatcher.record_leaving(now, &server_name("a-0"));
    assert!(dispatcher.dispatch(now, &call, &[]).is_ok());
    dispatcher.evacuate(now, &zone("a"), false);
    let refusal = dispatcher.dispatch(now, &call, &[]).unwrap_err();
    assert_eq!(refusal, Refusal::NoServerOfVersion);
}

/// Guards against a refusal that names no cause, and against calls sent into the zones
/// because there is no other.
#[test]
fn calls_are_refused_when_all_zones_are_evacuated() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with(now, DESK, &[("a", 2), ("b", 1)]);
    dispatcher.evacuate(now, &zone("a"), false);
    dispatcher.evacuate(now, &zone("b"), false);
    let call = plain_call();
    let refusal = dispatcher.dispatch(now, &call, &[]).unwrap_err();
    assert_eq!(refusal, Refusal::ZonesEvacuated);
    let zones: Vec<&ZoneName> = dispatcher.evacuated_zones().map(|(zone, _)| zone).collect();
    assert_eq!(zones, [&zone("a"), &zone("b")]);
    // A server outside that will take calls soon names the time.
    dispatcher.add_server(now, server_in("c", "c-0", DESK));
    dispatcher.record_refusal(now, &server_name("c-0"), Duration::from_millis(200));
    let refusal = dispatcher.dispatch(now, &call, &[]).unwrap_err();
    assert!(matches!(refusal, Refusal::Busy { .. }), "{refusal:?}");
}

/// Guards against a zone that stays without calls after its evacuation has ended.
#[test]
fn a_zone_gets_calls_again_when_its_evacuation_ends() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with(now, DESK, &[("a", 1), ("b", 1)]);
    dispatcher.evacuate(now, &zone("a"), false);
    dispatcher.evacuate(now, &zone("b"), false);
    let later = now + Duration::from_mins(1);
    let age = dispatcher.end_evacuation(later, &zone("a"));
    assert_eq!(age, Some(Duration::from_mins(1)));
    let used = servers_used(&mut dispatcher, later, &plain_call(), &[]);
    assert_eq!(used, names(&["a-0"]));
    assert_eq!(dispatcher.end_evacuation(later, &zone("a")), None);
    assert_eq!(dispatcher.evacuated_servers(later), 1);
}

/// Guards against calls to servers that are listed after the request, whose zone no server
/// named at first, and to new processes under a name that was to stop later.
#[test]
fn servers_that_are_listed_later_get_no_calls() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with(now, DESK, &[("b", 1)]);
    assert!(dispatcher.evacuate(now, &zone("a"), true));
    dispatcher.add_server(now, server_in("a", "a-0", DESK));
    assert_eq!(
        servers_used(&mut dispatcher, now, &plain_call(), &[]),
        names(&["b-0"])
    );
    // A server that moves out of the zone gets calls.
    dispatcher.add_server(now, server_in("c", "a-0", DESK));
    let used = servers_used(&mut dispatcher, now, &plain_call(), &[]);
    assert_eq!(used, names(&["a-0", "b-0"]));
    // One of several servers that stop one after the other restarts meanwhile.
    let mut dispatcher = dispatcher_with(now, DESK, &[("a", 4)]);
    dispatcher.evacuate(now, &zone("a"), true);
    for index in 0..4 {
        let restarted = Instance {
            born_ms: 7,
            ..server_in("a", &format!("a-{index}"), DESK)
        };
        dispatcher.add_server(now, restarted);
    }
    let refusal = dispatcher.dispatch(now, &plain_call(), &[]).unwrap_err();
    assert_eq!(refusal, Refusal::ZonesEvacuated);
}

/// Returns the servers of zone `a` in the order in which they stop, with the times.
fn stops(dispatcher: &mut Dispatcher, began_at: Instant) -> Vec<(String, Duration)> {
    let mut stops: Vec<(String, Duration)> = Vec::new();
    for elapsed_ms in 0..=1_000 {
        let elapsed = MS * elapsed_ms;
        let now = began_at + elapsed;
        // Servers report while they stop, so that their entries change.
        if elapsed_ms % 400 == 100 {
            let entries: Vec<Instance> = dispatcher
                .servers(now)
                .map(|(instance, ..)| (**instance).clone())
                .collect();
            for entry in entries {
                dispatcher.add_server(now, entry);
            }
        }
        for (instance, ..) in dispatcher.servers(now) {
            let id = instance.id.to_string();
            if dispatcher.is_evacuated(now, instance) && stops.iter().all(|(i, _)| *i != id) {
                stops.push((id, elapsed));
            }
        }
    }
    stops
}

/// Guards against a jump of all prompts of a zone, and against nodes that move them in
/// different orders, each filling other caches.
#[test]
fn servers_stop_one_after_the_other_in_the_same_order_at_all_nodes() {
    let now = Instant::now();
    let mut one = dispatcher_with(now, MODELS, &[("a", 20), ("b", 20)]);
    // The other node has listed the servers in another order, and has seen other calls.
    let mut other = dispatcher_with(now, MODELS, &[("b", 20)]);
    for index in (0..20).rev() {
        other.add_server(now, server_in("a", &format!("a-{index}"), MODELS));
        let _ = other.dispatch(now, &long_call(index, index), &[]);
    }
    assert!(one.evacuate(now, &zone("a"), true));
    assert!(other.evacuate(now, &zone("a"), true));
    let order = stops(&mut one, now);
    assert_eq!(order, stops(&mut other, now));
    assert_eq!(order.len(), 20);
    let times: Vec<Duration> = order.iter().map(|(_, at)| *at).collect();
    assert!(times.windows(2).all(|pair| pair[1] >= pair[0] + MS * 40));
    assert!(times.iter().all(|at| *at < STOP_BOUND));
    // The order is not that of the names, in which servers of one host follow each other.
    let mut by_name = order.clone();
    by_name.sort();
    assert_ne!(order, by_name);
}

/// Guards against servers that get calls for longer than a node that learned late allows.
#[test]
fn a_request_at_once_stops_servers_that_were_to_stop_later() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with(now, DESK, &[("a", 10), ("b", 1)]);
    dispatcher.evacuate(now, &zone("a"), true);
    assert_eq!(dispatcher.evacuated_servers(now), 1);
    let later = now + MS * 200;
    assert!(!dispatcher.evacuate(later, &zone("a"), false));
    assert_eq!(dispatcher.evacuated_servers(later), 10);
    // A key that is written again does not let them have calls once more.
    assert!(!dispatcher.evacuate(later, &zone("a"), true));
    assert_eq!(dispatcher.evacuated_servers(later), 10);
}

/// Guards against sends that were placed before and still wait for a connection, also when
/// the entry of their server is gone meanwhile.
#[test]
fn a_call_placed_before_is_known_not_to_be_sent() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with(now, DESK, &[("a", 1), ("b", 1)]);
    let avoid = [server_name("b-0")];
    let placement = dispatcher.dispatch(now, &plain_call(), &avoid).unwrap();
    assert!(!dispatcher.is_evacuated(now, &placement.instance));
    dispatcher.evacuate(now, &zone("a"), false);
    assert!(dispatcher.is_evacuated(now, &placement.instance));
    dispatcher.remove_server(now, &placement.instance.id, None);
    assert!(dispatcher.is_evacuated(now, &placement.instance));
    // The call itself continues if it was sent before.
    assert!(!dispatcher.record_failure(now, placement.attempt, Fault::Cancelled));
}

/// Guards against ejections of all servers that are left: those of the evacuated zone, which
/// are sound, counted as servers in use.
#[test]
fn the_bound_on_ejections_counts_servers_in_use() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with(now, DESK, &[("a", 12), ("b", 4)]);
    dispatcher.evacuate(now, &zone("a"), false);
    let mut ejected = BTreeSet::new();
    for _ in 0..80 {
        let placement = dispatcher.dispatch(now, &plain_call(), &[]).unwrap();
        if dispatcher.record_failure(now, placement.attempt, Fault::Malformed) {
            ejected.insert(placement.instance.id.to_string());
        }
    }
    // A third of four.
    assert_eq!(ejected.len(), 1, "{ejected:?}");
}

/// Guards against memory without a bound, and against zones with servers that find the
/// table full of zones that do not exist.
#[test]
fn a_flood_of_zones_leaves_room_for_those_with_servers() {
    const ZONES_MAX: usize = 4_096;
    let now = Instant::now();
    let mut dispatcher = dispatcher_with(now, DESK, &[("a", 1), ("b", 1)]);
    for index in 0..10_000 {
        dispatcher.evacuate(now, &zone(&format!("no-{index}")), true);
    }
    assert_eq!(dispatcher.evacuated_zones().count(), ZONES_MAX);
    assert!(dispatcher.has_omitted_evacuations());
    assert!(dispatcher.evacuate(now, &zone("a"), false));
    assert_eq!(dispatcher.evacuated_zones().count(), ZONES_MAX);
    let used = servers_used(&mut dispatcher, now, &plain_call(), &[]);
    assert_eq!(used, names(&["b-0"]));
}

/// A node of the simulated fleet and the calls that it has in flight.
struct Node {
    dispatcher: Dispatcher,
    /// Time at which it learns of the evacuation.
    learns_at: Instant,
    in_flight: VecDeque<(Instant, AttemptId)>,
}

/// What a fleet under load did after a request to evacuate a zone.
struct Outcome {
    /// Longest time between the moment at which a node learned of it and its last send there.
    last_send: Duration,
    /// Most prompts in a tenth of a second that met a server without their prefix.
    misses_max: usize,
    refusals: usize,
    calls: usize,
}

/// Lets three nodes send prompts of 120 prefixes to 30 servers, 10 of which are evacuated.
fn evacuate_under_load(is_gradual: bool) -> Outcome {
    const NODES: usize = 3;
    const PREFIXES: u64 = 120;
    let start = Instant::now();
    let evacuated_at = start + Duration::from_secs(3);
    let end = evacuated_at + Duration::from_secs(4);
    let mut nodes: Vec<Node> = (0..NODES)
        .map(|index| Node {
            dispatcher: dispatcher_with(start, MODELS, &[("a", 10), ("b", 10), ("c", 10)]),
            learns_at: evacuated_at + MS * 120 * index as u32,
            in_flight: VecDeque::new(),
        })
        .collect();
    let mut cached: BTreeSet<(u64, String)> = BTreeSet::new();
    let mut misses: BTreeMap<u128, usize> = BTreeMap::new();
    let mut outcome = Outcome {
        last_send: Duration::ZERO,
        misses_max: 0,
        refusals: 0,
        calls: 0,
    };
    let mut now = start;
    // One call each 2 ms, so that each prefix is asked for four times a second.
    for step in 0_u64.. {
        now += MS * 2;
        if now >= end {
            break;
        }
        let node = &mut nodes[(step % NODES as u64) as usize];
        while let Some((_, attempt)) = node.in_flight.pop_front_if(|(until, _)| *until <= now) {
            node.dispatcher.record_success(now, attempt);
        }
        if node.learns_at <= now && node.dispatcher.evacuated_zones().next().is_none() {
            node.dispatcher.evacuate(now, &zone("a"), is_gradual);
        }
        let prefix = step.wrapping_mul(7) % PREFIXES;
        let call = long_call(prefix, 10_000 + step);
        node.dispatcher.record_arrival(now, &call);
        outcome.calls += 1;
        let Ok(placement) = node.dispatcher.dispatch(now, &call, &[]) else {
            outcome.refusals += 1;
            continue;
        };
        node.in_flight.push_back((now + MS * 60, placement.attempt));
        let is_new = cached.insert((prefix, placement.instance.id.to_string()));
        if now >= evacuated_at {
            let since = now - evacuated_at;
            *misses.entry(since.as_millis() / 100).or_default() += usize::from(is_new);
            if placement.instance.zone == zone("a") {
                let since = now.saturating_duration_since(node.learns_at);
                outcome.last_send = outcome.last_send.max(since);
            }
        }
    }
    outcome.misses_max = misses.into_values().max().unwrap_or(0);
    outcome
}

/// Guards against a jump: with all prompts of a zone at other servers at once, these would
/// prefill all prefixes of the zone within a moment, ahead of what they have in work.
///
/// Load: 500 prompts per second of 9,000 tokens, of which 6,000 are shared in 120 prefixes.
#[test]
fn prompts_of_a_zone_move_a_few_at_a_time_under_load() {
    let (gradual, at_once) = (evacuate_under_load(true), evacuate_under_load(false));
    assert_eq!((gradual.refusals, at_once.refusals), (0, 0));
    assert!(gradual.calls > 3_000);
    assert!(gradual.last_send < STOP_BOUND, "{:?}", gradual.last_send);
    assert_eq!(at_once.last_send, Duration::ZERO);
    assert!(
        gradual.last_send > STOP_BOUND / 2,
        "{:?}",
        gradual.last_send
    );
    let peaks = (gradual.misses_max, at_once.misses_max);
    println!(
        "most misses in 100 ms: {} one after the other, {} at once",
        peaks.0, peaks.1
    );
    assert!(peaks.0 * 3 <= peaks.1 * 2, "{peaks:?}");
}

/// A step of the property test.
#[derive(Clone, Debug)]
enum Step {
    List {
        server: usize,
        zone: usize,
        born_ms: u64,
        is_draining: bool,
    },
    Remove {
        server: usize,
        has_grace: bool,
    },
    Leave {
        server: usize,
    },
    Evacuate {
        zone: usize,
        is_gradual: bool,
    },
    End {
        zone: usize,
    },
    Wait {
        ms: u32,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let server = 0..6_usize;
    let zone = 0..3_usize;
    prop_oneof![
        4 => (server.clone(), zone.clone(), 0..2_u64, prop::bool::weighted(0.15)).prop_map(
            |(server, zone, born_ms, is_draining)| Step::List { server, zone, born_ms, is_draining }
        ),
        1 => (server.clone(), any::<bool>())
            .prop_map(|(server, has_grace)| Step::Remove { server, has_grace }),
        1 => server.prop_map(|server| Step::Leave { server }),
        3 => (zone.clone(), any::<bool>())
            .prop_map(|(zone, is_gradual)| Step::Evacuate { zone, is_gradual }),
        2 => zone.prop_map(|zone| Step::End { zone }),
        3 => (1..600_u32).prop_map(|ms| Step::Wait { ms }),
    ]
}

/// What the rules say: until when servers of each evacuated zone may get calls.
#[derive(Default)]
struct Model {
    /// Zone and start of each server, and whether it was listed after its zone's evacuation.
    servers: BTreeMap<String, (usize, u64, bool)>,
    /// End of the time in which servers of a zone may get calls.
    ends: BTreeMap<usize, Instant>,
}

impl Model {
    fn apply(&mut self, now: Instant, step: &Step) {
        match *step {
            Step::List {
                server,
                zone,
                born_ms,
                ..
            } => {
                let id = format!("s-{server}");
                let known = self
                    .servers
                    .get(&id)
                    .filter(|(_, born, _)| *born == born_ms);
                let is_known_there = known.is_some_and(|(at, ..)| *at == zone);
                let was_late = known.is_some_and(|(.., is_late)| *is_late);
                let is_late = self.ends.contains_key(&zone) && (!is_known_there || was_late);
                self.servers.insert(id, (zone, born_ms, is_late));
            }
            Step::Evacuate { zone, is_gradual } => {
                let end = if is_gradual { now + STOP_BOUND } else { now };
                let known = self.ends.entry(zone).or_insert(end);
                *known = (*known).min(end);
            }
            Step::End { zone } => {
                self.ends.remove(&zone);
                for (at, _, is_late) in self.servers.values_mut() {
                    *is_late &= *at != zone;
                }
            }
            Step::Remove { .. } | Step::Leave { .. } | Step::Wait { .. } => {}
        }
    }

    fn allows(&self, now: Instant, id: &str) -> bool {
        let Some((zone, _, is_late)) = self.servers.get(id) else {
            return false;
        };
        let end = self.ends.get(zone);
        end.is_none_or(|end| now < *end && !is_late)
    }
}

fn apply(dispatcher: &mut Dispatcher, now: Instant, step: &Step) {
    let name = |server: usize| server_name(&format!("s-{server}"));
    match *step {
        Step::List {
            server,
            zone,
            born_ms,
            is_draining,
        } => {
            let entry = Instance {
                born_ms,
                is_draining,
                ..server_in(&format!("z-{zone}"), &format!("s-{server}"), DESK)
            };
            dispatcher.add_server(now, entry);
        }
        Step::Remove { server, has_grace } => {
            let grace = has_grace.then_some(Duration::from_secs(1));
            dispatcher.remove_server(now, &name(server), grace);
        }
        Step::Leave { server } => dispatcher.record_leaving(now, &name(server)),
        Step::Evacuate {
            zone: index,
            is_gradual,
        } => {
            dispatcher.evacuate(now, &zone(&format!("z-{index}")), is_gradual);
        }
        Step::End { zone: index } => {
            dispatcher.end_evacuation(now, &zone(&format!("z-{index}")));
        }
        Step::Wait { .. } => dispatcher.remove_lapsed(now),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(41),
        ..ProptestConfig::with_cases(5_000)
    })]

    /// Guards against any order of events that lets a call into an evacuated zone, or that
    /// leaves a zone without calls after its evacuation.
    #[test]
    fn no_order_of_events_sends_a_call_into_an_evacuated_zone(
        steps in prop::collection::vec(step(), 1..40), avoided in 0..6_usize,
    ) {
        let mut now = Instant::now();
        let mut dispatcher = dispatcher_with(now, DESK, &[]);
        let mut model = Model::default();
        let version = server_in("z", "s", DESK).version_key();
        let calls = [plain_call(), Call { version: Some(version), ..plain_call() }];
        let avoid = [server_name(&format!("s-{avoided}"))];
        for step in &steps {
            if let Step::Wait { ms } = step {
                now += MS * *ms;
            }
            apply(&mut dispatcher, now, step);
            model.apply(now, step);
            for (call, avoid) in calls.iter().flat_map(|call| [(call, &avoid[..]), (call, &[])]) {
                let placed = dispatcher.dispatch(now, call, avoid);
                let evacuated = model.ends.len();
                match placed {
                    Ok(placement) => {
                        let id = placement.instance.id.to_string();
                        prop_assert!(model.allows(now, &id), "{id} after {step:?}");
                        dispatcher.record_success(now, placement.attempt);
                    }
                    Err(refusal) => {
                        prop_assert!(refusal != Refusal::ZonesEvacuated || evacuated > 0);
                    }
                }
            }
        }
        for index in 0..3 {
            dispatcher.end_evacuation(now, &zone(&format!("z-{index}")));
        }
        prop_assert_eq!(dispatcher.evacuated_servers(now), 0);
    }
}
