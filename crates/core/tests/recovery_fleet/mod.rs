//! Several nodes that meet over one message queue, with a platform that fails.

#![expect(dead_code, reason = "each test file uses its own part")]

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

use documents::Fake;
use platform::Platform;

/// Time between two ticks of a node.
pub(crate) const TICK_MS: u64 = 100;

/// Time that a watch waits at the platform.
const WATCH_MS: u64 = 5_000;

/// One router host, up or down.
pub(crate) struct Slot {
    pub(crate) name: HostName,
    pub(crate) zone: ZoneName,
    pub(crate) replicator: Option<Replicator>,
    /// Membership, in fleets that have it.
    pub(crate) members: Option<Members>,
    pub(crate) incarnation: Incarnation,
    /// A paused process does nothing; its messages wait.
    pub(crate) paused: bool,
    /// When each leaving server became known to this run of the process.
    pub(crate) leaving: BTreeMap<ServerName, u64>,
    /// Hosts in different groups do not reach each other.
    pub(crate) group: u32,
    pub(crate) platform_cut: bool,
    /// Revisions by which the platform replica that this host reads is late.
    pub(crate) replica_lag: usize,
    /// Revisions in force in this run of the process.
    pub(crate) in_force: [Revision; 3],
    /// Least revisions that may come into force first after the start.
    pub(crate) floor: [Revision; 3],
    pub(crate) starts: u64,
    pub(crate) sent_messages: u64,
    pub(crate) sent_bytes: u64,
    /// Part of the sent bytes that is membership.
    pub(crate) sent_member_bytes: u64,
    inbox: Vec<Parcel>,
    watching: bool,
    watch_until_ms: [u64; 3],
}

/// One message on its way.
pub(crate) struct Parcel {
    from: usize,
    incarnation: Incarnation,
    to: usize,
    message: Message,
}

/// The nodes, the queue between them and the platform.
pub(crate) struct Fleet {
    pub(crate) slots: Vec<Slot>,
    pub(crate) platform: Platform,
    pub(crate) loss: f64,
    pub(crate) measure: bool,
    /// Whether nodes that start have membership.
    pub(crate) with_members: bool,
    /// Pairs of hosts that do not reach each other, in this order.
    pub(crate) blocked: BTreeSet<(usize, usize)>,
    pub(crate) whole_values: u64,
    pub(crate) deltas: u64,
    pub(crate) now_ms: u64,
    /// First value that went backwards, if any.
    pub(crate) reverted: Option<String>,
    /// Processor time of the spread of values and of membership, over all nodes.
    pub(crate) replicator_time: Duration,
    pub(crate) members_time: Duration,
    options: Options,
    epoch: Instant,
    rng: SmallRng,
    queue: BTreeMap<(u64, u64), Parcel>,
    sequence: u64,
}

impl Fleet {
    /// Hosts that are all down, over `zones` zones.
    pub(crate) fn new(hosts: usize, zones: usize, seed: u64) -> Self {
        let slots = (0..hosts).map(|i| Slot {
            name: HostName::new(&format!("host-{i:03}")),
            zone: ZoneName::new(&format!("zone-{}", i % zones)),
            replicator: None,
            members: None,
            incarnation: Incarnation(0),
            paused: false,
            leaving: BTreeMap::new(),
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
            slots: slots.collect(),
            platform: Platform::default(),
            loss: 0.0,
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
        self.publish_first_hosts(self.slots.len(), HostState::Live);
    }

    /// Publishes a list of the first hosts, all in one state.
    pub(crate) fn publish_first_hosts(&mut self, count: usize, state: HostState) -> Revision {
        let hosts = self.slots.iter().take(count).map(|slot| Host {
            name: slot.name.clone(),
            zone: slot.zone.clone(),
            peer_address: "127.0.0.1:1".parse().expect("valid address"),
            state,
        });
        let hosts: Vec<Host> = hosts.collect();
        let bytes = serde_json::to_vec(&hosts).expect("serializable");
        self.platform.publish(Key::Hosts, bytes)
    }

    /// Starts a host with empty memory, whether it ran before or not.
    pub(crate) fn start(&mut self, index: usize) {
        let floor = Key::ALL.map(|key| self.least_synced(index, key));
        let seed = self.rng.random();
        let slot = &mut self.slots[index];
        slot.floor = floor;
        slot.starts += 1;
        slot.watching = false;
        slot.in_force = [Revision(0); 3];
        slot.incarnation = Incarnation(seed);
        slot.leaving.clear();
        slot.inbox.clear();
        slot.paused = false;
        let (host, zone) = (slot.name.clone(), slot.zone.clone());
        slot.members = self.with_members.then(|| {
            let options = member::Options::default();
            Members::new(host.clone(), slot.incarnation, options, seed)
        });
        slot.replicator = Some(Replicator::new(host, zone, self.options.clone(), seed));
    }

    pub(crate) fn start_all(&mut self) {
        for index in 0..self.slots.len() {
            self.start(index);
        }
    }

    pub(crate) fn stop(&mut self, index: usize) {
        self.slots[index].replicator = None;
        self.slots[index].members = None;
    }

    /// Lets a paused process go on.
    pub(crate) fn resume(&mut self, index: usize) {
        self.slots[index].paused = false;
        for parcel in std::mem::take(&mut self.slots[index].inbox) {
            self.receive(parcel);
        }
    }

    /// A server tells one node that it is leaving.
    pub(crate) fn server_leaving(&mut self, index: usize, server: &str) {
        let now = self.now();
        let mut out = Vec::new();
        if let Some(members) = &mut self.slots[index].members {
            members.server_leaving(now, server.into(), &mut out);
        }
        self.carry_out_members(index, out);
    }

    /// A node begins its planned stop.
    pub(crate) fn leave(&mut self, index: usize) {
        let now = self.now();
        let mut out = Vec::new();
        if let Some(members) = &mut self.slots[index].members {
            members.leave(now, &mut out);
        }
        self.carry_out_members(index, out);
    }

    /// Whether all running nodes but `host` agree on whether it takes part.
    pub(crate) fn agree(&self, host: usize, usable: bool) -> bool {
        let name = &self.slots[host].name;
        let others = self.slots.iter().enumerate().filter(|(i, _)| *i != host);
        let mut members = others.filter_map(|(_, s)| s.members.as_ref());
        members.all(|m| m.usable(name) == usable)
    }

    /// Runs until `done`, and returns the time it took.
    pub(crate) fn run_while(
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

    /// Moves a host to a group; a start that sees the network change proves nothing.
    pub(crate) fn group(&mut self, index: usize, group: u32) {
        self.slots[index].group = group;
        for slot in &mut self.slots {
            slot.floor = [Revision(0); 3];
        }
    }

    /// Least revision in force at settled peers that `index` reaches.
    fn least_synced(&self, index: usize, key: Key) -> Revision {
        let group = self.slots[index].group;
        let peers = self.slots.iter().enumerate();
        let reached = peers.filter(|(i, slot)| *i != index && slot.group == group);
        let synced = reached.filter_map(|(_, s)| s.replicator.as_ref().filter(|s| s.is_synced()));
        let least = synced.map(|replicator| replicator.revision(key)).min();
        least.unwrap_or(Revision(0))
    }

    /// Lets time pass.
    pub(crate) fn run(&mut self, ms: u64) {
        let end = self.now_ms + ms;
        while self.now_ms < end {
            let next = (self.now_ms / TICK_MS + 1) * TICK_MS;
            self.deliver(next);
            self.now_ms = next;
            for index in 0..self.slots.len() {
                self.watch(index);
                self.tick(index);
            }
        }
    }

    /// Runs until all running nodes have `key` at `revision`, and returns the time it took.
    pub(crate) fn run_until(&mut self, key: Key, revision: Revision, bound_ms: u64) -> Option<u64> {
        self.run_while(bound_ms, |fleet| fleet.all_have(key, revision))
    }

    pub(crate) fn all_have(&self, key: Key, revision: Revision) -> bool {
        let running = self.slots.iter().filter_map(|s| s.replicator.as_ref());
        running.into_iter().all(|s| s.revision(key) >= revision)
    }

    fn deliver(&mut self, until_ms: u64) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > until_ms {
                break;
            }
            let ((at, _), parcel) = entry.remove_entry();
            self.now_ms = self.now_ms.max(at);
            self.receive(parcel);
        }
    }

    fn receive(&mut self, parcel: Parcel) {
        let Parcel {
            from,
            incarnation,
            to,
            ..
        } = parcel;
        if self.slots[from].group != self.slots[to].group || self.blocked.contains(&(from, to)) {
            return;
        }
        if self.slots[to].paused {
            self.slots[to].inbox.push(parcel);
            return;
        }
        let now = self.now();
        let sender = self.slots[from].name.clone();
        let slot = &mut self.slots[to];
        let (mut out, mut members_out) = (Vec::new(), Vec::new());
        let begun = Instant::now();
        match (parcel.message, &mut slot.replicator, &mut slot.members) {
            (Message::Conf(message), Some(replicator), _) => {
                replicator.handle_message(now, &Fake, &sender, message, &mut out);
                self.replicator_time += begun.elapsed();
            }
            (Message::Member(message), _, Some(members)) => {
                members.handle_message(now, &sender, incarnation, message, &mut members_out);
                self.members_time += begun.elapsed();
            }
            _ => {}
        }
        self.carry_out(to, out);
        self.carry_out_members(to, members_out);
    }

    fn tick(&mut self, index: usize) {
        let now = self.now();
        let slot = &mut self.slots[index];
        if slot.paused {
            return;
        }
        let (mut out, mut members_out) = (Vec::new(), Vec::new());
        let begun = Instant::now();
        if let Some(replicator) = &mut slot.replicator {
            replicator.tick(now, &mut out);
        }
        let between = Instant::now();
        if let Some(members) = &mut slot.members {
            members.tick(now, &mut members_out);
        }
        self.replicator_time += between - begun;
        self.members_time += between.elapsed();
        self.carry_out(index, out);
        self.carry_out_members(index, members_out);
    }

    /// Reads the platform for a node that watches it.
    fn watch(&mut self, index: usize) {
        for key in Key::ALL {
            let (now, now_ms) = (self.now(), self.now_ms);
            let slot = &mut self.slots[index];
            let Some(replicator) = slot
                .replicator
                .as_mut()
                .filter(|_| slot.watching && !slot.paused)
            else {
                return;
            };
            let reached = self.platform.up && !slot.platform_cut;
            let newest = self.platform.newest(key, slot.replica_lag);
            let newest = newest.filter(|_| reached);
            let newer = newest
                .as_ref()
                .is_some_and(|(r, _)| *r > replicator.seen(key));
            let until_ms = &mut slot.watch_until_ms[key.index()];
            if !newer && now_ms < *until_ms {
                continue;
            }
            *until_ms = now_ms + WATCH_MS;
            self.platform.count(now_ms);
            let mut out = Vec::new();
            // A late replica gives what it has, however old.
            match newest.filter(|_| newer || slot.replica_lag > 0) {
                Some((revision, bytes)) => {
                    replicator.handle_published(now, &Fake, key, revision, &bytes, &mut out);
                }
                None if reached => replicator.handle_unchanged(now),
                None => {}
            }
            self.carry_out(index, out);
        }
    }

    fn carry_out(&mut self, index: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Adopted(adopted) => self.adopted(index, &adopted),
                Output::Watch(watch) => {
                    self.slots[index].watching = watch;
                    self.slots[index].watch_until_ms = [0; 3];
                }
                Output::Send { to, message } => self.send(index, &to, Message::Conf(message)),
            }
        }
    }

    fn adopted(&mut self, index: usize, adopted: &Adopted) {
        let (key, revision) = documents::revision(adopted);
        let now = self.now();
        let slot = &mut self.slots[index];
        let before = slot.in_force[key.index()].max(slot.floor[key.index()]);
        if revision < before {
            let text = format!("{} went back from {before} to {revision}", slot.name);
            self.reverted.get_or_insert(text);
        }
        slot.in_force[key.index()] = revision;
        let Adopted::Hosts(view) = adopted else {
            return;
        };
        if let Some(replicator) = &mut slot.replicator {
            replicator.set_hosts(now, view);
        }
        if let Some(members) = &mut slot.members {
            members.set_hosts(now, view);
        }
    }

    fn carry_out_members(&mut self, index: usize, out: Vec<member::Output>) {
        for output in out {
            match output {
                member::Output::Send { to, message } => {
                    self.send(index, &to, Message::Member(message));
                }
                member::Output::ServerLeaving(server) => {
                    let now_ms = self.now_ms;
                    self.slots[index].leaving.entry(server).or_insert(now_ms);
                }
                member::Output::Changed { .. } | member::Output::Paused(_) => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: &HostName, message: Message) {
        let Some(index) = self.slots.iter().position(|s| s.name == *to) else {
            return;
        };
        if self.measure {
            self.count(from, &message);
        }
        if self.rng.random_bool(self.loss) {
            return;
        }
        let at = self.now_ms + self.rng.random_range(1..=5);
        self.sequence += 1;
        let parcel = Parcel {
            from,
            incarnation: self.slots[from].incarnation,
            to: index,
            message,
        };
        self.queue.insert((at, self.sequence), parcel);
    }

    fn count(&mut self, from: usize, message: &Message) {
        use briarbank_core::conf::Message as Conf;
        self.whole_values += u64::from(matches!(message, Message::Conf(Conf::Value { .. })));
        self.deltas += u64::from(matches!(message, Message::Conf(Conf::Delta { .. })));
        let slot = &mut self.slots[from];
        let envelope = Envelope {
            from: slot.name.clone(),
            address: ([127, 0, 0, 1], 1).into(),
            incarnation: Incarnation(u64::MAX),
            message: message.clone(),
        };
        let config = bincode::config::standard();
        let bytes = bincode::serde::encode_to_vec(&envelope, config).expect("encodable");
        slot.sent_messages += 1;
        slot.sent_bytes += bytes.len() as u64;
        if matches!(envelope.message, Message::Member(_)) {
            slot.sent_member_bytes += bytes.len() as u64;
        }
    }
}
