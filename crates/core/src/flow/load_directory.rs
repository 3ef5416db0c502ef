//! Exact load of servers, kept by their home nodes.
//!
//! In a large fleet a node learns of the load of others by gossip seconds late. So each
//! server has a home: one live node, the same for all by rendezvous hashing, as in the
//! home-based directories of cache coherence. A node reports each change of its load
//! on a server to the server's home, and asks the homes of a few servers before it
//! chooses one of them.
//!
//! The directory is soft state: reports replace each other, are repeated and expire, and
//! a node that gets no answer decides by gossip. Homes need not be agreed upon.
//!
//! Source: Lenoski et al., "The directory-based cache coherence protocol for the DASH
//! multiprocessor", 1990.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use crate::flow::load::Load;
use crate::flow::message::{LoadReport, ServerLoad};

/// Time between two reports of a load that does not change.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(320);

/// Age at which a report expires: several of them were lost, or the node failed.
const REPORT_TTL: Duration = Duration::from_millis(1_500);

/// Time after which all nodes have reported to a new home.
const SETTLING_TIME: Duration = Duration::from_millis(700);

/// Time without reports and queries after which a server is forgotten.
const SERVER_TTL: Duration = Duration::from_secs(30);

/// Servers that a node keeps loads of; further ones are ignored.
const SERVERS_MAX: usize = 8_192;

/// Nodes whose load on one server is kept; further ones are ignored.
const NODES_MAX: usize = 4_096;

/// Loads of the servers that this node is the home of.
#[derive(Debug, Default)]
pub struct LoadDirectory {
    servers: HashMap<u32, Entry>,
}

#[derive(Debug)]
struct Entry {
    /// Time of the first report or query.
    since: Instant,
    used_at: Instant,
    reports: HashMap<SocketAddrV4, Reported>,
}

#[derive(Debug)]
struct Reported {
    at: Instant,
    /// Incarnation of the node and number of the report.
    version: (u64, u32),
    load: ServerLoad,
}

impl LoadDirectory {
    /// Records the loads of a report that are newer than those known.
    pub fn record(&mut self, now: Instant, report: &LoadReport) {
        let version = (report.incarnation, report.sequence);
        for load in &report.loads {
            let Some(entry) = self.entry(now, load.server_key) else {
                continue;
            };
            let is_known = entry.reports.contains_key(&report.sender);
            if !is_known && entry.reports.len() >= NODES_MAX {
                continue;
            }
            let reported = entry.reports.entry(report.sender);
            let reported = reported.or_insert(Reported {
                at: now,
                version,
                load: *load,
            });
            if version >= reported.version {
                *reported = Reported {
                    at: now,
                    version,
                    load: *load,
                };
            }
        }
    }

    /// Returns the sum of the loads that nodes other than `asker` have put on a server.
    ///
    /// Returns `None` while this node may have become the home of the server just now,
    /// since the other nodes need time to report to it. The live nodes are the same since
    /// `stable_since`.
    pub fn load(
        &mut self,
        now: Instant,
        server_key: u32,
        asker: SocketAddrV4,
        stable_since: Instant,
    ) -> Option<ServerLoad> {
        let entry = self.entry(now, server_key)?;
        let home_since = entry.since.min(stable_since);
        if now.saturating_duration_since(home_since) < SETTLING_TIME {
            return None;
        }
        let is_fresh = |r: &Reported| now.saturating_duration_since(r.at) < REPORT_TTL;
        let others = entry.reports.iter().filter(|(node, _)| **node != asker);
        let mut sum = Load::default();
        for (_, reported) in others.filter(|(_, r)| is_fresh(r)) {
            sum.add(&reported.load, 1.0);
        }
        Some(ServerLoad {
            server_key,
            running: sum.running as u16,
            short_prompts: sum.short_prompts as u16,
            pending_tokens: sum.pending_tokens as u32,
            tokens_per_s: sum.tokens_per_s as u32,
        })
    }

    /// Drops expired reports and servers that are no longer used.
    pub fn expire(&mut self, now: Instant) {
        let is_used = |at: Instant| now.saturating_duration_since(at) < SERVER_TTL;
        self.servers.retain(|_, entry| is_used(entry.used_at));
        for entry in self.servers.values_mut() {
            let is_fresh = |r: &Reported| now.saturating_duration_since(r.at) < REPORT_TTL;
            entry.reports.retain(|_, reported| is_fresh(reported));
        }
    }

    /// Returns the number of servers whose load is kept.
    #[must_use]
    pub fn server_count(&self) -> usize {
        self.servers.len()
    }

    /// Forgets all loads, which are out of date after a pause of the process.
    pub fn clear(&mut self) {
        self.servers.clear();
    }

    fn entry(&mut self, now: Instant, server_key: u32) -> Option<&mut Entry> {
        if self.servers.len() >= SERVERS_MAX && !self.servers.contains_key(&server_key) {
            return None;
        }
        let entry = self.servers.entry(server_key).or_insert_with(|| Entry {
            since: now,
            used_at: now,
            reports: HashMap::new(),
        });
        entry.used_at = now;
        Some(entry)
    }
}
