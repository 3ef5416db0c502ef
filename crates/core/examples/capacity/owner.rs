//! Cost of request id ownership at several fleet sizes.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use briarbank_core::hosts::{Host, HostState, HostView};
use briarbank_core::ids::{HostName, Incarnation, Revision};
use briarbank_core::node::Action;
use briarbank_core::owner::{Options, Owner};
use briarbank_core::peer::{Envelope, Message};

const TICK_MS: u64 = 50;
const WARM_UP_MS: u64 = 20_000;
const WINDOW_MS: u64 = 20_000;

/// Bytes of frame, TCP and IP headers on a message that is sent on its own.
const HEADER_BYTES: u64 = 9 + 4 + 32 + 20;

fn view(hosts: usize) -> Arc<HostView> {
    let host = |i| Host {
        name: HostName::new(&format!("host-{i:03}")),
        zone: "recife".into(),
        peer_address: "127.0.0.1:1".parse().expect("valid address"),
        state: HostState::Live,
    };
    Arc::new(HostView::new(Revision(1), (0..hosts).map(host).collect()))
}

struct Fleet {
    view: Arc<HostView>,
    owners: Vec<Owner>,
    queue: VecDeque<(usize, usize, briarbank_core::owner::Message)>,
    sent_bytes: Vec<u64>,
    sent_messages: u64,
    busy_time: Duration,
}

impl Fleet {
    fn new(hosts: usize, now: Instant) -> Self {
        let view = view(hosts);
        let owner = |i: usize| {
            let name = view.hosts[i].name.clone();
            let incarnation = Incarnation(1 << 60 | i as u64);
            Owner::new(
                name,
                incarnation,
                Options::default(),
                now,
                1_700_000_000_000,
            )
        };
        Self {
            owners: (0..hosts).map(owner).collect(),
            queue: VecDeque::new(),
            sent_bytes: vec![0; hosts],
            sent_messages: 0,
            busy_time: Duration::ZERO,
            view,
        }
    }

    /// Counts and queues the messages that a node sends.
    fn execute(&mut self, from: usize, actions: Vec<Action>) {
        for action in actions {
            let Action::Send { to, message } = action else {
                continue;
            };
            let envelope = Envelope {
                from: self.view.hosts[from].name.clone(),
                address: ([127, 0, 0, 1], 1).into(),
                incarnation: Incarnation(1 << 60 | from as u64),
                message,
            };
            let config = bincode::config::standard();
            let bytes = bincode::serde::encode_to_vec(&envelope, config).expect("encodable");
            self.sent_bytes[from] += bytes.len() as u64 + HEADER_BYTES;
            self.sent_messages += 1;
            let found = self.view.hosts.binary_search_by(|h| h.name.cmp(&to));
            if let (Ok(to), Message::Owner(message)) = (found, envelope.message) {
                self.queue.push_back((from, to, message));
            }
        }
    }

    fn step(&mut self, now: Instant) {
        for index in 0..self.owners.len() {
            let mut actions = Vec::new();
            let started = Instant::now();
            self.owners[index].tick(now, &mut actions);
            self.busy_time += started.elapsed();
            self.execute(index, actions);
        }
        while let Some((from, to, message)) = self.queue.pop_front() {
            let (mut actions, name) = (Vec::new(), self.view.hosts[from].name.clone());
            let incarnation = Incarnation(1 << 60 | from as u64);
            let started = Instant::now();
            self.owners[to].message(now, &name, incarnation, message, &mut actions);
            self.busy_time += started.elapsed();
            self.execute(to, actions);
        }
    }
}

/// Prints the cost of ownership without calls.
pub(crate) fn print() {
    println!("## Ownership of request ids without calls, per node and second\n");
    println!(
        "| nodes | slots held | most on one node | messages | without headers, B | with headers, B | largest node, B | us |"
    );
    println!("|--:|--:|--:|--:|--:|--:|--:|--:|");
    for hosts in [4, 8, 16, 32, 64, 130, 390] {
        let start = Instant::now();
        let mut fleet = Fleet::new(hosts, start);
        let view = Arc::clone(&fleet.view);
        for owner in &mut fleet.owners {
            owner.adopt(start, Arc::clone(&view), &mut Vec::new());
        }
        for step in 0..(WARM_UP_MS + WINDOW_MS) / TICK_MS {
            if step == WARM_UP_MS / TICK_MS {
                fleet.sent_bytes = vec![0; hosts];
                fleet.sent_messages = 0;
                fleet.busy_time = Duration::ZERO;
            }
            fleet.step(start + Duration::from_millis(step * TICK_MS));
        }
        let now = start + Duration::from_millis(WARM_UP_MS + WINDOW_MS);
        let held = |o: &Owner| o.dump(now).held_slots;
        let held: Vec<usize> = fleet.owners.iter().map(held).collect();
        let seconds = WINDOW_MS as f64 / 1_000.0;
        let node_seconds = seconds * hosts as f64;
        let sent_bytes = fleet.sent_bytes.iter().sum::<u64>();
        let largest = fleet.sent_bytes.iter().max().copied().unwrap_or(0);
        println!(
            "| {hosts} | {} | {} | {:.1} | {:.0} | {:.0} | {:.0} | {:.0} |",
            held.iter().sum::<usize>(),
            held.iter().max().copied().unwrap_or(0),
            fleet.sent_messages as f64 / node_seconds,
            (sent_bytes - HEADER_BYTES * fleet.sent_messages) as f64 / node_seconds,
            sent_bytes as f64 / node_seconds,
            largest as f64 / seconds,
            fleet.busy_time.as_secs_f64() * 1e6 / node_seconds
        );
    }
    println!();
}
