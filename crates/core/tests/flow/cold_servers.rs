//! Cold servers, which crash when nodes together send them more than a low rate.

use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use briarbank_core::flow::{
    Call, ColdLimit, ColdShare, ColdSpec, ColdStanding, Dispatcher, Heartbeat, HeartbeatEntry,
    Options, PeerOptions, Peers, Refusal, RouteConfig, RouteTable, ServiceSpec,
};

use crate::fleet::{DESK, instance, plain_call, server_name};

/// Limit in the examples of the requirements.
const LIMIT: ColdLimit = ColdLimit {
    excess_ratio: 1.5,
    extra_calls: 5.0,
};

/// Rate of cold servers in directed tests.
pub(crate) const PER_S: f64 = 8.2;

/// Bound that follows from it.
pub(crate) const BOUND: f64 = PER_S * 1.5 + 5.0;

const SECOND: Duration = Duration::from_secs(1);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns a dispatcher without servers whose service limits calls to cold ones.
pub(crate) fn cold_dispatcher(per_s: f64) -> Dispatcher {
    let options = Options {
        cold: LIMIT,
        ..Options::default()
    };
    let mut dispatcher = Dispatcher::new("recife".into(), options);
    let cold = ColdSpec {
        duration_ms: 20_000,
        calls_per_1000_s: (per_s * 1_000.0) as u32,
    };
    dispatcher.configure(&RouteTable::new(RouteConfig {
        version: 1,
        services: vec![ServiceSpec {
            name: DESK.into(),
            connections_max: 100,
            engine: None,
            cold: Some(cold),
        }],
        ..RouteConfig::default()
    }));
    dispatcher
}

fn add(dispatcher: &mut Dispatcher, now: Instant, id: &str, cold_ms: u32) {
    let mut instance = instance(id, DESK, 1_000);
    instance.cold_ms = cold_ms;
    dispatcher.add_server(now, instance);
}

/// Returns the dispatcher with one server that is cold for longer than any test takes.
pub(crate) fn cold_server(mut dispatcher: Dispatcher, now: Instant) -> Dispatcher {
    add(&mut dispatcher, now, "d0", 3_600_000);
    dispatcher
}

/// Sets the same share in all cold servers.
fn set_shares(dispatcher: &mut Dispatcher, now: Instant, per_s: f64) {
    let share = ColdShare {
        slots: u64::from(per_s > 0.0),
        slot_per_s: per_s,
    };
    let cold = dispatcher.cold_servers(now);
    let shares = cold.iter().map(|s| (s.server_key, share)).collect();
    dispatcher.set_cold_shares(now, &shares);
}

/// Sends a call; returns whether it was taken.
fn send(dispatcher: &mut Dispatcher, now: Instant) -> bool {
    let placement = dispatcher.dispatch(now, &plain_call(), &[]);
    if let Ok(placement) = &placement {
        dispatcher.record_success(now, placement.attempt);
    }
    placement.is_ok()
}

/// Returns the remaining cold time of the only server, `None` if it is warm.
fn remaining(dispatcher: &Dispatcher, now: Instant) -> Option<Duration> {
    dispatcher.cold_servers(now).first().map(|s| s.remaining)
}

fn standing(nodes: usize) -> ColdStanding {
    ColdStanding {
        live_nodes: nodes,
        sharing_nodes: nodes,
        nodes_max: nodes,
        uptime: Duration::from_mins(1),
        has_other_seeds: true,
        is_leaving: false,
    }
}

pub(crate) fn address(index: usize) -> SocketAddrV4 {
    let [high, low] = (index as u16).to_be_bytes();
    SocketAddrV4::new(Ipv4Addr::new(10, 1, high, low), 7_000)
}

/// Returns the view of each node of a fleet in which all have long known each other.
fn views(now: Instant, nodes: usize) -> Vec<Peers> {
    let entry = |index| HeartbeatEntry {
        address: address(index),
        incarnation: 1,
        count: 1,
    };
    let entries: Vec<HeartbeatEntry> = (0..nodes).map(entry).collect();
    let view = |index| {
        let mut peers = Peers::new(address(index), 1, Vec::new(), PeerOptions::default());
        let started_at = now.checked_sub(SECOND * 3).unwrap_or(now);
        peers.next_heartbeat(started_at, 1, true, Vec::new());
        let heartbeat = Heartbeat {
            sender: entries[(index + 1) % nodes],
            is_leaving: false,
            is_watching: true,
            revision: 1,
            loads: Vec::new(),
            entries: entries.clone(),
        };
        peers.receive(now, heartbeat);
        peers
    };
    (0..nodes).map(view).collect()
}

/// Returns the most times in any window of one second; the times are in order.
pub(crate) fn most_per_second(times: &[Duration]) -> usize {
    let mut first = 0;
    let counts = times.iter().enumerate().map(|(index, at)| {
        while *at >= times[first] + SECOND {
            first += 1;
        }
        index + 1 - first
    });
    counts.max().unwrap_or(0)
}

/// Guards against limits on servers that are warm, or whose service names no rate.
#[test]
fn only_cold_servers_with_a_named_rate_are_limited() {
    let now = Instant::now();
    let mut warm = cold_dispatcher(PER_S);
    add(&mut warm, now, "d0", 0);
    let mut unlimited = cold_dispatcher(0.0);
    add(&mut unlimited, now, "d0", 5_000);
    for dispatcher in [&mut warm, &mut unlimited] {
        assert!((0..100).all(|_| send(dispatcher, now)));
        assert!(dispatcher.cold_servers(now).is_empty());
    }
}

/// Guards against calls to a cold server before this node knows its share, and after.
#[test]
fn a_cold_server_gets_calls_by_this_nodes_share_only() {
    let now = Instant::now();
    let mut dispatcher = cold_dispatcher(PER_S);
    add(&mut dispatcher, now, "d0", 5_000);
    assert!(!send(&mut dispatcher, now), "without a share");
    set_shares(&mut dispatcher, now, 2.0);
    assert!(!send(&mut dispatcher, now), "the bucket starts empty");
    set_shares(&mut dispatcher, now + ms(400), 2.0);
    assert!(send(&mut dispatcher, now + ms(500)));
    assert!(!send(&mut dispatcher, now + ms(500)));
    assert_eq!(dispatcher.cold_counts().sends, 1);
    assert_eq!(dispatcher.cold_counts().held_back, 3);
    assert!(send(&mut dispatcher, now + ms(5_000)), "warm again");
}

/// Guards against calls of a node that stood still while others took over its share.
#[test]
fn a_share_that_is_not_renewed_is_void() {
    let now = Instant::now();
    let mut dispatcher = cold_dispatcher(PER_S);
    add(&mut dispatcher, now, "d0", 60_000);
    set_shares(&mut dispatcher, now, 1.0);
    assert!(!send(&mut dispatcher, now + SECOND * 3));
    set_shares(&mut dispatcher, now + SECOND * 3, 1.0);
    assert!(!send(&mut dispatcher, now + SECOND * 3), "starts empty");
}

/// Guards against a token that a node gathers while it is a user for moments only.
#[test]
fn a_share_that_returns_starts_empty() {
    let now = Instant::now();
    let mut dispatcher = cold_dispatcher(PER_S);
    add(&mut dispatcher, now, "d0", 60_000);
    for (at, per_s) in [(0, 2.0), (400, 0.0), (480, 2.0)] {
        set_shares(&mut dispatcher, now + ms(at), per_s);
    }
    assert!(!send(&mut dispatcher, now + ms(600)));
}

/// Guards against retries, hedges and rests of streams that exceed the limit: all of them
/// go to a server that was tried or left if there is no other.
#[test]
fn attempts_of_all_kinds_wait_for_a_token() {
    let now = Instant::now();
    let mut dispatcher = cold_dispatcher(PER_S);
    add(&mut dispatcher, now, "d0", 60_000);
    let version = instance("d0", DESK, 1).version_key();
    let rest = Call {
        version: Some(version),
        ..plain_call()
    };
    let tried = [server_name("d0")];
    assert!(dispatcher.dispatch(now, &plain_call(), &tried).is_err());
    assert!(dispatcher.dispatch(now, &rest, &tried).is_err());
    assert!(!dispatcher.can_move(now, &plain_call(), &[]));
    dispatcher.record_leaving(now, &server_name("d0"));
    assert!(dispatcher.dispatch(now, &rest, &[]).is_err(), "leaving");
}

/// Guards against callers without a time to come back when all servers are cold.
#[test]
fn a_call_that_only_cold_servers_could_take_is_told_the_next_turn() {
    let now = Instant::now();
    let mut dispatcher = cold_dispatcher(PER_S);
    add(&mut dispatcher, now, "d0", 60_000);
    let wait = |dispatcher: &mut Dispatcher| match dispatcher
        .dispatch(now, &plain_call(), &[])
        .unwrap_err()
    {
        Refusal::Busy { retry_after, .. } => retry_after,
        refusal => panic!("{refusal:?}"),
    };
    assert_eq!(wait(&mut dispatcher), ms(150), "others are the users");
    set_shares(&mut dispatcher, now, 4.0);
    assert_eq!(wait(&mut dispatcher), ms(250));
}

/// Guards against warm servers that are passed over, and cold ones that are never used.
#[test]
fn warm_servers_take_what_cold_ones_do_not() {
    let now = Instant::now();
    let mut dispatcher = cold_dispatcher(PER_S);
    add(&mut dispatcher, now, "d0", 60_000);
    add(&mut dispatcher, now, "d1", 0);
    for step in 0..100 {
        let at = now + ms(step * 40);
        set_shares(&mut dispatcher, at, 1.0);
        assert!(send(&mut dispatcher, at));
    }
    let sends = dispatcher.cold_counts().sends;
    assert!((2..=4).contains(&sends), "{sends} in 4 s at 1 per second");
}

/// Guards against a server that stays cold, or is taken for warm, against its statements.
#[test]
fn newer_statements_set_the_end_of_the_cold_time() {
    let now = Instant::now();
    let mut dispatcher = cold_dispatcher(PER_S);
    let server = server_name("d0");
    add(&mut dispatcher, now, "d0", 10_000);
    assert_eq!(remaining(&dispatcher, now), Some(ms(10_000)));
    let later = now + SECOND * 2;
    add(&mut dispatcher, later, "d0", 3_000);
    assert_eq!(remaining(&dispatcher, later), Some(ms(3_000)));
    assert!(!dispatcher.record_cold(later, &server, ms(1_000)));
    assert_eq!(remaining(&dispatcher, later), Some(ms(1_000)));
    dispatcher.record_cold(later, &server, Duration::ZERO);
    assert_eq!(remaining(&dispatcher, later), None);
    // An entry from before the answer is still under way.
    add(&mut dispatcher, later + ms(300), "d0", 700);
    assert_eq!(remaining(&dispatcher, later + ms(300)), None);
    assert!(dispatcher.record_cold(later + SECOND, &server, ms(8_000)));
    add(&mut dispatcher, later + ms(1_300), "d0", 0);
    assert!(remaining(&dispatcher, later + ms(1_300)).is_some());
    add(&mut dispatcher, later + ms(2_100), "d0", 0);
    assert_eq!(remaining(&dispatcher, later + ms(2_100)), None);
}

/// Guards against a server that became cold again soon after an answer.
#[test]
fn an_entry_with_a_much_longer_time_wins_over_a_recent_answer() {
    let now = Instant::now();
    let mut dispatcher = cold_dispatcher(PER_S);
    add(&mut dispatcher, now, "d0", 0);
    dispatcher.record_cold(now, &server_name("d0"), Duration::ZERO);
    add(&mut dispatcher, now + ms(100), "d0", 9_000);
    assert_eq!(remaining(&dispatcher, now + ms(100)), Some(ms(9_000)));
}

/// Guards against the cold time of a former process, and against times without a bound.
#[test]
fn a_new_process_is_cold_for_the_time_in_its_entry() {
    let now = Instant::now();
    let mut dispatcher = cold_dispatcher(PER_S);
    add(&mut dispatcher, now, "d0", 10_000);
    dispatcher.record_cold(now, &server_name("d0"), ms(30_000));
    let mut restarted = instance("d0", DESK, 6);
    restarted.born_ms = 7;
    dispatcher.add_server(now, restarted.clone());
    assert_eq!(remaining(&dispatcher, now), None);
    restarted.born_ms = 8;
    restarted.cold_ms = 4_000;
    dispatcher.add_server(now, restarted);
    assert_eq!(remaining(&dispatcher, now), Some(ms(4_000)));
    dispatcher.record_cold(now, &server_name("d0"), Duration::MAX);
    assert_eq!(remaining(&dispatcher, now), Some(SECOND * 3_600));
}

/// Guards against full load on a zone that comes back from its evacuation.
#[test]
fn servers_of_a_zone_are_cold_after_its_evacuation() {
    let now = Instant::now();
    let mut dispatcher = cold_dispatcher(PER_S);
    add(&mut dispatcher, now, "d0", 0);
    dispatcher.record_cold_zone(now, &"other".into());
    assert_eq!(remaining(&dispatcher, now), None);
    dispatcher.record_cold_zone(now, &"recife".into());
    assert_eq!(remaining(&dispatcher, now), Some(ms(20_000)));
    // Written before the end of the evacuation.
    add(&mut dispatcher, now + ms(100), "d0", 0);
    assert!(remaining(&dispatcher, now + ms(100)).is_some());
    add(&mut dispatcher, now + ms(1_500), "d0", 0);
    assert_eq!(remaining(&dispatcher, now + ms(1_500)), None);
}

/// Guards against changes that are logged twice or not at all.
#[test]
fn a_server_that_turns_cold_or_warm_is_told_once() {
    let now = Instant::now();
    let mut dispatcher = cold_dispatcher(PER_S);
    add(&mut dispatcher, now, "d0", 2_000);
    add(&mut dispatcher, now, "d1", 0);
    let changes = dispatcher.take_cold_changes(now);
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].remaining, Some(ms(2_000)));
    assert!(dispatcher.take_cold_changes(now).is_empty());
    let changes = dispatcher.take_cold_changes(now + SECOND * 2);
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].remaining, None);
}

/// Guards against slots that admit more than half of the bound in a second, which two
/// halves of a fleet need, or that leave most of the rate unused.
#[test]
fn slots_use_most_of_the_rate_and_at_most_half_of_the_bound() {
    for per_s in [0.5, 2.0, 8.2, 14.0, 20.3, 49.0, 100.0, 1_000.0] {
        let bound = per_s * 1.5 + 5.0;
        let all = standing(8).share(per_s, bound, |_| true);
        let sum = all.per_s();
        assert!(sum <= per_s + 1e-6 && sum >= per_s * 0.7, "{per_s}: {sum}");
        let most = f64::from(all.slots.count_ones()) * (all.slot_per_s + 1.0).floor();
        assert!(most <= (bound / 2.0).floor(), "{per_s}: {most}");
    }
    let none = standing(8).share(0.5, 1.0, |_| true);
    assert_eq!(none.slots, 0, "with a bound below 2");
}

/// Guards against slots that several nodes hold, or none.
#[test]
fn each_slot_has_one_holder() {
    let now = Instant::now();
    for nodes in [1, 8, 61, 195] {
        let views = views(now, nodes);
        for server_key in [7, 8, 9] {
            let shares = views
                .iter()
                .map(|v| v.cold_share(now, server_key, PER_S, BOUND));
            let slots: Vec<u64> = shares.map(|share| share.slots).collect();
            let held: u32 = slots.iter().map(|s| s.count_ones()).sum();
            assert_eq!(held, 8, "{nodes} nodes");
            assert_eq!(
                slots.iter().fold(0, |all, s| all | s),
                0xff,
                "{nodes} nodes"
            );
        }
    }
}

/// Guards against nodes that send though they may see too little of the fleet.
#[test]
fn a_node_that_sees_too_little_has_no_share() {
    let usual = standing(8);
    let may_send = |standing: ColdStanding| standing.share(PER_S, BOUND, |_| true).slots > 0;
    assert!(may_send(usual));
    let live_nodes = 4;
    assert!(
        may_send(ColdStanding {
            live_nodes,
            ..usual
        }),
        "half"
    );
    let live_nodes = 3;
    assert!(!may_send(ColdStanding {
        live_nodes,
        ..usual
    }));
    let uptime = ms(1_999);
    assert!(!may_send(ColdStanding { uptime, ..usual }));
    let is_leaving = true;
    assert!(!may_send(ColdStanding {
        is_leaving,
        ..usual
    }));
    assert!(!may_send(standing(1)), "heard of no other node");
    let has_other_seeds = false;
    assert!(may_send(ColdStanding {
        has_other_seeds,
        ..standing(1)
    }));
    let nodes_max = 8;
    assert!(
        !may_send(ColdStanding {
            nodes_max,
            ..standing(1)
        }),
        "cut off for long"
    );
    let nodes_max = 2;
    assert!(
        may_send(ColdStanding {
            nodes_max,
            ..standing(1)
        }),
        "the rest of a pair"
    );
}

/// Guards against a second start of a node's time, or none.
#[test]
fn a_node_gets_its_share_two_seconds_after_its_start() {
    let now = Instant::now();
    let mut peers = Peers::new(address(0), 1, Vec::new(), PeerOptions::default());
    let share = |peers: &Peers, at| peers.cold_share(at, 7, PER_S, BOUND).slots;
    assert_eq!(share(&peers, now), 0);
    for (at, may_send) in [(0, false), (1_900, false), (2_000, true), (2_080, true)] {
        let at = now + ms(at);
        peers.next_heartbeat(at, 1, true, Vec::new());
        assert_eq!(share(&peers, at) > 0, may_send, "{:?}", at - now);
    }
}

/// Guards against crashes of many servers that turn cold at once under load, and against
/// calls that are refused though warm servers have room.
#[test]
fn many_servers_that_turn_cold_at_once_are_safe_under_load() {
    const NODES: usize = 61;
    const STEP_MS: u64 = 20;
    const SECONDS: u64 = 6;
    let now = Instant::now();
    let views = views(now, NODES);
    let mut dispatchers: Vec<Dispatcher> = (0..NODES).map(|_| cold_dispatcher(PER_S)).collect();
    let mut sends = vec![Vec::new(); 20];
    let mut in_flight = vec![VecDeque::new(); NODES];
    for step in 0..SECONDS * 1_000 / STEP_MS {
        let elapsed = ms(step * STEP_MS);
        let at = now + elapsed;
        for (node, dispatcher) in dispatchers.iter_mut().enumerate() {
            if step == 0 {
                for index in 0..60 {
                    let cold_ms = if index < 20 { 60_000 } else { 0 };
                    add(dispatcher, at, &format!("d{index:02}"), cold_ms);
                }
            }
            if step % 4 == 0 {
                let cold = dispatcher.cold_servers(at);
                let share = |key| views[node].cold_share(now, key, PER_S, BOUND);
                let shares = cold.iter().map(|s| (s.server_key, share(s.server_key)));
                dispatcher.set_cold_shares(at, &shares.collect());
            }
            if in_flight[node].len() >= 5 {
                let ended = in_flight[node].pop_front();
                dispatcher.record_success(at, ended.expect("a call is in flight"));
            }
            let placement = dispatcher
                .dispatch(at, &plain_call(), &[])
                .expect("refused");
            in_flight[node].push_back(placement.attempt);
            let index: usize = placement.instance.id.as_str()[1..]
                .parse()
                .expect("a number");
            if index < 20 {
                sends[index].push(elapsed);
            }
        }
    }
    for (index, times) in sends.iter().enumerate() {
        let most = most_per_second(times);
        assert!(most as f64 <= BOUND, "d{index}: {most} calls in a second");
        let late = times.iter().filter(|at| **at >= SECOND * 2).count() as f64;
        let used = late / (SECONDS - 2) as f64 / PER_S;
        assert!(used >= 0.7, "d{index}: {used} of the rate used");
    }
}
