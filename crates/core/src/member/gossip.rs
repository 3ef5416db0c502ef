//! Exchange of beliefs between nodes.

use std::time::{Duration, Instant};

use crate::ids::{HostName, Incarnation, ServerName};
use crate::member::members::{Members, Output, send};
use crate::member::message::{Message, Status, Update};
use crate::member::record::{Merge, Record};
use crate::rendezvous;

/// Times that one piece of news is told for each doubling of the fleet.
const TELLS_PER_DOUBLING: u32 = 3;

impl Members {
    pub(crate) fn learn(&mut self, now: Instant, updates: Vec<Update>, out: &mut Vec<Output>) {
        for item in updates {
            match item {
                Update::ServerLeaving { server, age_s } => {
                    self.record_leaving_server(now, server, age_s, out);
                }
                Update::Host {
                    host,
                    incarnation,
                    round,
                    status,
                } if host == self.host => self.refute(incarnation, round, status),
                Update::Host {
                    host,
                    incarnation,
                    round,
                    status,
                } => {
                    let Some(record) = self.records.get_mut(&host) else {
                        continue;
                    };
                    let merge = record.merge(now, incarnation, round, status);
                    if merge != Merge::Known {
                        self.rumors.add(record.update(&host));
                    }
                    match merge {
                        Merge::Newer => self.changed(&host, out),
                        Merge::Doubt => _ = self.unconfirmed.insert(host),
                        Merge::Known | Merge::Older => {}
                    }
                }
            }
        }
    }

    /// Objects to what others believe of this node.
    pub(crate) fn refute(&mut self, incarnation: Incarnation, round: u32, status: Status) {
        let accused = matches!(status, Status::Suspect | Status::Dead);
        let same_run = incarnation == self.incarnation;
        if same_run && accused && round >= self.round {
            self.round = round.saturating_add(1);
        }
        // Who accuses an older round or run has missed the news of this one.
        if accused || !same_run {
            self.rumors.add(self.own_update());
        }
    }

    pub(crate) fn own_update(&self) -> Update {
        Update::Host {
            host: self.host.clone(),
            incarnation: self.incarnation,
            round: self.round,
            status: if self.leaving {
                Status::Leaving
            } else {
                Status::Live
            },
        }
    }

    pub(crate) fn record_leaving_server(
        &mut self,
        now: Instant,
        server: ServerName,
        age_s: u32,
        out: &mut Vec<Output>,
    ) {
        let age = Duration::from_secs(age_s.into());
        if self
            .leaving_servers
            .add(now, &server, age, self.options.leaving_ttl)
        {
            let server_name = server.clone();
            self.rumors.add(Update::ServerLeaving { server, age_s });
            self.hash();
            out.push(Output::ServerLeaving(server_name));
        }
    }

    /// News for one message.
    pub(crate) fn take_updates(&mut self) -> Vec<Update> {
        let doublings = (self.records.len() + 2).ilog2() + 1;
        let times_max = TELLS_PER_DOUBLING * doublings;
        let mut updates = Vec::from_iter(self.leaving.then(|| self.own_update()));
        updates.extend(self.rumors.take(self.options.updates_bytes_max, times_max));
        updates
    }

    /// Tells all peers fresh news, within the bound.
    pub(crate) fn push(&mut self, out: &mut Vec<Output>) {
        if self.pushes == 0 {
            return;
        }
        self.pushes -= 1;
        let updates = self.take_updates();
        for peer in self.overlay.peers() {
            send(out, peer, Message::Updates(updates.clone()));
        }
    }

    pub(crate) fn refill_pushes(&mut self, now: Instant) {
        if self.next_push.is_due(now) {
            self.next_push.schedule(now, self.options.push_interval);
            self.pushes = (self.pushes + 1).min(self.options.push_burst);
        }
    }

    /// Sends a part of all beliefs to a peer that believes otherwise.
    pub(crate) fn compare(
        &mut self,
        now: Instant,
        from: &HostName,
        digest: u64,
        out: &mut Vec<Output>,
    ) {
        if digest == self.digest || !self.next_beliefs.is_due(now) {
            return;
        }
        self.next_beliefs
            .schedule(now, self.options.beliefs_interval);
        let hosts = self.records.iter().filter(|(_, r)| out_of_service(r));
        let hosts = hosts.map(|(name, r)| r.update(name));
        let beliefs: Vec<Update> = hosts.chain(self.leaving_servers.updates(now)).collect();
        if beliefs.is_empty() {
            return;
        }
        let start = self.next_belief % beliefs.len();
        let mut bytes = 0;
        let window = beliefs.iter().cycle().skip(start).take(beliefs.len());
        let window = window.take_while(|update| {
            bytes += update.size_bytes();
            bytes <= self.options.updates_bytes_max
        });
        let updates: Vec<Update> = window.cloned().collect();
        self.next_belief = start + updates.len();
        send(out, from, Message::Updates(updates));
    }

    /// Computes the hash of what is believed; it does not depend on the order.
    pub(crate) fn hash(&mut self) {
        let hosts = self.records.iter().filter(|(_, r)| out_of_service(r));
        let hosts = hosts
            .map(|(name, r)| rendezvous::weight(r.incarnation.0 ^ r.status as u64, name.as_str()));
        let servers = self.leaving_servers.names();
        let servers = servers.map(|name| rendezvous::weight(0, name.as_str()));
        self.digest = hosts.chain(servers).fold(0, |all, hash| all ^ hash);
    }
}

fn out_of_service(record: &Record) -> bool {
    matches!(record.status, Status::Dead | Status::Leaving)
}
