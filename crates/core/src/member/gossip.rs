//! Gossip: dissemination of updates and anti-entropy between nodes.

use std::time::{Duration, Instant};

use crate::ids::{HostName, Incarnation, ServerName};
use crate::member::members::{Members, Output, send};
use crate::member::message::{Message, Status, Update};
use crate::member::record::{Merge, Record};
use crate::rendezvous;

/// Number of times one update is sent for each doubling of the fleet.
const SENDS_PER_DOUBLING: u32 = 3;

impl Members {
    pub(crate) fn apply_updates(
        &mut self,
        now: Instant,
        updates: Vec<Update>,
        out: &mut Vec<Output>,
    ) {
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
                        Merge::Newer => self.report_change(&host, out),
                        Merge::Unconfirmed => _ = self.unconfirmed.insert(host),
                        Merge::Known | Merge::Older => {}
                    }
                }
            }
        }
    }

    /// Refutes a suspicion of this node, or an update on another incarnation of it.
    ///
    /// The round is incremented only if the current incarnation is suspected in
    /// its latest round.
    pub(crate) fn refute(&mut self, incarnation: Incarnation, round: u32, status: Status) {
        let is_suspected = matches!(status, Status::Suspect | Status::Dead);
        let same_incarnation = incarnation == self.incarnation;
        if same_incarnation && is_suspected && round >= self.round {
            self.round = round.saturating_add(1);
        }
        // A peer that suspects an older round or incarnation has missed the update
        // on this one.
        if is_suspected || !same_incarnation {
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
            self.update_digest();
            out.push(Output::ServerLeaving(server_name));
        }
    }

    /// Takes the updates to piggyback on one message.
    pub(crate) fn take_updates(&mut self) -> Vec<Update> {
        let doublings = (self.records.len() + 2).ilog2() + 1;
        let times_max = SENDS_PER_DOUBLING * doublings;
        let mut updates = Vec::from_iter(self.leaving.then(|| self.own_update()));
        updates.extend(self.rumors.take(self.options.updates_bytes_max, times_max));
        updates
    }

    /// Sends unsent updates to all peers, within the rate limit.
    pub(crate) fn push_updates(&mut self, out: &mut Vec<Output>) {
        if self.pushes_left == 0 {
            return;
        }
        self.pushes_left -= 1;
        let updates = self.take_updates();
        for peer in self.overlay.peers() {
            send(out, peer, Message::Updates(updates.clone()));
        }
    }

    pub(crate) fn refill_pushes(&mut self, now: Instant) {
        if self.next_push.is_due(now) {
            self.next_push.schedule(now, self.options.push_interval);
            self.pushes_left = (self.pushes_left + 1).min(self.options.push_burst);
        }
    }

    /// Sends dead and leaving entries to a peer whose digest differs.
    ///
    /// Entries that do not fit into one message are left for the next ones.
    pub(crate) fn sync_with_peer(
        &mut self,
        now: Instant,
        from: &HostName,
        digest: u64,
        out: &mut Vec<Output>,
    ) {
        if digest == self.digest || !self.next_sync.is_due(now) {
            return;
        }
        self.next_sync.schedule(now, self.options.sync_interval);
        let hosts = self.records.iter().filter(|(_, r)| out_of_service(r));
        let hosts = hosts.map(|(name, r)| r.update(name));
        let entries: Vec<Update> = hosts.chain(self.leaving_servers.updates(now)).collect();
        if entries.is_empty() {
            return;
        }
        let start = self.sync_position % entries.len();
        let mut bytes = 0;
        let window = entries.iter().cycle().skip(start).take(entries.len());
        let window = window.take_while(|update| {
            bytes += update.size_bytes();
            bytes <= self.options.updates_bytes_max
        });
        let updates: Vec<Update> = window.cloned().collect();
        self.sync_position = start + updates.len();
        send(out, from, Message::Updates(updates));
    }

    /// Recomputes the digest, an order-independent hash of dead and leaving entries.
    pub(crate) fn update_digest(&mut self) {
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
