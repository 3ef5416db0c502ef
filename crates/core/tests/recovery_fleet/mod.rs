//! Simulated fleet: nodes, a network queue and a platform, all with faults.

#![expect(dead_code, reason = "each test binary uses a subset of the helpers")]

pub(crate) mod documents;
pub(crate) mod platform;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use briarbank_core::conf::{Adopted, Key, Options, Output, Replicator};
use briarbank_core::hosts::{Host, HostState};
use briarbank_core::ids::{HostName, Incarnation, Revision, ServerName, ZoneName};
use briarbank_core::member::{self, Members};
use briarbank_core::peer::{Envelope, Message};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use documents::FakeDocuments;
use platform::Platform;

/// Time between two ticks of a node.
pub(crate) const TICK_MS: u64 = 100;

/// Maximum time that a watch waits at the platform.
const WATCH_MS: u64 = 5_000;

/// One router host, running or stopped.
pub(crate) struct SimNode {
    pub(crate) name: HostName,
    pub(crate) zone: ZoneName,
    pub(crate) replicator: Option<Replicator>,
    /// Membership, in fleets with [`Fleet::with_members`].
    pub(crate) members: Option<Members>,
    pub(crate) incarnation: Incarnation,
    /// Whether the process is paused; its messages wait in the inbox.
    pub(crate) paused: bool,
    /// When each leaving server became known to this run of the process.
    pub(crate) leaving: BTreeMap<ServerName, u64>,
    /// Side of a partition; hosts in different groups do not reach each other.
    pub(crate) group: u32,
    pub(crate) platform_cut: bool,
    /// Number of revisions by which the platform replica of this host lags.
    pub(crate) replica_lag: usize,
    /// Revisions in force in this run of the process.
    pub(crate) in_force: [Revision; 3],
    /// Minimum revisions that may come into force first after the start.
    pub(crate) floor: [Revision; 3],
    pub(crate) starts: u64,
    pub(crate) sent_messages: u64,
    pub(crate) sent_bytes: u64,
    /// Number of sent bytes in membership messages.
    pub(crate) sent_member_bytes: u64,
    /// When all that the node has sent is on its way.
    uplink_free_ms: u64,
    inbox: Vec<Packet>,
    watching: bool,
    watch_until_ms: [u64; 3],
}

/// One message in flight.
pub(crate) struct Packet {
    from: usize,
    incarnation: Incarnation,
    to: usize,
    message: Message,
}

/// Nodes, the queue between them and the platform.
pub(crate) struct Fleet {
    pub(crate) nodes: Vec<SimNode>,
    pub(crate) platform: Platform,
    pub(crate) loss: f64,
    /// Rate of each node's uplink for documents; unlimited if `None`.
    pub(crate) uplink_bytes_per_ms: Option<u64>,
    pub(crate) measure: bool,
    /// Whether started nodes have membership.
    pub(crate) with_members: bool,
    /// Pairs of sender and receiver whose messages are dropped.
    pub(crate) blocked: BTreeSet<(usize, usize)>,
    pub(crate) whole_values: u64,
    pub(crate) deltas: u64,
    pub(crate) now_ms: u64,
    /// Description of the first value that reverted, if any.
    pub(crate) reverted: Option<String>,
    /// Processor time of the replicators of all nodes.
    pub(crate) replicator_time: Duration,
    /// Processor time of the membership of all nodes.
    pub(crate) members_time: Duration,
    options: Options,
    epoch: Instant,
    rng: SmallRng,
    queue: BTreeMap<(u64, u64), Packet>,
    sequence: u64,
}

impl Fleet {
    /// Creates a fleet of stopped hosts, distributed over `zones` zones.
    pub(crate) fn new(hosts: usize, zones: usize, seed: u64) -> Self {
        let nodes = (0..hosts).map(|i| SimNode {
            name: HostName::new(&format!("host-{i:03}")),
            zone: ZoneName::new(&format!("zone-{}", i % zones)),
            replicator: None,
            members: None,
            incarnation: Incarnation(0),
            paused: false,
            leaving: BTreeMap::new(),
            uplink_free_ms: 0,
            inbox: Vec::new(),
            group: 0,
            platform_cut: false,
            replica_lag: 0,
            in_force: [Revision(0); 3],
            floor: [Revision(0); 3],
            starts: 0,
            sent_messages: 0,
            sent_bytes: 0,
            sent_member_bytes: 0,
            watching: false,
            watch_until_ms: [0; 3],
        });
        let mut fleet = Self {
            nodes: nodes.collect(),
            platform: Platform::default(),
            loss: 0.0,
            uplink_bytes_per_ms: None,
            measure: false,
            with_members: false,
            blocked: BTreeSet::new(),
            whole_values: 0,
            deltas: 0,
            now_ms: 0,
            reverted: None,
            replicator_time: Duration::ZERO,
            members_time: Duration::ZERO,
            options: Options::default(),
            epoch: Instant::now() + Duration::from_hours(1),
            rng: SmallRng::seed_from_u64(seed),
            queue: BTreeMap::new(),
            sequence: 0,
        };
        fleet.publish_hosts();
        fleet
    }

    pub(crate) fn now(&self) -> Instant {
        self.epoch + Duration::from_millis(self.now_ms)
    }

    /// Publishes the list of all hosts.
    pub(crate) fn publish_hosts(&mut self) {
        self.publish_first_hosts(self.nodes.len(), HostState::Live);
    }

    /// Publishes a list of the first hosts, all in one state.
    pub(crate) fn publish_first_hosts(&mut self, count: usize, state: HostState) -> Revision {
        let hosts = self.nodes.iter().take(count).map(|node| Host {
            name: node.name.clone(),
            zone: node.zone.clone(),
            peer_address: "127.0.0.1:1".parse().expect("valid address"),
            state,
        });
        let hosts: Vec<Host> = hosts.collect();
        let bytes = serde_json::to_vec(&hosts).expect("serializable");
        self.platform.publish(Key::Hosts, bytes)
    }

    /// Starts or restarts a host with empty state.
    pub(crate) fn start(&mut self, index: usize) {
        let floor = Key::ALL.map(|key| self.min_synced_revision(index, key));
        let seed = self.rng.random();
        let node = &mut self.nodes[index];
        node.floor = floor;
        node.starts += 1;
        node.watching = false;
        node.in_force = [Revision(0); 3];
        node.incarnation = Incarnation(seed);
        node.leaving.clear();
        node.inbox.clear();
        node.paused = false;
        let (host, zone) = (node.name.clone(), node.zone.clone());
        node.members = self.with_members.then(|| {
            let options = member::Options::default();
            Members::new(host.clone(), node.incarnation, options, seed)
        });
        node.replicator = Some(Replicator::new(host, zone, self.options.clone(), seed));
    }

    pub(crate) fn start_all(&mut self) {
        for index in 0..self.nodes.len() {
            self.start(index);
        }
    }

    pub(crate) fn stop(&mut self, index: usize) {
        self.nodes[index].replicator = None;
        self.nodes[index].members = None;
    }

    /// Resumes a paused process and delivers its waiting messages.
    pub(crate) fn resume(&mut self, index: usize) {
        self.nodes[index].paused = false;
        for packet in std::mem::take(&mut self.nodes[index].inbox) {
            self.receive(packet);
        }
    }

    /// Announces a leaving server to one node.
    pub(crate) fn server_leaving(&mut self, index: usize, server: &str) {
        let now = self.now();
        let mut out = Vec::new();
        if let Some(members) = &mut self.nodes[index].members {
            members.server_leaving(now, server.into(), &mut out);
        }
        self.apply_member_outputs(index, out);
    }

    /// Begins the graceful shutdown of a node.
    pub(crate) fn leave(&mut self, index: usize) {
        let now = self.now();
        let mut out = Vec::new();
        if let Some(members) = &mut self.nodes[index].members {
            members.leave(now, &mut out);
        }
        self.apply_member_outputs(index, out);
    }

    /// Whether `host` is usable, or is not, at all other running nodes.
    pub(crate) fn all_agree(&self, host: usize, usable: bool) -> bool {
        let name = &self.nodes[host].name;
        let others = self.nodes.iter().enumerate().filter(|(i, _)| *i != host);
        let mut members = others.filter_map(|(_, n)| n.members.as_ref());
        members.all(|m| m.usable(name) == usable)
    }

    /// Runs until `done` and returns the time it took, or `None` after `bound_ms`.
    pub(crate) fn run_until(
        &mut self,
        bound_ms: u64,
        mut done: impl FnMut(&Self) -> bool,
    ) -> Option<u64> {
        let start = self.now_ms;
        while !done(self) {
            if self.now_ms >= start + bound_ms {
                return None;
            }
            self.run(TICK_MS);
        }
        Some(self.now_ms - start)
    }

    /// Moves a host to a group.
    ///
    /// Clears the minimum revisions, which assume an unchanged network since the start.
    pub(crate) fn set_group(&mut self, index: usize, group: u32) {
        self.nodes[index].group = group;
        for node in &mut self.nodes {
            node.floor = [Revision(0); 3];
        }
    }

    /// Returns the minimum revision in force at synced peers that `index` reaches.
    fn min_synced_revision(&self, index: usize, key: Key) -> Revision {
        let group = self.nodes[index].group;
        let peers = self.nodes.iter().enumerate();
        let reached = peers.filter(|(i, node)| *i != index && node.group == group);
        let synced = reached.filter_map(|(_, n)| n.replicator.as_ref().filter(|r| r.is_synced()));
        let lowest = synced.map(|replicator| replicator.revision(key)).min();
        lowest.unwrap_or(Revision(0))
    }

    /// Advances the simulated time.
    pub(crate) fn run(&mut self, ms: u64) {
        let end = self.now_ms + ms;
        while self.now_ms < end {
            let next = (self.now_ms / TICK_MS + 1) * TICK_MS;
            self.deliver(next);
            self.now_ms = next;
            for index in 0..self.nodes.len() {
                self.run_watches(index);
                self.tick(index);
            }
        }
    }

    /// Runs until all running nodes have `key` at `revision` and returns the time it took.
    pub(crate) fn run_until_revision(
        &mut self,
        key: Key,
        revision: Revision,
        bound_ms: u64,
    ) -> Option<u64> {
        self.run_until(bound_ms, |fleet| fleet.all_have(key, revision))
    }

    pub(crate) fn all_have(&self, key: Key, revision: Revision) -> bool {
        let running = self.nodes.iter().filter_map(|n| n.replicator.as_ref());
        running.into_iter().all(|r| r.revision(key) >= revision)
    }

    fn deliver(&mut self, until_ms: u64) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > until_ms {
                break;
            }
            let ((at, _), packet) = entry.remove_entry();
            self.now_ms = self.now_ms.max(at);
            self.receive(packet);
        }
    }

    fn receive(&mut self, packet: Packet) {
        let Packet {
            from,
            incarnation,
            to,
            ..
        } = packet;
        if self.nodes[from].group != self.nodes[to].group || self.blocked.contains(&(from, to)) {
            return;
        }
        if self.nodes[to].paused {
            self.nodes[to].inbox.push(packet);
            return;
        }
        let now = self.now();
        let sender = self.nodes[from].name.clone();
        let node = &mut self.nodes[to];
        let (mut out, mut members_out) = (Vec::new(), Vec::new());
        let start = Instant::now();
        match (packet.message, &mut node.replicator, &mut node.members) {
            (Message::Conf(message), Some(replicator), _) => {
                replicator.handle_message(now, &FakeDocuments, &sender, message, &mut out);
                self.replicator_time += start.elapsed();
            }
            (Message::Member(message), _, Some(members)) => {
                members.handle_message(now, &sender, incarnation, message, &mut members_out);
                self.members_time += start.elapsed();
            }
            _ => {}
        }
        self.apply_outputs(to, out);
        self.apply_member_outputs(to, members_out);
    }

    fn tick(&mut self, index: usize) {
        let now = self.now();
        let node = &mut self.nodes[index];
        if node.paused {
            return;
        }
        let (mut out, mut members_out) = (Vec::new(), Vec::new());
        let start = Instant::now();
        if let Some(replicator) = &mut node.replicator {
            replicator.tick(now, &mut out);
        }
        let between = Instant::now();
        if let Some(members) = &mut node.members {
            members.tick(now, &mut members_out);
        }
        self.replicator_time += between - start;
        self.members_time += between.elapsed();
        self.apply_outputs(index, out);
        self.apply_member_outputs(index, members_out);
    }

    /// Runs the platform watches of a node.
    fn run_watches(&mut self, index: usize) {
        for key in Key::ALL {
            let (now, now_ms) = (self.now(), self.now_ms);
            let node = &mut self.nodes[index];
            let Some(replicator) = node
                .replicator
                .as_mut()
                .filter(|_| node.watching && !node.paused)
            else {
                return;
            };
            let reached = self.platform.up && !node.platform_cut;
            let newest = self.platform.newest(key, node.replica_lag);
            let newest = newest.filter(|_| reached);
            let newer = newest
                .as_ref()
                .is_some_and(|(r, _)| *r > replicator.seen(key));
            let until_ms = &mut node.watch_until_ms[key.index()];
            if !newer && now_ms < *until_ms {
                continue;
            }
            *until_ms = now_ms + WATCH_MS;
            self.platform.count_call(now_ms);
            let mut out = Vec::new();
            // A lagging replica returns its newest version, however old.
            match newest.filter(|_| newer || node.replica_lag > 0) {
                Some((revision, bytes)) => {
                    replicator.handle_published(
                        now,
                        &FakeDocuments,
                        key,
                        revision,
                        &bytes,
                        &mut out,
                    );
                }
                None if reached => replicator.handle_unchanged(now),
                None => {}
            }
            self.apply_outputs(index, out);
        }
    }

    fn apply_outputs(&mut self, index: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Adopted(adopted) => self.apply_adopted(index, &adopted),
                Output::Watch(watch) => {
                    self.nodes[index].watching = watch;
                    self.nodes[index].watch_until_ms = [0; 3];
                }
                Output::Send { to, message } => self.send(index, &to, Message::Conf(message)),
            }
        }
    }

    fn apply_adopted(&mut self, index: usize, adopted: &Adopted) {
        let (key, revision) = documents::revision(adopted);
        let now = self.now();
        let node = &mut self.nodes[index];
        let before = node.in_force[key.index()].max(node.floor[key.index()]);
        if revision < before {
            let text = format!("{} reverted from {before} to {revision}", node.name);
            self.reverted.get_or_insert(text);
        }
        node.in_force[key.index()] = revision;
        let Adopted::Hosts(view) = adopted else {
            return;
        };
        if let Some(replicator) = &mut node.replicator {
            replicator.set_hosts(now, view);
        }
        if let Some(members) = &mut node.members {
            members.set_hosts(now, view);
        }
    }

    fn apply_member_outputs(&mut self, index: usize, out: Vec<member::Output>) {
        for output in out {
            match output {
                member::Output::Send { to, message } => {
                    self.send(index, &to, Message::Member(message));
                }
                member::Output::ServerLeaving(server) => {
                    let now_ms = self.now_ms;
                    self.nodes[index].leaving.entry(server).or_insert(now_ms);
                }
                member::Output::Changed { .. } | member::Output::Paused(_) => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: &HostName, message: Message) {
        let Some(index) = self.nodes.iter().position(|n| n.name == *to) else {
            return;
        };
        if self.measure {
            self.count_sent(from, &message);
        }
        if self.rng.random_bool(self.loss) {
            return;
        }
        let sent_at = self.pass_uplink(from, &message);
        let at = sent_at + self.rng.random_range(1..=5);
        self.sequence += 1;
        let packet = Packet {
            from,
            incarnation: self.nodes[from].incarnation,
            to: index,
            message,
        };
        self.queue.insert((at, self.sequence), packet);
    }

    /// Returns when a message has left its sender.
    ///
    /// Only documents take time, and wait for those sent before.
    fn pass_uplink(&mut self, from: usize, message: &Message) -> u64 {
        use briarbank_core::conf::Message as Conf;
        let size_bytes = match message {
            Message::Conf(Conf::Value { bytes, .. }) => bytes.len(),
            Message::Conf(Conf::Delta { delta, .. }) => delta.size_bytes(),
            _ => return self.now_ms,
        };
        let Some(bytes_per_ms) = self.uplink_bytes_per_ms else {
            return self.now_ms;
        };
        let node = &mut self.nodes[from];
        let begin_ms = node.uplink_free_ms.max(self.now_ms);
        node.uplink_free_ms = begin_ms + size_bytes as u64 / bytes_per_ms;
        node.uplink_free_ms
    }

    fn count_sent(&mut self, from: usize, message: &Message) {
        use briarbank_core::conf::Message as Conf;
        self.whole_values += u64::from(matches!(message, Message::Conf(Conf::Value { .. })));
        self.deltas += u64::from(matches!(message, Message::Conf(Conf::Delta { .. })));
        let node = &mut self.nodes[from];
        let envelope = Envelope {
            from: node.name.clone(),
            address: ([127, 0, 0, 1], 1).into(),
            incarnation: Incarnation(u64::MAX),
            message: message.clone(),
        };
        let config = bincode::config::standard();
        let bytes = bincode::serde::encode_to_vec(&envelope, config).expect("encodable");
        node.sent_messages += 1;
        node.sent_bytes += bytes.len() as u64;
        if matches!(envelope.message, Message::Member(_)) {
            node.sent_member_bytes += bytes.len() as u64;
        }
    }
}
