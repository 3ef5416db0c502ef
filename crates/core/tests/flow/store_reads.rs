//! Whole fleets that read a store: how old their values get when sources fall silent.
//!
//! Choices are those of the library; the store, its connections and transfers between
//! nodes are modelled, without a network.

use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use briarbank_core::flow::{
    Change, Delta, NextRead, PeerOptions, Peers, Removal, Staleness, StoreReads, ValueKind, Values,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const TICK: Duration = Duration::from_millis(10);
const HEARTBEAT_TICKS: u32 = 8;
const LOST_RATIO: f64 = 0.03;

/// Time of an answer on the way, and of a transfer between nodes.
const ANSWER_TIME: Duration = Duration::from_millis(20);
const TRANSFER_TIME: Duration = Duration::from_millis(50);

/// Time after which a transfer that hangs fails.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(1_250);

/// Heartbeats with a newer peer before a node that watches the store fetches.
const WATCHER_WAIT_HEARTBEATS: u32 = 4;

const SECOND: Duration = Duration::from_secs(1);

/// What else goes wrong when connections to the store fall silent.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    Nothing,
    /// Half of the transfers between nodes hang until they time out.
    HangingTransfers,
    /// A third of the nodes reach the store but no other node.
    NodesCutOff,
    /// A third of the nodes end and start again, without values.
    NodesRestart,
    /// The nodes that have the store confirm their values end.
    ConfirmingNodesEnd,
}

const TROUBLES: [Trouble; 5] = [
    Trouble::Nothing,
    Trouble::HangingTransfers,
    Trouble::NodesCutOff,
    Trouble::NodesRestart,
    Trouble::ConfirmingNodesEnd,
];

fn kind_of(key: &str) -> ValueKind {
    match key {
        "config" => ValueKind::Document,
        _ => ValueKind::Entry,
    }
}

fn address(index: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from_bits(0x0a00_0001 + index as u32), 7200)
}

fn index_of(address: SocketAddrV4) -> usize {
    (address.ip().to_bits() - 0x0a00_0001) as usize
}

/// A request that the store has not answered.
struct Read {
    sent_at: Instant,
    /// `None` for a read of all values.
    wait: Option<Duration>,
    is_silent: bool,
}

struct Transfer {
    source: usize,
    ends_at: Instant,
    is_hanging: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Connection {
    Sound,
    Silent,
}

struct Node {
    peers: Peers,
    values: Values,
    staleness: Staleness,
    reads: StoreReads,
    has_read_all: bool,
    read: Option<Read>,
    connection: Connection,
    idle_until: Option<Instant>,
    transfers: [Option<Transfer>; 2],
    newer_heartbeats: [u32; 2],
    is_cut_off: bool,
    is_running: bool,
}

impl Node {
    fn start(index: usize, incarnation: u64, count: usize) -> Self {
        let seeds = (0..count.min(3)).map(address).collect();
        let options = PeerOptions::default();
        Self {
            peers: Peers::new(address(index), incarnation, seeds, options),
            values: Values::default(),
            staleness: Staleness::default(),
            reads: StoreReads::default(),
            has_read_all: false,
            read: None,
            connection: Connection::Sound,
            idle_until: None,
            transfers: [None, None],
            newer_heartbeats: [0; 2],
            is_cut_off: false,
            is_running: true,
        }
    }
}

struct Fleet {
    now: Instant,
    tick: u32,
    nodes: Vec<Node>,
    /// Changes in the order of their revisions, which begin with 1.
    history: Vec<(Instant, &'static str, bool)>,
    calls: VecDeque<Instant>,
    rng: SmallRng,
    hangs_transfers: bool,
}

impl Fleet {
    /// Starts a fleet that has followed the store for a while.
    fn start(count: usize, seed: u64) -> Self {
        let now = Instant::now();
        let mut fleet = Self {
            now,
            tick: 0,
            nodes: (0..count).map(|i| Node::start(i, 1, count)).collect(),
            history: Vec::new(),
            calls: VecDeque::new(),
            rng: SmallRng::seed_from_u64(seed),
            hangs_transfers: false,
        };
        for key in ["config", "server:a", "server:b"] {
            fleet.publish(key, true);
        }
        let further = TICK * fleet.rng.random_range(0..100);
        fleet.run(12 * SECOND + further);
        fleet
    }

    fn publish(&mut self, key: &'static str, is_write: bool) {
        self.history.push((self.now, key, is_write));
    }

    fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += TICK;
            self.tick += 1;
            for index in 0..self.nodes.len() {
                if self.nodes[index].is_running {
                    self.step(index);
                }
            }
        }
    }

    fn step(&mut self, index: usize) {
        self.follow_store(index);
        self.end_transfers(index);
        if self.is_heartbeat_due(index) {
            self.send_heartbeat(index);
            for kind in ValueKind::ALL {
                self.catch_up(index, kind);
            }
        }
    }

    /// Heartbeats of the nodes are spread over the interval.
    fn is_heartbeat_due(&self, index: usize) -> bool {
        (self.tick + index as u32).is_multiple_of(HEARTBEAT_TICKS)
    }

    /// Reads the store as the gateway does.
    fn follow_store(&mut self, index: usize) {
        let (now, history) = (self.now, &self.history);
        let node = &mut self.nodes[index];
        let Some(read) = &node.read else {
            if node.idle_until.is_some_and(|until| now < until) {
                return;
            }
            let next = node.reads.next(now, &node.peers, &node.staleness);
            let wait = match next {
                _ if !node.has_read_all || node.reads.should_read_all() => None,
                NextRead::Watch(wait) => Some(wait),
                NextRead::Idle(until) => {
                    node.idle_until = Some(until.min(now + SECOND / 2));
                    return;
                }
            };
            node.idle_until = None;
            let (sent_at, is_silent) = (now, node.connection == Connection::Silent);
            node.read = Some(Read {
                sent_at,
                wait,
                is_silent,
            });
            self.calls.push_back(now);
            return;
        };
        let wait = read.wait.unwrap_or_default();
        let revision = history.len() as u64;
        let is_newer = read.wait.is_none() || revision > node.values.revision();
        let is_due = now >= read.sent_at + ANSWER_TIME && is_newer
            || now >= read.sent_at + wait + ANSWER_TIME;
        if is_due && !read.is_silent {
            let waited = if is_newer { Duration::ZERO } else { wait };
            let since = read.wait.map(|_| node.values.revision());
            node.values.apply(&changes(history, since), kind_of);
            node.staleness.record_complete(read.sent_at + waited);
            node.reads.record_answer();
            node.has_read_all = true;
            node.read = None;
            return;
        }
        if !self.is_heartbeat_due(index) {
            return;
        }
        let node = &mut self.nodes[index];
        let Some(read) = &node.read else { return };
        let give_up_at = node
            .reads
            .give_up_at(now, read.sent_at, &node.peers, &node.staleness);
        if now >= give_up_at {
            node.reads.record_silence();
            node.read = None;
            node.connection = Connection::Sound;
        }
    }

    fn send_heartbeat(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        let is_watching = node.peers.should_watch(now);
        let revision = node.values.revision();
        let (heartbeat, targets) =
            node.peers
                .next_heartbeat(now, revision, is_watching, Vec::new());
        let statement = node.values.statement(200);
        let stated = node.staleness.statement(now);
        if node.is_cut_off {
            return;
        }
        for target in targets {
            let node = &mut self.nodes[index_of(target)];
            if !node.is_running || node.is_cut_off || self.rng.random_bool(LOST_RATIO) {
                continue;
            }
            node.peers.receive(now, heartbeat.clone());
            node.peers.receive_values(heartbeat.sender, statement);
            node.peers.record_stated_age(heartbeat.sender);
            node.values.advance(heartbeat.revision, &statement);
            let has_all = node.values.has_all_of(&statement);
            node.staleness.receive(now, &stated, has_all);
        }
    }

    fn catch_up(&mut self, index: usize, kind: ValueKind) {
        let now = self.now;
        let node = &mut self.nodes[index];
        let revision = node.values.mirror(kind).revision();
        let slot = kind as usize;
        let Some(source) = node.peers.newer_source(now, kind, revision) else {
            node.newer_heartbeats[slot] = 0;
            return;
        };
        node.newer_heartbeats[slot] += 1;
        let is_late = node.newer_heartbeats[slot] >= WATCHER_WAIT_HEARTBEATS;
        let may_fetch = is_late || revision == 0 || !node.peers.should_watch(now);
        if !may_fetch || node.transfers[slot].is_some() {
            return;
        }
        let source = index_of(source.address);
        let is_hanging = !self.nodes[source].is_running
            || self.nodes[source].is_cut_off
            || self.nodes[index].is_cut_off
            || self.hangs_transfers && self.rng.random_bool(0.5);
        let time = if is_hanging {
            TRANSFER_TIMEOUT
        } else {
            TRANSFER_TIME
        };
        self.nodes[index].transfers[slot] = Some(Transfer {
            source,
            ends_at: now + time,
            is_hanging,
        });
    }

    fn end_transfers(&mut self, index: usize) {
        let now = self.now;
        for kind in ValueKind::ALL {
            let slot = &mut self.nodes[index].transfers[kind as usize];
            let Some(transfer) = slot.take_if(|t| now >= t.ends_at) else {
                continue;
            };
            let source = transfer.source;
            if transfer.is_hanging {
                let peers = &mut self.nodes[index].peers;
                peers.record_fetch_failure(now, address(source), false);
                continue;
            }
            let since = self.nodes[index].values.mirror(kind).revision();
            let delta = self.nodes[source].values.changes_since(kind, since);
            self.nodes[index].values.apply_kind(kind, &delta);
        }
    }

    /// Makes connections to the store fall silent, and what else goes wrong beside that.
    fn disturb(&mut self, silent_ratio: f64, trouble: Trouble) {
        self.hangs_transfers = trouble == Trouble::HangingTransfers;
        let (now, count) = (self.now, self.nodes.len());
        for (index, node) in self.nodes.iter_mut().enumerate() {
            let is_silent = self.rng.random_bool(silent_ratio);
            if is_silent {
                node.connection = Connection::Silent;
            }
            if let Some(read) = &mut node.read {
                read.is_silent = is_silent;
            }
            let is_hit = index.is_multiple_of(3);
            match trouble {
                Trouble::NodesCutOff => node.is_cut_off = is_hit,
                Trouble::NodesRestart if is_hit => *node = Node::start(index, 2, count),
                Trouble::ConfirmingNodesEnd if count > 2 => {
                    node.is_running = !node.peers.should_confirm(now);
                }
                _ => {}
            }
        }
    }

    /// Returns the running nodes that lack the newest change.
    fn outdated(&self) -> Vec<usize> {
        let newest = self.history.len() as u64;
        let nodes = self.nodes.iter().enumerate();
        let outdated = nodes.filter(|(_, n)| {
            let has_config = n.values.get("config").is_some_and(|c| c.revision > 1);
            let has_all = has_config && n.values.get("server:a").is_none();
            n.is_running && !(has_all && n.values.revision() >= newest)
        });
        outdated.map(|(index, _)| index).collect()
    }

    /// Returns the largest number of calls to the store in any second since `start`.
    fn calls_per_s_max(&self, start: Instant) -> usize {
        let since = self.calls.iter().filter(|at| **at >= start);
        let count = |from: Instant| {
            let in_second = self.calls.iter().filter(|at| **at >= from);
            in_second.filter(|at| **at < from + SECOND).count()
        };
        since.map(|at| count(*at)).max().unwrap_or(0)
    }
}

/// Returns the changes after a revision, or all values.
fn changes(history: &[(Instant, &'static str, bool)], since: Option<u64>) -> Delta {
    let mut delta = Delta {
        revision: history.len() as u64,
        is_whole: since.is_none(),
        ..Delta::default()
    };
    for (index, (_, key, is_write)) in history.iter().enumerate() {
        let revision = index as u64 + 1;
        if since.is_some_and(|since| revision <= since) {
            continue;
        }
        delta.changes.retain(|c| &*c.key != *key);
        let key = (*key).into();
        if *is_write {
            let value = revision.to_le_bytes().as_slice().into();
            delta.changes.push(Change {
                key,
                revision,
                value,
            });
        } else if since.is_some() {
            delta.removals.push(Removal { key, revision });
        }
    }
    delta
}

/// Time after a disturbance at which a change is made.
///
/// By the bounds of the platform it has to be known as soon as one without a disturbance.
const LEAD: Duration = SECOND;

/// Returns the bound of a fleet's size from a change until it is known.
fn change_bound(count: usize) -> Duration {
    if count <= 9 { 2 * SECOND } else { 3 * SECOND }
}

/// Guards against values that stay old: a node heard of newer ones only from peers, which
/// were as deaf as it was, hung, restarted without values or could not be reached.
#[test]
fn changes_are_known_in_time_whatever_falls_silent() {
    for count in [1, 2, 6, 8, 40, 195] {
        let ratios: &[f64] = if count > 100 {
            &[1.0]
        } else {
            &[0.0, 0.7, 1.0]
        };
        for &silent_ratio in ratios {
            for (seed, trouble) in (1..).zip(TROUBLES) {
                let is_slow_to_play = count > 100;
                if is_slow_to_play && (silent_ratio, trouble) != (1.0, Trouble::NodesCutOff) {
                    continue;
                }
                let mut fleet = Fleet::start(count, seed);
                fleet.disturb(silent_ratio, trouble);
                let disturbed_at = fleet.now;
                fleet.run(LEAD);
                fleet.publish("config", true);
                fleet.publish("server:a", false);
                fleet.run(change_bound(count));
                let outdated = fleet.outdated();
                assert!(
                    outdated.is_empty(),
                    "{count} nodes, {silent_ratio} silent, {trouble:?}: {outdated:?}"
                );
                let calls = fleet.calls_per_s_max(disturbed_at);
                assert!(
                    calls <= 3 * count + 20,
                    "{count} nodes, {silent_ratio} silent, {trouble:?}: {calls} calls"
                );
            }
        }
    }
}

/// Guards against a node that learns of a change only through a connection that was silent
/// before the change, long after all others have forgotten the disturbance.
#[test]
fn changes_are_known_in_time_at_any_moment_after_a_disturbance() {
    for (seed, delay_ms) in (1..).zip([0, 200, 700, 1_500, 3_000, 9_000]) {
        let mut fleet = Fleet::start(8, seed);
        fleet.disturb(1.0, Trouble::Nothing);
        let disturbed_at = fleet.now;
        fleet.run(Duration::from_millis(delay_ms));
        fleet.publish("config", true);
        fleet.publish("server:a", false);
        let until = (disturbed_at + 3 * SECOND).max(fleet.now + 2 * SECOND);
        fleet.run(until - fleet.now);
        assert_eq!(fleet.outdated(), [], "{delay_ms} ms");
    }
}

/// Guards against a fleet whose nodes all ask the store although nothing is wrong.
#[test]
fn few_nodes_ask_the_store_while_nothing_is_wrong() {
    for count in [1, 8, 40, 195] {
        let mut fleet = Fleet::start(count, 7);
        let start = fleet.now;
        fleet.run(20 * SECOND);
        let calls = fleet.calls.iter().filter(|at| **at >= start).count();
        // Two nodes ask once a second; the others now and then.
        let bound = 20 * 2 + count.min(8) * 2 + count / 10;
        assert!(calls <= bound, "{count} nodes: {calls} calls, {bound}");
    }
}

/// Guards against a removal that does not reach a node since the only peer that knows of it
/// has started after it, and so can't tell it from a value that never was.
#[test]
fn a_removal_is_known_though_its_source_started_after_it() {
    let mut fleet = Fleet::start(3, 5);
    fleet.disturb(1.0, Trouble::Nothing);
    fleet.publish("config", true);
    fleet.publish("server:a", false);
    fleet.nodes[0] = Node::start(0, 2, 3);
    fleet.run(3 * SECOND);
    assert_eq!(fleet.outdated(), []);
}
