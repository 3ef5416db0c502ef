//! Detection of hosts that do not answer.

use std::time::Instant;

use rand::Rng;
use rand::seq::IteratorRandom;

use crate::ids::HostName;
use crate::member::members::{Members, Output, send};
use crate::member::message::{Message, Status};
use crate::member::record::Record;

impl Members {
    /// Probes the next ring peer and a random peer.
    pub(crate) fn probe_peers(&mut self, now: Instant, out: &mut Vec<Output>) {
        self.next_ring += 1;
        let (ring, random) = (self.overlay.ring(), self.overlay.random());
        let next = self.next_ring.checked_rem(ring.len());
        let targets = [
            next.and_then(|index| ring.get(index)),
            random.iter().choose(&mut self.rng),
        ];
        let targets: Vec<HostName> = targets.into_iter().flatten().cloned().collect();
        for target in targets {
            if !self.probes.waits_for(&target) {
                self.probe(now, &target, None, out);
            }
        }
    }

    /// Probes one dead host, in case it is back.
    ///
    /// With few dead hosts each node probes less often, so that the whole
    /// fleet does not probe them.
    pub(crate) fn probe_dead(&mut self, now: Instant, out: &mut Vec<Output>) {
        let dead = |record: &Record| record.status == Status::Dead;
        let dead = self.records.iter().filter(|(_, record)| dead(record));
        let dead: Vec<&HostName> = dead.map(|(name, _)| name).collect();
        let target = dead.iter().choose(&mut self.rng).copied().cloned();
        let interval = self.options.dead_probe_interval;
        let dead_per_interval = dead.len().max(1) as f64 * interval.as_secs_f64();
        let nodes_per_probe = (self.records.len() as f64 / dead_per_interval).max(1.0);
        let pause = interval.mul_f64(nodes_per_probe * self.rng.random_range(0.5..1.5));
        self.next_dead_probe.schedule(now, pause);
        if let Some(target) = target {
            self.probe(now, &target, None, out);
        }
    }

    pub(crate) fn probe(
        &mut self,
        now: Instant,
        target: &HostName,
        asker: Option<&HostName>,
        out: &mut Vec<Output>,
    ) {
        let Some(record) = self.records.get(target) else {
            return;
        };
        // The accused hears of it first, so that it can object.
        let accused = matches!(record.status, Status::Suspect | Status::Dead);
        let mut updates = Vec::from_iter(accused.then(|| record.update(target)));
        let Some(number) = self.probes.add(now, target, asker.cloned()) else {
            return;
        };
        updates.extend(self.take_updates());
        let message = Message::Probe {
            number,
            digest: self.digest,
            updates,
        };
        send(out, target, message);
    }

    /// Counts probes without an answer, and looks after hosts in doubt.
    pub(crate) fn check_unconfirmed(&mut self, now: Instant, out: &mut Vec<Output>) {
        for target in self.probes.expire(now, self.options.answer_timeout) {
            if let Some(record) = self.records.get_mut(&target) {
                record.failures += 1;
                self.unconfirmed.insert(target);
            }
        }
        let records = &self.records;
        self.unconfirmed
            .retain(|host| records.get(host).is_some_and(Record::unconfirmed));
        for host in self.unconfirmed.clone() {
            self.review_host(now, &host, out);
        }
    }

    /// Probes a doubted host with the help of others, until it is suspected and then dead.
    fn review_host(&mut self, now: Instant, host: &HostName, out: &mut Vec<Output>) {
        let Some(record) = self.records.get(host) else {
            return;
        };
        if record.status == Status::Suspect {
            if now >= record.since + self.options.suspect_timeout {
                self.set_status(now, host, Status::Dead, out);
            }
        } else if record.failures >= self.options.failures_max {
            self.set_status(now, host, Status::Suspect, out);
        } else if !self.probes.waits_for(host) {
            self.probe(now, host, None, out);
            self.request_indirect_probes(host, out);
        }
    }

    pub(crate) fn request_indirect_probes(&mut self, target: &HostName, out: &mut Vec<Output>) {
        let peers = self.overlay.peers().filter(|p| *p != target);
        for helper in peers.choose_multiple(&mut self.rng, self.options.indirect_probers) {
            send(out, helper, Message::ProbeFor(target.clone()));
        }
    }

    pub(crate) fn answered(&mut self, number: u64, out: &mut Vec<Output>) {
        let Some(probe) = self.probes.end(number) else {
            return;
        };
        self.clear(&probe.target);
        if let Some(asker) = probe.asker {
            send(out, &asker, Message::AnswerFor(probe.target));
        }
    }

    /// Forgets failed probes of a host.
    pub(crate) fn clear(&mut self, host: &HostName) {
        self.probes.end_all(host);
        if let Some(record) = self.records.get_mut(host) {
            record.failures = 0;
        }
    }
}
