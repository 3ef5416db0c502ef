//! The state machine of membership.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::hosts::HostView;
use crate::ids::{HostName, Incarnation, ServerName};
use crate::member::leaving_servers::LeavingServers;
use crate::member::message::{Message, Status};
use crate::member::options::Options;
use crate::member::probe::Probes;
use crate::member::record::Record;
use crate::member::rumor::Rumors;
use crate::overlay::Overlay;
use crate::timer::Timer;

/// What membership orders or reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message to another node; it may be lost.
    Send {
        /// To whom.
        to: HostName,
        /// What.
        message: Message,
    },
    /// A server is leaving; give it no new work.
    ServerLeaving(ServerName),
    /// The belief about a host changed, or its process started anew.
    Changed {
        /// Which host.
        host: HostName,
        /// Run of its process.
        incarnation: Incarnation,
        /// The belief.
        status: Status,
    },
    /// This process was paused for so long; nothing timed may be trusted.
    Paused(Duration),
}

/// Which hosts take part, as believed by one node.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use briarbank_core::hosts::{Host, HostState, HostView};
/// use briarbank_core::ids::{HostName, Incarnation, Revision};
/// use briarbank_core::member::{Members, Options};
///
/// let host = |name: &str| Host {
///     name: name.into(),
///     zone: "recife".into(),
///     peer_address: "10.0.0.1:7000".parse().unwrap(),
///     state: HostState::Live,
/// };
/// let view = HostView::new(Revision(1), vec![host("a"), host("b")]);
/// let mut now = Instant::now();
/// let mut members = Members::new("a".into(), Incarnation(7), Options::default(), 1);
/// members.set_hosts(now, &view);
/// assert!(members.usable(&"b".into()));
/// // Nobody carries the messages: b is suspected, then dead.
/// for _ in 0..100 {
///     now += Duration::from_millis(100);
///     members.tick(now, &mut Vec::new());
/// }
/// assert!(!members.usable(&"b".into()));
/// assert_eq!(members.live_count(), 1);
/// ```
#[derive(Debug)]
pub struct Members {
    pub(crate) host: HostName,
    pub(crate) incarnation: Incarnation,
    pub(crate) options: Options,
    pub(crate) rng: SmallRng,
    pub(crate) round: u32,
    pub(crate) leaving: bool,
    pub(crate) listed: bool,
    pub(crate) records: BTreeMap<HostName, Record>,
    /// Hosts with failed probes or under suspicion.
    pub(crate) unconfirmed: BTreeSet<HostName>,
    pub(crate) leaving_servers: LeavingServers,
    pub(crate) rumors: Rumors,
    pub(crate) probes: Probes,
    pub(crate) overlay: Overlay,
    pub(crate) digest: u64,
    pub(crate) next_ring: usize,
    pub(crate) next_belief: usize,
    pub(crate) pushes: u32,
    pub(crate) ticked: Option<Instant>,
    pub(crate) next_probe: Timer,
    pub(crate) next_dead_probe: Timer,
    pub(crate) next_draw: Timer,
    pub(crate) next_beliefs: Timer,
    pub(crate) next_push: Timer,
}

impl Members {
    /// A node that knows no host list yet.
    #[must_use]
    pub fn new(host: HostName, incarnation: Incarnation, options: Options, seed: u64) -> Self {
        let mut members = Self {
            host,
            incarnation,
            pushes: options.push_burst,
            options,
            rng: SmallRng::seed_from_u64(seed),
            round: 0,
            leaving: false,
            listed: false,
            records: BTreeMap::new(),
            unconfirmed: BTreeSet::new(),
            leaving_servers: LeavingServers::default(),
            rumors: Rumors::default(),
            probes: Probes::default(),
            overlay: Overlay::default(),
            digest: 0,
            next_ring: 0,
            next_belief: 0,
            ticked: None,
            next_probe: Timer::default(),
            next_dead_probe: Timer::default(),
            next_draw: Timer::default(),
            next_beliefs: Timer::default(),
            next_push: Timer::default(),
        };
        members.rumors.add(members.own_update());
        members
    }

    /// Whether a host takes part, as far as is known here.
    #[must_use]
    pub fn usable(&self, host: &HostName) -> bool {
        if *host == self.host {
            return self.listed && !self.leaving;
        }
        self.records.get(host).is_some_and(Record::usable)
    }

    /// Number of hosts that take part, this one included.
    #[must_use]
    pub fn live_count(&self) -> usize {
        let others = self.records.values().filter(|r| r.usable()).count();
        others + usize::from(self.usable(&self.host))
    }

    /// What is believed of a host, with the run that it is believed of.
    #[must_use]
    pub fn status(&self, host: &HostName) -> Option<(Incarnation, Status)> {
        let record = self.records.get(host)?;
        Some((record.incarnation, record.status))
    }

    /// Servers that are known to be leaving.
    pub fn leaving_servers(&self) -> impl Iterator<Item = &ServerName> {
        self.leaving_servers.names()
    }

    /// Takes the host list in force.
    pub fn set_hosts(&mut self, now: Instant, view: &HostView) {
        self.listed = view.live().any(|h| h.name == self.host);
        self.records.retain(|name, _| view.contains(name));
        for host in view.hosts.iter().filter(|h| h.name != self.host) {
            let record = self.records.entry(host.name.clone());
            let record = record.or_insert_with(|| Record::new(now, host.state));
            record.published = host.state;
        }
        self.overlay.set_hosts(&self.host, view);
        self.next_draw.make_due();
        self.hash();
    }

    /// A connection to a host broke or was refused: it is probed at once.
    pub fn connection_lost(&mut self, _now: Instant, host: &HostName) {
        if let Some(record) = self.records.get_mut(host) {
            record.failures = record.failures.max(1);
            self.unconfirmed.insert(host.clone());
        }
    }

    /// This node is stopping as planned.
    pub fn leave(&mut self, _now: Instant, out: &mut Vec<Output>) {
        self.leaving = true;
        self.rumors.add(self.own_update());
        self.push(out);
    }

    /// A server told this node that it is leaving.
    pub fn server_leaving(&mut self, now: Instant, server: ServerName, out: &mut Vec<Output>) {
        self.record_leaving_server(now, server, 0, out);
    }

    /// Takes a message from another node.
    pub fn handle_message(
        &mut self,
        now: Instant,
        from: &HostName,
        incarnation: Incarnation,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        self.record_contact(now, from, incarnation, out);
        match message {
            Message::Probe {
                number,
                digest,
                updates,
            } => {
                self.learn(now, updates, out);
                let answer = Message::Answer {
                    number,
                    digest: self.digest,
                    updates: self.take_updates(),
                };
                send(out, from, answer);
                self.compare(now, from, digest, out);
            }
            Message::Answer {
                number,
                digest,
                updates,
            } => {
                self.learn(now, updates, out);
                self.answered(number, out);
                self.compare(now, from, digest, out);
            }
            Message::ProbeFor(target) => self.probe(now, &target, Some(from), out),
            Message::AnswerFor(target) => self.clear(&target),
            Message::Updates(updates) => self.learn(now, updates, out),
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Instant, out: &mut Vec<Output>) {
        self.wake(now, out);
        if self.leaving_servers.expire(now, self.options.leaving_ttl) {
            self.hash();
        }
        if self.next_draw.is_due(now) {
            self.draw(now);
        }
        self.check_unconfirmed(now, out);
        if self.next_probe.is_due(now) {
            let pause = self.rng.random_range(0.75..1.25);
            self.next_probe
                .schedule(now, self.options.probe_interval.mul_f64(pause));
            self.probe_peers(now, out);
        }
        if self.next_dead_probe.is_due(now) {
            self.probe_dead(now, out);
        }
        self.refill_pushes(now);
        if self.rumors.fresh() {
            self.push(out);
        }
    }

    /// After a pause, starts all that is timed anew and objects to suspicion.
    pub(crate) fn wake(&mut self, now: Instant, out: &mut Vec<Output>) {
        let before = self.ticked.replace(now).unwrap_or(now);
        let pause = now.saturating_duration_since(before);
        if pause < self.options.pause {
            return;
        }
        self.probes.clear();
        for record in self.records.values_mut() {
            record.failures = 0;
            record.since = now;
        }
        self.round = self.round.saturating_add(1);
        self.rumors.add(self.own_update());
        out.push(Output::Paused(pause));
    }

    pub(crate) fn draw(&mut self, now: Instant) {
        self.next_draw.schedule(now, self.options.redraw);
        let Options {
            ring_peers,
            random_peers,
            ..
        } = self.options;
        let records = &self.records;
        let usable = |name: &HostName| records.get(name).is_some_and(Record::usable);
        self.overlay
            .redraw(&mut self.rng, ring_peers, random_peers, usable);
    }
}

pub(crate) fn send(out: &mut Vec<Output>, to: &HostName, message: Message) {
    out.push(Output::Send {
        to: to.clone(),
        message,
    });
}
