//! A simulated fleet that loses most of its nodes while several versions serve.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use briarbank_core::flow::{
    Dispatcher, Heartbeat, HeartbeatEntry, Instance, Options, PeerOptions, Peers, ServedStreams,
    ShareStatement, StreamDirectory, StreamKey, StreamMessage, StreamProof, StreamStart,
    VersionEvidence, VersionKey,
};
use briarbank_core::ids::ServerName;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use crate::fleet::{MODELS, instance};

const SERVERS: usize = 12;

/// Largest age of a stream: twice the timeout of its route.
const AGE_MAX: Duration = Duration::from_secs(30);

/// Time that callers wait for a stream.
const LIFETIME: Duration = Duration::from_secs(15);

/// Time between two rounds of heartbeats, below the time after which a node counts as failed.
const ROUND: Duration = Duration::from_secs(2);

/// Rounds before the loss.
const ROUNDS: u32 = 20;

/// Longest time after which a node in touch hears of a change.
const LAG_MAX_MS: u64 = 3_000;

/// Share of messages between nodes that are lost.
const LOST_RATIO: f64 = 0.01;

/// Share of streams that cannot begin at the version of their key.
const APART_RATIO: f64 = 0.05;

/// Streams that may hold events of two versions.
const JOINED_MAX: usize = 2;

/// How versions are used before the loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rollout {
    /// The servers' versions stay.
    None,
    /// One server after the other is replaced by one of the last version.
    Replaced,
}

#[derive(Clone, Copy, Debug)]
struct Scenario {
    nodes: usize,
    left: usize,
    versions: usize,
    rollout: Rollout,
    /// Whether one node hears of nothing from some time on, and serves on.
    has_cut_node: bool,
}

/// A change of the published servers, and when a node hears of it.
#[derive(Clone, Debug)]
struct Change {
    heard_at: Instant,
    removed: ServerName,
    added: Instance,
}

struct Node {
    peers: Peers,
    dispatcher: Dispatcher,
    directory: StreamDirectory,
    served: ServedStreams,
    changes: Vec<Change>,
}

/// A stream that began before the loss.
struct Stream {
    key: StreamKey,
    node: usize,
    version: VersionKey,
}

/// What became of streams that were taken up.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    taken_up: usize,
    goes_on: usize,
    joined: usize,
    messages: usize,
}

struct Fleet {
    scenario: Scenario,
    rng: StdRng,
    now: Instant,
    round: u64,
    nodes: Vec<Node>,
    servers: Vec<Instance>,
    outcome: Outcome,
}

fn address(node: usize) -> SocketAddrV4 {
    SocketAddrV4::new([10, 1, (node >> 8) as u8, node as u8].into(), 7200)
}

fn server(index: usize, run: usize, version: usize) -> Instance {
    Instance {
        version: format!("v{version}").into(),
        ..instance(&format!("m{index}-{run}"), MODELS, 128)
    }
}

impl Fleet {
    fn start(scenario: Scenario, seed: u64) -> Self {
        let now = Instant::now();
        let servers: Vec<Instance> = (0..SERVERS)
            .map(|index| server(index, 0, index % scenario.versions))
            .collect();
        let seeds = vec![address(0), address(1), address(2)];
        let node = |index| {
            let mut dispatcher = Dispatcher::new("zone".into(), Options::default());
            dispatcher.record_first_start();
            for server in &servers {
                dispatcher.add_server(now, server.clone());
            }
            Node {
                peers: Peers::new(address(index), 1, seeds.clone(), PeerOptions::default()),
                dispatcher,
                directory: StreamDirectory::default(),
                served: ServedStreams::default(),
                changes: Vec::new(),
            }
        };
        Self {
            scenario,
            rng: StdRng::seed_from_u64(seed),
            now,
            round: 0,
            nodes: (0..scenario.nodes).map(node).collect(),
            servers,
            outcome: Outcome::default(),
        }
    }

    /// Returns whether a node hears of nothing.
    fn is_cut(&self, node: usize) -> bool {
        self.scenario.has_cut_node && node == self.scenario.nodes - 1 && self.round > 5
    }

    /// Lets nodes hear of the others that run.
    fn beat(&mut self, running: &[usize]) {
        self.round += 1;
        let entry = |node: &usize| HeartbeatEntry {
            address: address(*node),
            incarnation: 1,
            count: self.round as u32,
        };
        let connected = running.iter().filter(|node| !self.is_cut(**node));
        let entries: Vec<HeartbeatEntry> = connected.map(entry).collect();
        for &node in running {
            let heartbeat = Heartbeat {
                sender: entry(&running[0]),
                is_leaving: false,
                is_watching: false,
                revision: 0,
                loads: Vec::new(),
                entries: entries.clone(),
            };
            let is_cut = self.is_cut(node);
            let peers = &mut self.nodes[node].peers;
            if !is_cut {
                peers.receive(self.now, heartbeat);
            }
            peers.next_heartbeat(self.now, 0, false, Vec::new());
        }
    }

    /// Replaces a server by one of the last version, as nodes hear of at different times.
    fn replace_server(&mut self, index: usize) {
        let added = server(index, 1, self.scenario.versions - 1);
        let removed = std::mem::replace(&mut self.servers[index], added.clone());
        for node in 0..self.nodes.len() {
            if self.is_cut(node) {
                continue;
            }
            let lag = Duration::from_millis(self.rng.random_range(0..LAG_MAX_MS));
            self.nodes[node].changes.push(Change {
                heard_at: self.now + lag,
                removed: removed.id.clone(),
                added: added.clone(),
            });
        }
    }

    /// Applies changes that a node has heard of, and tells others of streams that are uncertain.
    fn advance_node(&mut self, node: usize) {
        let now = self.now;
        let state = &mut self.nodes[node];
        let heard = state
            .changes
            .extract_if(.., |change| change.heard_at <= now);
        for change in heard {
            let at = change.heard_at;
            state.dispatcher.remove_server(at, &change.removed, None);
            state.dispatcher.add_server(at, change.added);
        }
        let Node {
            peers,
            dispatcher,
            directory,
            served,
            ..
        } = state;
        served.check_keys(now, directory, peers, dispatcher);
        let messages: Vec<_> = served.take_announcements(now, peers, usize::MAX).collect();
        self.deliver(node, messages);
    }

    fn deliver(&mut self, from: usize, messages: Vec<(SocketAddrV4, StreamMessage)>) {
        self.outcome.messages += messages.len();
        for (to, message) in messages {
            let octets = to.ip().octets();
            let to = usize::from(octets[2]) << 8 | usize::from(octets[3]);
            let is_lost = self.rng.random_bool(LOST_RATIO);
            if is_lost || self.is_cut(from) || self.is_cut(to) {
                continue;
            }
            let records = match message {
                StreamMessage::Record(record) => [record].into(),
                StreamMessage::Records(records) => records,
                other => panic!("{other:?}"),
            };
            let directory = &mut self.nodes[to].directory;
            for record in records.iter() {
                let lifetime = Duration::from_millis(u64::from(record.lifetime_ms));
                directory.record(self.now, record.stream, record.version, lifetime);
            }
        }
    }

    fn begin_stream(&mut self, index: usize) -> Stream {
        let node = self.rng.random_range(0..self.nodes.len());
        self.advance_node(node);
        let key = StreamKey::new(None, &format!("call-{index}"));
        let (now, is_apart) = (self.now, self.rng.random_bool(APART_RATIO));
        let state = &mut self.nodes[node];
        let by_key = state.dispatcher.version_of_key(&MODELS.into(), key);
        let may_be_apart = is_apart && state.served.may_tell_all(now, &state.peers);
        let seen = state
            .dispatcher
            .seen_versions(now, &MODELS.into(), Duration::ZERO);
        let version = match by_key {
            Some(version) if !may_be_apart => version,
            _ => *seen.choose(&mut self.rng).expect("there are servers"),
        };
        state.directory.record(now, key, version, LIFETIME);
        let record = state.directory.record_of(now, key);
        let start = StreamStart {
            record: record.expect("it was just recorded"),
            service: Some(MODELS.into()),
            age_max: AGE_MAX,
        };
        let messages = state
            .served
            .begin(now, start, &state.peers, &state.dispatcher);
        self.deliver(node, messages);
        Stream { key, node, version }
    }

    /// Returns what a node says of a stream, and how the shares went.
    fn statement(&self, node: usize) -> (VersionEvidence, ShareStatement) {
        let state = &self.nodes[node];
        let service = MODELS.into();
        let versions = state.dispatcher.seen_versions(self.now, &service, AGE_MAX);
        let complete = state.dispatcher.complete_time(self.now);
        let evidence = VersionEvidence::new(versions, complete, Some(Duration::ZERO));
        let time = state.peers.share_time(self.now, AGE_MAX);
        let shares = ShareStatement {
            time_ms: time.as_millis() as u32,
            shares: state
                .dispatcher
                .share_span(self.now, &service, time)
                .shares(),
        };
        (evidence, shares)
    }

    /// Returns the version at which a node goes on with a stream.
    fn find(&mut self, taker: usize, stream: StreamKey, left: &[usize]) -> Option<VersionKey> {
        let state = &self.nodes[taker];
        if let Some(version) = state.directory.version(self.now, stream) {
            return Some(version);
        }
        let asked = state.peers.stream_sources(self.now, stream, 8);
        let asked = left.iter().filter(|node| asked.contains(&address(**node)));
        let mut proof = StreamProof::default();
        for &node in asked {
            if self.is_cut(node) || self.is_cut(taker) {
                continue;
            }
            if let Some(version) = self.nodes[node].directory.version(self.now, stream) {
                return Some(version);
            }
            let (evidence, shares) = self.statement(node);
            proof.add(&evidence, Some(&shares), Duration::ZERO);
        }
        // The store does not confirm the entries of a node that is cut off.
        if self.is_cut(taker) {
            return None;
        }
        let (evidence, shares) = self.statement(taker);
        proof.add(&evidence, Some(&shares), Duration::ZERO);
        let share_time = state.peers.share_time(self.now, AGE_MAX);
        proof.version(stream, AGE_MAX, share_time)
    }

    fn play(mut self) -> Outcome {
        let all: Vec<usize> = (0..self.scenario.nodes).collect();
        self.beat(&all);
        let mut streams = Vec::new();
        let streams_per_round = (self.scenario.nodes * 4).min(400);
        for round in 0..ROUNDS {
            let is_rolling = self.scenario.rollout == Rollout::Replaced && round % 2 == 0;
            if is_rolling && (round as usize) / 2 < SERVERS {
                self.replace_server(round as usize / 2);
            }
            if (ROUNDS - round) * ROUND <= LIFETIME {
                for index in 0..streams_per_round {
                    self.now += ROUND / streams_per_round as u32;
                    streams.push(self.begin_stream(round as usize * 1_000 + index));
                }
            } else {
                self.now += ROUND;
            }
            self.beat(&all);
            for node in 0..self.nodes.len() {
                self.advance_node(node);
            }
        }
        let left: Vec<usize> = (0..self.scenario.left).collect();
        self.now += Duration::from_millis(200);
        for stream in &streams {
            if left.contains(&stream.node) {
                continue;
            }
            let taker = left[self.rng.random_range(0..left.len())];
            self.advance_node(taker);
            let serving = self.servers.iter();
            let serving = serving.filter(|s| s.version_key() == stream.version);
            let may_go_on = serving.count() >= 2;
            let found = self.find(taker, stream.key, &left);
            self.outcome.joined += usize::from(found.is_some_and(|v| v != stream.version));
            self.outcome.taken_up += usize::from(may_go_on);
            let goes_on = may_go_on && found == Some(stream.version);
            self.outcome.goes_on += usize::from(goes_on);
        }
        self.outcome
    }
}

fn scenarios(nodes: usize) -> impl Iterator<Item = Scenario> {
    let mut left = vec![1, 2, nodes / 3, nodes / 2];
    left.dedup();
    left.into_iter().flat_map(move |left| {
        let scenario = |versions, rollout, has_cut_node| Scenario {
            nodes,
            left,
            versions,
            rollout,
            has_cut_node,
        };
        [
            scenario(2, Rollout::None, false),
            scenario(3, Rollout::None, false),
            scenario(2, Rollout::Replaced, false),
            scenario(3, Rollout::Replaced, true),
        ]
    })
}

fn play_fleets(nodes: usize, seeds: std::ops::Range<u64>) {
    for scenario in scenarios(nodes) {
        for seed in seeds.clone() {
            let outcome = Fleet::start(scenario, seed).play();
            println!("{scenario:?}, seed {seed}: {outcome:?}");
            let Outcome {
                taken_up, goes_on, ..
            } = outcome;
            assert!(
                outcome.joined <= JOINED_MAX,
                "{scenario:?}, seed {seed}: {outcome:?}"
            );
            assert!(
                goes_on * 2 >= taken_up,
                "{scenario:?}, seed {seed}: {outcome:?}"
            );
        }
    }
}

/// Guards against streams that are refused, or joined of two versions, after most nodes of a
/// small fleet were killed.
#[test]
fn streams_go_on_after_the_loss_of_most_nodes_of_small_fleets() {
    for nodes in [9, 12, 24, 40] {
        play_fleets(nodes, 0..20);
    }
}

/// Guards against the same in large fleets, where not every node can be told of every stream.
#[test]
fn streams_go_on_after_the_loss_of_most_nodes_of_large_fleets() {
    play_fleets(86, 0..1);
    play_fleets(390, 0..1);
}
