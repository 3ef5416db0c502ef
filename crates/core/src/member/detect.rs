//! Failure detector: probes, indirect probes and suspicion.

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
        self.ring_position += 1;
        let (ring, random) = (self.overlay.ring(), self.overlay.random());
        let next = self.ring_position.checked_rem(ring.len());
        let targets = [
            next.and_then(|index| ring.get(index)),
            random.iter().choose(&mut self.rng),
        ];
        let targets: Vec<HostName> = targets.into_iter().flatten().cloned().collect();
        for target in targets {
            if !self.probes.is_probing(&target) {
                self.send_probe(now, &target, None, out);
            }
        }
    }

    /// Probes one random dead host, in case it is back.
    ///
    /// With few dead hosts each node probes less often, so that not every
    /// node of the fleet probes the same hosts.
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
            self.send_probe(now, &target, None, out);
        }
    }

    pub(crate) fn send_probe(
        &mut self,
        now: Instant,
        target: &HostName,
        requester: Option<&HostName>,
        out: &mut Vec<Output>,
    ) {
        let Some(record) = self.records.get(target) else {
            return;
        };
        // The suspected host receives the suspicion first, so that it can refute it.
        let is_suspected = matches!(record.status, Status::Suspect | Status::Dead);
        let mut updates = Vec::from_iter(is_suspected.then(|| record.update(target)));
        let Some(number) = self.probes.add(now, target, requester.cloned()) else {
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

    /// Counts expired probes and checks every unconfirmed host.
    pub(crate) fn check_unconfirmed(&mut self, now: Instant, out: &mut Vec<Output>) {
        for target in self.probes.expire(now, self.options.answer_timeout) {
            if let Some(record) = self.records.get_mut(&target) {
                record.failures += 1;
                self.unconfirmed.insert(target);
            }
        }
        let records = &self.records;
        self.unconfirmed
            .retain(|host| records.get(host).is_some_and(Record::is_unconfirmed));
        for host in self.unconfirmed.clone() {
            self.check_unconfirmed_host(now, &host, out);
        }
    }

    /// Probes an unconfirmed host, also indirectly, until it is suspected and then dead.
    fn check_unconfirmed_host(&mut self, now: Instant, host: &HostName, out: &mut Vec<Output>) {
        let Some(record) = self.records.get(host) else {
            return;
        };
        if record.status == Status::Suspect {
            if now >= record.since + self.options.suspect_timeout {
                self.set_status(now, host, Status::Dead, out);
            }
        } else if record.failures >= self.options.failures_max {
            self.set_status(now, host, Status::Suspect, out);
        } else if !self.probes.is_probing(host) {
            self.send_probe(now, host, None, out);
            self.request_indirect_probes(host, out);
        }
    }

    pub(crate) fn request_indirect_probes(&mut self, target: &HostName, out: &mut Vec<Output>) {
        let peers = self.overlay.peers().filter(|p| *p != target);
        for prober in peers.choose_multiple(&mut self.rng, self.options.indirect_probers) {
            send(out, prober, Message::ProbeFor(target.clone()));
        }
    }

    pub(crate) fn handle_answer(&mut self, number: u64, out: &mut Vec<Output>) {
        let Some(probe) = self.probes.remove(number) else {
            return;
        };
        self.clear_failures(&probe.target);
        if let Some(requester) = probe.requester {
            send(out, &requester, Message::AnswerFor(probe.target));
        }
    }

    /// Clears the failed and pending probes of a host.
    pub(crate) fn clear_failures(&mut self, host: &HostName) {
        self.probes.remove_direct(host);
        if let Some(record) = self.records.get_mut(host) {
            record.failures = 0;
        }
    }
}
