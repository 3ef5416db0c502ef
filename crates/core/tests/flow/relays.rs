//! Through which node a server is reached to which a node's own path is broken.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use briarbank_core::flow::{
    Heartbeat, HeartbeatEntry, PathStatement, PeerOptions, Peers, ServerPaths,
};
use briarbank_core::ids::ServerName;

fn address(index: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, index), 7_200)
}

/// Returns a node that has just heard of peers with these statements, the first is 1.
fn node(now: Instant, statements: &[Option<PathStatement>]) -> Peers {
    let mut peers = Peers::new(address(0), 1, Vec::new(), PeerOptions::default());
    for (index, statement) in (1..).zip(statements) {
        let sender = HeartbeatEntry {
            address: address(index),
            incarnation: 1,
            count: 1,
        };
        let heartbeat = Heartbeat {
            sender,
            is_leaving: false,
            is_watching: true,
            revision: 1,
            loads: Vec::new(),
            entries: Vec::new(),
        };
        peers.receive(now, heartbeat);
        if let Some(statement) = statement {
            peers.receive_paths(sender, statement.clone());
        }
    }
    peers
}

/// Returns the statement of a node that does not reach these servers.
fn unreached(now: Instant, servers: &[&str]) -> PathStatement {
    let mut paths = ServerPaths::default();
    for server in servers {
        paths.record_failure(now, &(*server).into());
    }
    paths.statement()
}

/// Returns how often each peer is chosen.
fn chosen(peers: &mut Peers, now: Instant, server: &str) -> BTreeMap<u8, usize> {
    let server: ServerName = server.into();
    let mut chosen = BTreeMap::new();
    for _ in 0..300 {
        if let Some(relay) = peers.choose_relay(now, &server, &[]) {
            *chosen.entry(relay.ip().octets()[3]).or_default() += 1;
        }
    }
    chosen
}

/// Guards against calls that are sent through nodes that are cut off as well.
#[test]
fn a_node_that_does_not_reach_the_server_is_not_asked() {
    let now = Instant::now();
    let statements = [unreached(now, &["a"]), unreached(now, &["b", "c"])].map(Some);
    let mut peers = node(now, &statements);
    assert_eq!(chosen(&mut peers, now, "a"), [(2, 300)].into());
    assert_eq!(chosen(&mut peers, now, "b"), [(1, 300)].into());
    assert_eq!(chosen(&mut peers, now, "d"), [(1, 300)].into());
}

/// Guards against one node that carries the calls of all that are cut off.
#[test]
fn connections_spread_over_all_nodes_that_can_relay() {
    let now = Instant::now();
    let statements = vec![Some(unreached(now, &[])); 5];
    let mut peers = node(now, &statements);
    let chosen = chosen(&mut peers, now, "a");
    assert_eq!(chosen.len(), 5);
    assert!(chosen.values().all(|count| *count < 100), "{chosen:?}");
}

/// Guards against requests to relay that nodes of earlier builds do not know, and to nodes
/// that have just failed, fallen silent or were tried for the same connection.
#[test]
fn nodes_that_can_not_relay_now_are_not_asked() {
    let now = Instant::now();
    let mut peers = node(
        now,
        &[None, Some(unreached(now, &[])), Some(unreached(now, &[]))],
    );
    let server: ServerName = "a".into();
    peers.record_relay_failure(now, address(2));
    assert_eq!(chosen(&mut peers, now, "a"), [(3, 300)].into());
    assert_eq!(peers.choose_relay(now, &server, &[address(3)]), None);
    let later = now + Duration::from_secs(1);
    assert_eq!(peers.choose_relay(later, &server, &[]), None);
}

/// Guards against heartbeats that grow with the number of servers.
#[test]
fn a_statement_names_a_bounded_number_of_servers() {
    let now = Instant::now();
    let mut paths = ServerPaths::default();
    for index in 0..3_300 {
        paths.record_failure(now, &format!("s-{index}").as_str().into());
    }
    let statement = paths.statement();
    assert_eq!(statement.unreached, 3_300);
    assert_eq!(statement.server_keys.len(), 32);
}

/// Guards against a node that goes on using others when its path works again, and against
/// one that tries a broken path for each call.
#[test]
fn a_broken_path_is_tried_now_and_then_until_it_works() {
    let start = Instant::now();
    let server: ServerName = "a".into();
    let mut paths = ServerPaths::default();
    paths.record_failure(start, &server);
    assert!(paths.should_try_directly(start, &server));
    assert!(paths.record_relayed(start, &server));
    let times = (0..40).map(|tick| start + Duration::from_millis(100) * tick);
    let tries = times.filter(|now| paths.should_try_directly(*now, &server));
    assert_eq!(tries.count(), 7);
    assert!(paths.record_direct(&server));
    assert!(!paths.is_broken(&server));
    assert!(paths.should_try_directly(start, &server));
}
