//! Calls to a cold server of fleets whose nodes exchange heartbeats.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use briarbank_core::flow::{Dispatcher, PeerOptions, Peers};

use crate::cold_servers::{BOUND, PER_S, address, cold_dispatcher, cold_server, most_per_second};
use crate::fleet::plain_call;

/// Number of calls of each node between two heartbeats, which are 80 ms apart.
const CALLS_PER_HEARTBEAT: u32 = 4;

/// Time between two calls at each node.
const CALL_INTERVAL: Duration = Duration::from_millis(20);

struct Node {
    peers: Peers,
    dispatcher: Dispatcher,
    side: usize,
}

/// Fleet of nodes that have two of them as seeds, and want only one cold server.
struct Fleet {
    origin: Instant,
    elapsed: Duration,
    nodes: BTreeMap<SocketAddrV4, Node>,
    sends: Vec<Duration>,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let origin = Instant::now();
        let seeds = vec![address(0), address(1)];
        let node = |index| {
            let options = PeerOptions::default();
            let node = Node {
                peers: Peers::new(address(index), 1, seeds.clone(), options),
                dispatcher: cold_server(cold_dispatcher(PER_S), origin),
                side: 0,
            };
            (address(index), node)
        };
        Self {
            origin,
            elapsed: Duration::ZERO,
            nodes: (0..count).map(node).collect(),
            sends: Vec::new(),
        }
    }

    fn run(&mut self, seconds: u64) {
        let end = self.elapsed + Duration::from_secs(seconds);
        while self.elapsed < end {
            self.exchange_heartbeats();
            for _ in 0..CALLS_PER_HEARTBEAT {
                self.send_calls();
                self.elapsed += CALL_INTERVAL;
            }
        }
    }

    fn exchange_heartbeats(&mut self) {
        let now = self.origin + self.elapsed;
        let mut messages = Vec::new();
        for node in self.nodes.values_mut() {
            let (heartbeat, targets) = node.peers.next_heartbeat(now, 1, true, Vec::new());
            messages.push((node.side, heartbeat, targets));
        }
        for (side, heartbeat, targets) in messages {
            for target in targets {
                if let Some(node) = self.nodes.get_mut(&target)
                    && node.side == side
                {
                    node.peers.receive(now, heartbeat.clone());
                }
            }
        }
        for node in self.nodes.values_mut() {
            let users = node.peers.cold_users(now);
            let cold = node.dispatcher.cold_servers(now);
            let shares = cold.iter().map(|s| {
                (
                    s.server_key,
                    users.share(s.server_key, s.nominal_per_s, s.bound),
                )
            });
            node.dispatcher.set_cold_shares(now, &shares.collect());
        }
    }

    fn send_calls(&mut self) {
        let now = self.origin + self.elapsed;
        for node in self.nodes.values_mut() {
            if let Ok(placement) = node.dispatcher.dispatch(now, &plain_call(), &[]) {
                node.dispatcher.record_success(now, placement.attempt);
                self.sends.push(self.elapsed);
            }
        }
    }

    /// Divides the nodes into that many sides; others are in touch no longer.
    fn divide(&mut self, sides: usize) {
        for (index, node) in self.nodes.values_mut().enumerate() {
            node.side = index % sides;
        }
    }

    /// Returns the part of the rate that was used from then on.
    fn used_since(&self, from: Duration) -> f64 {
        let calls = self.sends.iter().filter(|at| **at >= from).count();
        calls as f64 / PER_S / self.elapsed.saturating_sub(from).as_secs_f64()
    }
}

/// Guards against views of real heartbeats that differ by more than the model of
/// [`crate::cold_fleet`] assumes: both sides of a cut, and the nodes that are left after a
/// failure, take over at once what others still use.
#[test]
fn fleets_that_gossip_keep_the_rate_of_a_cold_server() {
    for nodes in [8, 61, 195] {
        let mut fleet = Fleet::new(nodes);
        fleet.run(6);
        let used = fleet.used_since(Duration::from_secs(4));
        assert!(used >= 0.7, "{nodes} nodes: {used} of the rate used");
        fleet.divide(2);
        fleet.run(5);
        fleet.divide(1);
        fleet.run(3);
        let mut index = 0;
        fleet.nodes.retain(|_, _| {
            index += 1;
            index * 35 / 100 == (index - 1) * 35 / 100
        });
        let killed_at = fleet.elapsed;
        fleet.run(6);
        let used = fleet.used_since(killed_at + Duration::from_secs(4));
        assert!(
            used >= 0.7,
            "{nodes} nodes: {used} used by those that are left"
        );
        fleet.divide(nodes);
        let cut_at = fleet.elapsed;
        fleet.run(16);
        let used = fleet.used_since(cut_at + Duration::from_secs(4));
        assert!(
            used < 0.01,
            "{nodes} nodes: {used} used by nodes that are alone"
        );
        let most = most_per_second(&fleet.sends);
        assert!(
            most as f64 <= BOUND,
            "{nodes} nodes: {most} calls in a second"
        );
    }
}
