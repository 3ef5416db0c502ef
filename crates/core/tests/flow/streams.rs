//! Versions of streams: records, their holders, and what a node may conclude alone.

use std::collections::HashSet;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use briarbank_core::flow::{
    Dispatcher, Heartbeat, HeartbeatEntry, Instance, Options, PeerOptions, Peers, Route, RouteKind,
    ServedStreams, Split, StreamDirectory, StreamKey, StreamMessage, StreamStart, ValueKind,
    VersionEvidence, VersionKey, VersionProof,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::fleet::{MODELS, instance};

fn of_version(id: &str, version: &str) -> Instance {
    Instance {
        version: version.into(),
        ..instance(id, MODELS, 8)
    }
}

fn version(name: &str) -> VersionKey {
    of_version("m", name).version_key()
}

fn stream(index: u64) -> StreamKey {
    StreamKey::new(None, &format!("call-{index}"))
}

fn address(node: usize) -> SocketAddrV4 {
    SocketAddrV4::new([10, 1, (node >> 8) as u8, node as u8].into(), 7200)
}

#[test]
fn versions_of_two_services_or_processes_without_one_differ() {
    let other_service = Instance {
        version: "v1".into(),
        ..instance("m", "other", 8)
    };
    assert_ne!(version("v1"), version("v2"));
    assert_ne!(version("v1"), other_service.version_key());
    assert_eq!(version("v1"), of_version("n", "v1").version_key());
    let (one, two) = (of_version("m", ""), of_version("n", ""));
    assert_ne!(one.version_key(), two.version_key());
    let restarted = Instance {
        born_ms: one.born_ms + 1,
        ..one.clone()
    };
    assert_ne!(one.version_key(), restarted.version_key());
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(27),
        ..ProptestConfig::with_cases(10_000)
    })]

    /// A record is found until it expires, keeps its first version, and none is invented.
    #[test]
    fn records_keep_the_first_version_until_they_expire(
        steps in prop::collection::vec((0..6_u64, any::<bool>(), 0..2_000_u64, 0..700_u64), 1..40)
    ) {
        let mut now = Instant::now();
        let mut directory = StreamDirectory::default();
        let mut model: Vec<Option<(VersionKey, Instant)>> = vec![None; 6];
        for (index, is_first, lifetime_ms, pause_ms) in steps {
            let name = if is_first { "v1" } else { "v2" };
            let lifetime = Duration::from_millis(lifetime_ms);
            directory.record(now, stream(index), version(name), lifetime);
            let known = model[index as usize].filter(|(_, until)| now < *until);
            let entry = known.unwrap_or((version(name), now));
            model[index as usize] = Some((entry.0, entry.1.max(now + lifetime)));
            now += Duration::from_millis(pause_ms);
            for (index, known) in model.iter().enumerate() {
                let expected = known.filter(|(_, until)| now < *until).map(|(v, _)| v);
                prop_assert_eq!(directory.version(now, stream(index as u64)), expected);
            }
        }
        directory.expire(now + Duration::from_secs(10));
        prop_assert_eq!(directory.stream_count(), 0);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(47),
        ..ProptestConfig::with_cases(10_000)
    })]

    /// Guards against a proof with a gap: each moment of the time is in the span of some node.
    #[test]
    fn spans_prove_a_time_that_they_cover_without_a_gap(
        spans in prop::collection::vec((0..40_u64, 0..40_u64), 0..6),
        time in 1..40_u64,
    ) {
        let mut proof = VersionProof::default();
        for (complete, age) in &spans {
            let (complete, age) = (Duration::from_secs(*complete), Duration::from_secs(*age));
            let evidence = VersionEvidence::new(vec![version("v1")], complete, Some(age));
            proof.add(&evidence, Duration::ZERO);
        }
        let is_seen = |second: u64| spans.iter().any(|(start, end)| *end <= second && second < *start);
        prop_assert_eq!(proof.covers(Duration::from_secs(time)), (0..time).all(is_seen));
    }
}

/// Guards against growth without a bound when callers begin streams faster than they end.
#[test]
fn a_flood_of_streams_replaces_those_that_expire_first() {
    const STREAMS_MAX: usize = 16_384;
    let now = Instant::now();
    let mut directory = StreamDirectory::default();
    let day = Duration::from_hours(24);
    for index in 0..50_000 {
        let later = now + Duration::from_millis(index);
        directory.record(later, stream(index), version("v1"), day);
    }
    assert_eq!(directory.stream_count(), STREAMS_MAX);
    let end = now + Duration::from_secs(50);
    assert_eq!(directory.version(end, stream(0)), None);
    assert_eq!(directory.version(end, stream(49_999)), Some(version("v1")));
    directory.expire(end + Duration::from_mins(3));
    assert_eq!(directory.stream_count(), 0);
}

fn heartbeat(sender: HeartbeatEntry, revision: u64) -> Heartbeat {
    Heartbeat {
        sender,
        is_leaving: false,
        is_watching: false,
        revision,
        loads: Vec::new(),
        entries: Vec::new(),
    }
}

/// Builds the view of a node that has just heard of all others.
fn peers(local: usize, nodes: usize, now: Instant) -> Peers {
    let mut peers = Peers::new(address(local), 1, Vec::new(), PeerOptions::default());
    for node in 0..nodes {
        let sender = HeartbeatEntry {
            address: address(node),
            incarnation: 1,
            count: 1,
        };
        peers.receive(now, heartbeat(sender, 0));
    }
    peers
}

/// Guards against asking nodes that hold no record: whoever asks finds a holder that is left.
#[test]
fn holders_are_found_by_any_node_while_some_are_killed() {
    for nodes in [8, 86, 195] {
        let now = Instant::now();
        let first = peers(0, nodes, now);
        let taker = peers(1, nodes, now);
        let mut found = 0;
        for index in 0..1_000 {
            let holders = first.stream_holders(now, stream(index), 3);
            assert_eq!(holders.len(), 3);
            assert!(!holders.contains(&address(0)));
            let asked: HashSet<_> = taker
                .stream_holders(now, stream(index), 8)
                .into_iter()
                .chain([address(1)])
                .collect();
            // The first node and half of the others are killed.
            let is_alive = |holder: &&SocketAddrV4| holder.ip().octets()[3] % 2 == 1;
            let alive = holders.iter().filter(is_alive);
            let known = alive.filter(|holder| asked.contains(holder)).count();
            found += usize::from(known > 0);
        }
        assert!(found > 800, "{found} of 1,000 at {nodes} nodes");
    }
}

/// Builds a node's view of servers of one version.
fn one_version(now: Instant) -> Dispatcher {
    let mut dispatcher = Dispatcher::new("zone".into(), Options::default());
    dispatcher.add_server(now, of_version("a", "v1"));
    dispatcher.add_server(now, of_version("b", "v1"));
    dispatcher
}

/// Begins streams at the node of a view; returns what it keeps of them.
fn begin_streams(now: Instant, peers: &Peers, count: u64) -> (StreamDirectory, ServedStreams) {
    let (mut directory, mut served) = (StreamDirectory::default(), ServedStreams::default());
    for index in 0..count {
        directory.record(now, stream(index), version("v1"), Duration::from_secs(15));
        let record = directory
            .record_of(now, stream(index))
            .expect("it was just recorded");
        let start = StreamStart {
            record,
            service: Some(MODELS.into()),
            age_max: Duration::from_secs(30),
        };
        served.begin(now, start, peers, &one_version(now));
    }
    (directory, served)
}

/// Tells the view of a node that another one has started again.
fn restart(peers: &mut Peers, now: Instant, node: usize) {
    let sender = HeartbeatEntry {
        address: address(node),
        incarnation: 2,
        count: 1,
    };
    peers.receive(now, heartbeat(sender, 0));
}

/// Guards against holders that know nothing after a restart, and against telling all others
/// again whenever one node of a large fleet restarts.
#[test]
fn a_node_that_restarts_is_told_of_the_streams_that_it_is_to_hold() {
    const STREAMS: u64 = 200;
    for (nodes, expected) in [(3, 200..=200), (8, 200..=200), (390, 0..=8)] {
        let now = Instant::now();
        let mut peers = peers(0, nodes, now);
        let (directory, mut served) = begin_streams(now, &peers, STREAMS);
        assert!(
            served
                .untold(now, &directory, &peers, usize::MAX)
                .is_empty()
        );
        restart(&mut peers, now, 1);
        let messages = served.untold(now, &directory, &peers, usize::MAX);
        assert!(
            expected.contains(&messages.len()),
            "{nodes}: {}",
            messages.len()
        );
        assert!(messages.iter().all(|(node, _)| *node == address(1)));
        assert!(
            served
                .untold(now, &directory, &peers, usize::MAX)
                .is_empty()
        );
    }
}

/// Guards against a burst of datagrams that overflows the buffer of a node that starts, and
/// against streams that are left out since they are told in several steps.
#[test]
fn many_streams_are_told_in_steps() {
    let now = Instant::now();
    let mut peers = peers(0, 3, now);
    let (directory, mut served) = begin_streams(now, &peers, 100);
    restart(&mut peers, now, 1);
    let mut told = HashSet::new();
    for _ in 0..20 {
        let messages = served.untold(now, &directory, &peers, 32);
        assert!(messages.len() <= 32 + peers.live_count(now));
        for (_, message) in messages {
            let StreamMessage::Record(record) = message else {
                panic!("{message:?}");
            };
            told.insert(record.stream);
        }
    }
    assert_eq!(told.len(), 100);
}

/// Guards against a node that was cut off and lacks what others were told meanwhile, and
/// against telling of streams that have ended.
#[test]
fn a_node_that_failed_and_is_back_is_told_of_streams_under_way() {
    let now = Instant::now();
    let mut peers = peers(0, 3, now);
    let (directory, mut served) = begin_streams(now, &peers, 10);
    let later = now + Duration::from_secs(5);
    for node in [1, 2] {
        // The node has seen at a heartbeat that the other one has failed.
        let before = served.untold(later, &directory, &peers, usize::MAX);
        assert!(before.is_empty(), "{before:?}");
        let sender = HeartbeatEntry {
            address: address(node),
            incarnation: 1,
            count: 100,
        };
        peers.receive(later, heartbeat(sender, 0));
        served.end(stream(node as u64));
        let messages = served.untold(later, &directory, &peers, usize::MAX);
        assert_eq!(messages.len(), 10 - node);
        assert!(messages.iter().all(|(to, _)| *to == address(node)));
    }
    served.expire(now + Duration::from_secs(20), &directory);
    assert_eq!(served.stream_count(), 0);
}

/// Guards against a proof for longer than versions of servers that are gone are kept.
#[test]
fn a_version_that_is_forgotten_leaves_no_other_one_as_the_only_one() {
    const LONG: Duration = Duration::from_mins(20);
    let mut dispatcher = Dispatcher::new("zone".into(), Options::default());
    dispatcher.record_first_start();
    let now = Instant::now();
    dispatcher.add_server(now, of_version("old", "v1"));
    dispatcher.remove_server(now, &"old".into(), None);
    dispatcher.add_server(now, of_version("new", "v2"));
    let later = now + Duration::from_mins(10);
    dispatcher.add_server(later, of_version("other", "v2"));
    dispatcher.remove_server(later, &"other".into(), None);
    let sole = dispatcher.sole_version(later, &MODELS.into(), LONG);
    assert_eq!(sole, None);
    let sole = dispatcher.sole_version(later, &MODELS.into(), Duration::from_mins(4));
    assert_eq!(sole, Some(version("v2")));
}

fn route(services: &[&str]) -> Route {
    Route {
        name: "chat".into(),
        host: "host".into(),
        prefix: "/".into(),
        kind: RouteKind::Stream { resumable: true },
        timeout_ms: 1_000,
        target_ms: 100,
        gap_ms: None,
        tier: 0,
        splits: services
            .iter()
            .map(|service| Split {
                service: (*service).into(),
                weight: 1,
            })
            .collect(),
        attempts_max: 2,
        is_public: true,
        allowed_regions: None,
    }
}

/// Guards against concluding from too little that all streams began at one version.
#[test]
fn one_version_counts_as_the_only_one_after_a_complete_view() {
    const TIME: Duration = Duration::from_secs(2);
    let start = Instant::now();
    let after = |ms: u64| start + Duration::from_millis(ms);
    let service = MODELS.into();
    let mut dispatcher = Dispatcher::new("recife".into(), Options::default());
    dispatcher.add_server(start, of_version("a", "v1"));
    dispatcher.add_server(start, of_version("b", "v1"));
    let sole = |dispatcher: &Dispatcher, ms| dispatcher.sole_version(after(ms), &service, TIME);
    assert_eq!(sole(&dispatcher, 1_900), None, "not seen for long enough");
    assert_eq!(sole(&dispatcher, 2_100), Some(version("v1")));
    dispatcher.add_server(after(3_000), of_version("c", "v2"));
    assert_eq!(sole(&dispatcher, 3_100), None, "two versions serve");
    dispatcher.remove_server(after(4_000), &"c".into(), None);
    assert_eq!(sole(&dispatcher, 5_900), None, "the other one left lately");
    assert_eq!(sole(&dispatcher, 6_100), Some(version("v1")));
    dispatcher.record_missed_changes(after(7_000));
    assert_eq!(
        sole(&dispatcher, 8_900),
        None,
        "changes may have been missed"
    );
    assert_eq!(sole(&dispatcher, 9_100), Some(version("v1")));
    dispatcher.add_server(after(9_200), of_version("a", "v2"));
    dispatcher.add_server(after(9_200), of_version("b", "v2"));
    assert_eq!(sole(&dispatcher, 9_300), None, "both changed their version");
    assert_eq!(sole(&dispatcher, 11_300), Some(version("v2")));
    let mut dispatcher = Dispatcher::new("recife".into(), Options::default());
    dispatcher.record_first_start();
    dispatcher.add_server(start, of_version("a", "v1"));
    assert_eq!(
        sole(&dispatcher, 100),
        Some(version("v1")),
        "nothing ran before"
    );
}

/// Guards against sending the rest of a stream to another service of its route.
#[test]
fn the_service_of_a_stream_is_found_among_those_of_its_route() {
    let now = Instant::now();
    let mut dispatcher = Dispatcher::new("recife".into(), Options::default());
    let other = Instance {
        version: "v1".into(),
        ..instance("o", "other", 8)
    };
    dispatcher.add_server(now, of_version("a", "v1"));
    dispatcher.add_server(now, other.clone());
    let find = |services: &[&str], v| dispatcher.service_of_version(&route(services), v);
    let both = [MODELS, "other"];
    assert_eq!(find(&both, other.version_key()), Some("other".into()));
    assert_eq!(find(&both, version("v1")), Some(MODELS.into()));
    assert_eq!(find(&both, version("v9")), None);
    assert_eq!(find(&[MODELS], other.version_key()), None);
}

/// Guards against a start with the values of a node that was cut off: servers that left
/// since and keys that were withdrawn would be in use again.
#[test]
fn a_node_without_values_asks_a_peer_with_the_newest() {
    let now = Instant::now();
    let mut local = peers(0, 20, now);
    for node in 1..20 {
        let sender = HeartbeatEntry {
            address: address(node),
            incarnation: 1,
            count: 2,
        };
        let revision = if node < 18 { 100 } else { 900 };
        local.receive(now, heartbeat(sender, revision));
    }
    for _ in 0..100 {
        let source = local.newer_source(now, ValueKind::Document, 0).unwrap();
        assert_eq!(source.revision, 900);
    }
    // A node with values may catch up with any of them.
    let asked = (0..100).filter_map(|_| local.newer_source(now, ValueKind::Document, 50));
    assert!(asked.into_iter().any(|source| source.revision == 100));
}
