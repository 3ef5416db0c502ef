//! Limits that servers in need name, kept by all nodes together.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use briarbank_core::flow::{
    Dispatcher, Heartbeat, HeartbeatEntry, PeerOptions, Peers, Refusal, ServerLimits,
};

use crate::fleet::{dispatcher, plain_call, server_name};

/// Window over which the calls to a server with a limit are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Time between two calls at each node.
const CALL_INTERVAL: Duration = Duration::from_millis(50);

fn address(index: usize) -> SocketAddrV4 {
    let [high, low] = (index as u16).to_be_bytes();
    SocketAddrV4::new(Ipv4Addr::new(10, 1, high, low), 7_000)
}

/// Returns the view of each node of a fleet in which all know each other.
pub(crate) fn views(now: Instant, nodes: usize) -> Vec<Peers> {
    let entries: Vec<HeartbeatEntry> = (0..nodes)
        .map(|index| HeartbeatEntry {
            address: address(index),
            incarnation: 1,
            count: 1,
        })
        .collect();
    let view = |index| {
        let mut peers = Peers::new(address(index), 1, Vec::new(), PeerOptions::default());
        let sender = entries[(index + 1) % nodes];
        let heartbeat = Heartbeat {
            sender,
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

/// Guards against parts of nodes that exceed the limit, or leave the server unused.
#[test]
fn parts_of_a_limit_add_up_to_it() {
    let now = Instant::now();
    for nodes in [1, 8, 86, 390] {
        let views = views(now, nodes);
        for limit_per_s in [0.0, 0.3, 2.3, 50.0, 1_000.0] {
            let parts = views.iter().map(|v| v.limit_share(now, 7, limit_per_s));
            let sum: f64 = parts.sum();
            assert!(
                (sum - limit_per_s).abs() < 1e-6,
                "{nodes} nodes: {sum} of {limit_per_s}"
            );
        }
    }
}

/// Returns the times at which `nodes` nodes under load send calls to a server with a limit.
#[expect(clippy::unwrap_used, reason = "a failed setup fails the test")]
fn sends_to_limited_server(nodes: usize, limit_per_s: f64, duration: Duration) -> Vec<Duration> {
    let began_at = Instant::now();
    let views = views(began_at, nodes);
    let mut dispatchers: Vec<Dispatcher> = (0..nodes).map(|_| dispatcher(0, 2)).collect();
    let key = dispatchers[0].server_key(&server_name("d0")).unwrap();
    let mut sends = Vec::new();
    let mut elapsed = Duration::ZERO;
    while elapsed < duration {
        let now = began_at + elapsed;
        for (dispatcher, view) in dispatchers.iter_mut().zip(&views) {
            let part = view.limit_share(began_at, key, limit_per_s);
            dispatcher.set_limits(now, &[(key, part)]);
            let placement = dispatcher.dispatch(now, &plain_call(), &[]).unwrap();
            dispatcher.record_success(now, placement.attempt);
            if placement.instance.id == server_name("d0") {
                sends.push(elapsed);
            }
        }
        elapsed += CALL_INTERVAL;
    }
    sends
}

/// Guards against a limit that holds on average only: the unused parts of many nodes were
/// spent at once.
#[test]
fn a_server_gets_no_more_than_its_limit_from_any_number_of_nodes() {
    for (nodes, limit_per_s) in [(8, 2.3), (86, 1.7), (86, 20.0), (5, 0.4)] {
        let duration = Duration::from_secs(20);
        let sends = sends_to_limited_server(nodes, limit_per_s, duration);
        let in_window = |start: &Duration| {
            let end = *start + WINDOW;
            sends.iter().filter(|at| *at >= start && **at < end).count()
        };
        let most = sends.iter().map(in_window).max().unwrap_or(0);
        let allowed = 1.5 * limit_per_s * WINDOW.as_secs_f64() + 5.0;
        assert!(
            most as f64 <= allowed,
            "{nodes} nodes, limit {limit_per_s}: {most} in {WINDOW:?}"
        );
        let used = sends.len() as f64 / (limit_per_s * duration.as_secs_f64());
        assert!(used > 0.7, "{nodes} nodes, limit {limit_per_s}: {used}");
    }
}

#[test]
fn a_call_waits_for_its_turn_at_the_only_server() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(0, 1);
    let key = dispatcher.server_key(&server_name("d0")).unwrap();
    dispatcher.set_limits(now, &[(key, 2.0)]);
    let refusal = dispatcher.dispatch(now, &plain_call(), &[]).unwrap_err();
    let Refusal::Busy { wait, .. } = refusal else {
        panic!("{refusal:?}");
    };
    assert_eq!(wait, Duration::from_millis(500));
    let later = now + wait;
    assert!(dispatcher.dispatch(later, &plain_call(), &[]).is_ok());
    assert!(dispatcher.dispatch(later, &plain_call(), &[]).is_err());
}

/// The newest statement of a server counts, whichever way it arrives.
#[test]
fn newer_statements_replace_older_ones_and_expire() {
    let now = Instant::now();
    let (mut told, mut peer) = (ServerLimits::default(), ServerLimits::default());
    assert!(told.record(now, 7, Some(2.0)));
    assert!(peer.receive(now, &told.statements(now)));
    assert_eq!(peer.rate_per_s(now, 7), Some(2.0));
    let later = now + Duration::from_secs(1);
    let outdated = told.statements(later);
    assert!(told.record(later, 7, None));
    assert!(peer.receive(later, &told.statements(later)));
    assert!(!peer.receive(later, &outdated));
    assert_eq!(peer.rate_per_s(later, 7), None);
    // A low limit is repeated rarely, so it is kept for longer.
    assert!(told.record(later, 8, Some(0.1)));
    assert!(told.record(later, 9, Some(2.0)));
    let much_later = later + Duration::from_secs(20);
    assert_eq!(told.rate_per_s(much_later, 8), Some(0.1));
    assert_eq!(told.rate_per_s(much_later, 9), None);
}
