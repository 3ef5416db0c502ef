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

/// An action or a report of [`Members`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Sends a message to another node; it may be lost.
    Send {
        /// Receiver.
        to: HostName,
        /// Message to send.
        message: Message,
    },
    /// A server is leaving and must get no new work.
    ServerLeaving(ServerName),
    /// The status of a host changed, or its process restarted.
    Changed {
        /// Host concerned.
        host: HostName,
        /// Incarnation of its process.
        incarnation: Incarnation,
        /// Current status.
        status: Status,
    },
    /// This process was paused for this long; its timeouts are not meaningful.
    Paused(Duration),
}

/// Membership of the fleet as seen by one node.
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
/// // No message is delivered: b is suspected, then dead.
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
    pub(crate) ring_position: usize,
    pub(crate) sync_position: usize,
    pub(crate) pushes_left: u32,
    pub(crate) last_tick: Option<Instant>,
    pub(crate) next_probe: Timer,
    pub(crate) next_dead_probe: Timer,
    pub(crate) next_redraw: Timer,
    pub(crate) next_sync: Timer,
    pub(crate) next_push: Timer,
}

impl Members {
    /// Creates the membership of a node without a host list.
    #[must_use]
    pub fn new(host: HostName, incarnation: Incarnation, options: Options, seed: u64) -> Self {
        let mut members = Self {
            host,
            incarnation,
            pushes_left: options.push_burst,
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
            ring_position: 0,
            sync_position: 0,
            last_tick: None,
            next_probe: Timer::default(),
            next_dead_probe: Timer::default(),
            next_redraw: Timer::default(),
            next_sync: Timer::default(),
            next_push: Timer::default(),
        };
        members.rumors.add(members.own_update());
        members
    }

    /// Whether a host is a live member, as far as this node knows.
    #[must_use]
    pub fn usable(&self, host: &HostName) -> bool {
        if *host == self.host {
            return self.listed && !self.leaving;
        }
        self.records.get(host).is_some_and(Record::usable)
    }

    /// Number of live members, including this host.
    #[must_use]
    pub fn live_count(&self) -> usize {
        let others = self.records.values().filter(|r| r.usable()).count();
        others + usize::from(self.usable(&self.host))
    }

    /// Returns the status of a host and the incarnation it applies to.
    #[must_use]
    pub fn status(&self, host: &HostName) -> Option<(Incarnation, Status)> {
        let record = self.records.get(host)?;
        Some((record.incarnation, record.status))
    }

    /// Returns the servers that are known to be leaving.
    pub fn leaving_servers(&self) -> impl Iterator<Item = &ServerName> {
        self.leaving_servers.names()
    }

    /// Replaces the published host list.
    pub fn set_hosts(&mut self, now: Instant, view: &HostView) {
        self.listed = view.live().any(|h| h.name == self.host);
        self.records.retain(|name, _| view.contains(name));
        for host in view.hosts.iter().filter(|h| h.name != self.host) {
            let record = self.records.entry(host.name.clone());
            let record = record.or_insert_with(|| Record::new(now, host.state));
            record.published = host.state;
        }
        self.overlay.set_hosts(&self.host, view);
        self.next_redraw.make_due();
        self.update_digest();
    }

    /// Records a broken or refused connection; the host is probed at the next tick.
    pub fn connection_lost(&mut self, _now: Instant, host: &HostName) {
        if let Some(record) = self.records.get_mut(host) {
            record.failures = record.failures.max(1);
            self.unconfirmed.insert(host.clone());
        }
    }

    /// Announces the graceful shutdown of this node.
    pub fn leave(&mut self, _now: Instant, out: &mut Vec<Output>) {
        self.leaving = true;
        self.rumors.add(self.own_update());
        self.push_updates(out);
    }

    /// Records that a server announced to this node that it is leaving.
    pub fn server_leaving(&mut self, now: Instant, server: ServerName, out: &mut Vec<Output>) {
        self.record_leaving_server(now, server, 0, out);
    }

    /// Handles a message from another node.
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
                self.apply_updates(now, updates, out);
                let answer = Message::Answer {
                    number,
                    digest: self.digest,
                    updates: self.take_updates(),
                };
                send(out, from, answer);
                self.sync_with_peer(now, from, digest, out);
            }
            Message::Answer {
                number,
                digest,
                updates,
            } => {
                self.apply_updates(now, updates, out);
                self.handle_answer(number, out);
                self.sync_with_peer(now, from, digest, out);
            }
            Message::ProbeFor(target) => self.send_probe(now, &target, Some(from), out),
            Message::AnswerFor(target) => self.clear_failures(&target),
            Message::Updates(updates) => self.apply_updates(now, updates, out),
        }
    }

    /// Runs the work that is due.
    pub fn tick(&mut self, now: Instant, out: &mut Vec<Output>) {
        self.detect_pause(now, out);
        if self.leaving_servers.expire(now, self.options.leaving_ttl) {
            self.update_digest();
        }
        if self.next_redraw.is_due(now) {
            self.redraw_peers(now);
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
        if self.rumors.has_unsent() {
            self.push_updates(out);
        }
    }

    /// Restarts timeouts after a pause of the process and refutes suspicion.
    pub(crate) fn detect_pause(&mut self, now: Instant, out: &mut Vec<Output>) {
        let before = self.last_tick.replace(now).unwrap_or(now);
        let pause = now.saturating_duration_since(before);
        if pause < self.options.pause_min {
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

    pub(crate) fn redraw_peers(&mut self, now: Instant) {
        self.next_redraw.schedule(now, self.options.redraw_interval);
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
