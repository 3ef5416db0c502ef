//! Nodes find each other by seeds and agree on who takes part.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use briarbank_core::flow::{PeerOptions, Peers, ServerLoad};

const BEAT: Duration = Duration::from_millis(80);

fn address(index: usize) -> SocketAddrV4 {
    let [high, low] = (index as u16).to_be_bytes();
    SocketAddrV4::new(Ipv4Addr::new(10, 1, high, low), 7_000)
}

/// A fleet whose beats all arrive, but for those to or from nodes in `silent`.
struct Fleet {
    now: Instant,
    nodes: BTreeMap<SocketAddrV4, Peers>,
    silent: Vec<SocketAddrV4>,
    /// Most datagrams that a node sent in one beat.
    sent_max: usize,
}

impl Fleet {
    fn new(count: usize, seeds: &[usize]) -> Self {
        let seeds: Vec<SocketAddrV4> = seeds.iter().map(|s| address(*s)).collect();
        let node = |index| {
            let options = PeerOptions::default();
            (
                address(index),
                Peers::new(address(index), 1, seeds.clone(), options),
            )
        };
        Self {
            now: Instant::now(),
            nodes: (0..count).map(node).collect(),
            silent: Vec::new(),
            sent_max: 0,
        }
    }

    fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += BEAT;
            self.round();
        }
    }

    fn round(&mut self) {
        let addresses: Vec<SocketAddrV4> = self.nodes.keys().copied().collect();
        for sender in addresses {
            let load = ServerLoad {
                server_key: 9,
                running: 1,
                short_prompts: 0,
                pending_tokens: 100,
                tokens_per_s: 0,
            };
            let Some(node) = self.nodes.get_mut(&sender) else {
                continue;
            };
            let (beat, targets) = node.next_heartbeat(self.now, 5, true, vec![load]);
            self.sent_max = self.sent_max.max(targets.len());
            if self.silent.contains(&sender) {
                continue;
            }
            for target in targets {
                let is_cut = self.silent.contains(&target);
                if let Some(node) = self.nodes.get_mut(&target).filter(|_| !is_cut) {
                    node.receive(self.now, beat.clone());
                }
            }
        }
    }

    fn counts(&self) -> Vec<usize> {
        let heard = self.nodes.iter().filter(|(a, _)| !self.silent.contains(a));
        heard.map(|(_, n)| n.live_count(self.now)).collect()
    }
}

#[test]
fn all_find_each_other_by_one_live_seed() {
    let mut fleet = Fleet::new(8, &[3, 200, 201]);
    fleet.run(Duration::from_secs(1));
    assert_eq!(fleet.counts(), vec![8; 8]);
}

#[test]
fn lost_nodes_are_left_out_and_come_back() {
    let mut fleet = Fleet::new(8, &[0, 1, 2]);
    fleet.run(Duration::from_secs(1));
    fleet.silent = vec![address(0), address(5)];
    fleet.run(Duration::from_secs(4));
    assert_eq!(fleet.counts(), vec![6; 6]);
    fleet.silent.clear();
    fleet.run(Duration::from_secs(2));
    assert_eq!(fleet.counts(), vec![8; 8]);
}

#[test]
fn a_leaving_node_is_left_out_at_once() {
    let mut fleet = Fleet::new(4, &[0]);
    fleet.run(Duration::from_secs(1));
    fleet.nodes.get_mut(&address(2)).unwrap().leave();
    fleet.run(BEAT * 2);
    assert_eq!(fleet.nodes[&address(1)].live_count(fleet.now), 3);
}

/// Limits stay divided for a while, so that a node that is cut off does not
/// take over the parts of all others.
#[test]
fn limits_are_not_taken_over_at_once() {
    let mut fleet = Fleet::new(8, &[0]);
    fleet.run(Duration::from_secs(1));
    fleet.silent = (1..8).map(address).collect();
    fleet.run(Duration::from_secs(4));
    let alone = &fleet.nodes[&address(0)];
    assert_eq!(alone.live_count(fleet.now), 1);
    assert_eq!(alone.sharing_nodes(fleet.now), 8);
}

/// 86 nodes: traffic of a node does not grow, and its view of load holds.
#[test]
fn traffic_is_bounded_in_a_large_fleet() {
    let mut fleet = Fleet::new(86, &[0, 40, 80]);
    fleet.run(Duration::from_secs(4));
    assert_eq!(fleet.counts(), vec![86; 86]);
    assert!(fleet.sent_max <= PeerOptions::default().fan_out + 1);
    for node in fleet.nodes.values() {
        let load = node.loads(fleet.now)[&9];
        assert!((load.running - 85.0).abs() < 1.0, "{load:?}");
    }
}

/// 86 nodes: eight follow the store; while all of those are silent, others do.
#[test]
fn few_nodes_follow_the_store() {
    let mut fleet = Fleet::new(86, &[0, 40, 80]);
    fleet.run(Duration::from_secs(4));
    let watchers = |fleet: &Fleet| -> Vec<SocketAddrV4> {
        let heard = fleet
            .nodes
            .iter()
            .filter(|(a, _)| !fleet.silent.contains(a));
        heard
            .filter(|(_, n)| n.should_watch(fleet.now))
            .map(|(a, _)| *a)
            .collect()
    };
    let first = watchers(&fleet);
    assert_eq!(first.len(), PeerOptions::default().watchers);
    fleet.silent.clone_from(&first);
    fleet.run(Duration::from_secs(4));
    let second = watchers(&fleet);
    assert_eq!(second.len(), PeerOptions::default().watchers);
    assert!(second.iter().all(|a| !first.contains(a)));
}

#[test]
fn a_peer_that_is_ahead_is_found() {
    let mut fleet = Fleet::new(2, &[0]);
    fleet.run(Duration::from_secs(1));
    let now = fleet.now;
    let node = fleet.nodes.get_mut(&address(1)).unwrap();
    assert_eq!(node.peer_with_newer_revision(now, 5), None);
    assert_eq!(node.peer_with_newer_revision(now, 4), Some((address(0), 5)));
}

/// What the log tells of a call: a view that grows old, and loads that no longer count.
#[test]
fn a_view_tells_its_age() {
    let mut fleet = Fleet::new(4, &[0]);
    fleet.run(Duration::from_secs(2));
    let view = |fleet: &Fleet, age: Duration| {
        let node = fleet
            .nodes
            .get(&address(0))
            .map(|n| n.view(fleet.now + age));
        node.map(|v| (v.nodes, v.reporting_peers, v.mean_age))
    };
    assert_eq!(view(&fleet, Duration::ZERO), Some((4, 3, Duration::ZERO)));
    let later = Duration::from_millis(400);
    assert_eq!(view(&fleet, later), Some((4, 3, later)));
    let much_later = Duration::from_secs(2);
    assert_eq!(view(&fleet, much_later), Some((4, 0, Duration::ZERO)));
}
