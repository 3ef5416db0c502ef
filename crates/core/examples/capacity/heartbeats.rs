//! Cost of the heartbeats by which nodes share the load that they put on servers.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use briarbank_core::flow::{PeerOptions, Peers, ServerLoad};

/// Time between two heartbeats, as in the daemon.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(80);

/// IP and UDP headers of a datagram.
const HEADER_BYTES: usize = 28;

/// Numbers of warm-up rounds, until all nodes know each other, and of measured rounds.
const ROUNDS: (usize, usize) = (60, 25);

fn address(index: usize) -> SocketAddrV4 {
    let [high, low] = (index as u16).to_be_bytes();
    SocketAddrV4::new(Ipv4Addr::new(10, 1, high, low), 7_000)
}

fn loads(servers: usize) -> Vec<ServerLoad> {
    let load = |index| ServerLoad {
        server_key: (index as u32).wrapping_mul(0x9e37_79b9),
        running: 2,
        short_prompts: 1,
        pending_tokens: 3_000,
        tokens_per_s: 20_000,
    };
    (0..servers).map(load).collect()
}

/// Prints messages, bytes and processor time of an average node.
pub(crate) fn print() {
    println!("\n## Heartbeats\n");
    println!(
        "| nodes | servers with load per node | messages/s | B per message | B/s with headers | us/s |"
    );
    println!("|--:|--:|--:|--:|--:|--:|");
    for (nodes, servers) in [(8, 15), (86, 20), (390, 70)] {
        measure(nodes, servers);
    }
}

fn measure(nodes: usize, servers: usize) {
    let mut now = Instant::now();
    let seeds: Vec<SocketAddrV4> = [0, nodes / 2, nodes - 1].into_iter().map(address).collect();
    let peer = |index| {
        let options = PeerOptions::default();
        (
            address(index),
            Peers::new(address(index), 1, seeds.clone(), options),
        )
    };
    let mut fleet: BTreeMap<SocketAddrV4, Peers> = (0..nodes).map(peer).collect();
    let (mut messages, mut bytes, mut spent) = (0, 0, Duration::ZERO);
    for round in 0..ROUNDS.0 + ROUNDS.1 {
        now += HEARTBEAT_INTERVAL;
        let started = Instant::now();
        let addresses: Vec<SocketAddrV4> = fleet.keys().copied().collect();
        for sender in addresses {
            let Some(node) = fleet.get_mut(&sender) else {
                continue;
            };
            let (heartbeat, targets) = node.next_heartbeat(now, 5, true, loads(servers));
            let encoded = bincode::serde::encode_to_vec(&heartbeat, bincode::config::standard());
            let length = encoded.map_or(0, |bytes| bytes.len()) + HEADER_BYTES;
            if round >= ROUNDS.0 {
                messages += targets.len();
                bytes += targets.len() * length;
            }
            for target in targets {
                if let Some(node) = fleet.get_mut(&target) {
                    node.receive(now, heartbeat.clone());
                }
            }
        }
        for node in fleet.values_mut() {
            std::hint::black_box(node.loads(now));
        }
        if round >= ROUNDS.0 {
            spent += started.elapsed();
        }
    }
    let node_seconds = nodes as f64 * ROUNDS.1 as f64 * HEARTBEAT_INTERVAL.as_secs_f64();
    println!(
        "| {nodes} | {servers} | {:.0} | {} | {:.0} | {:.0} |",
        messages as f64 / node_seconds,
        bytes / messages.max(1),
        bytes as f64 / node_seconds,
        spent.as_secs_f64() * 1e6 / node_seconds,
    );
}
