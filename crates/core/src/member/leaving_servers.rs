//! Servers that announced that they are leaving.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ids::ServerName;
use crate::member::message::Update;

/// Maximum number of servers remembered.
const SERVERS_MAX: usize = 4_096;

/// Age after which another announcement of a server counts as a new departure.
const REANNOUNCE_AGE_S: u64 = 30;

/// Servers that announced that they are leaving, with the time of announcement.
///
/// An announcement is sent with its age, so that all nodes expire it at the
/// same time.
#[derive(Debug, Default)]
pub(crate) struct LeavingServers {
    servers: BTreeMap<ServerName, Instant>,
}

impl LeavingServers {
    /// Adds an announcement that is `age` old; returns whether it is new.
    pub(crate) fn add(
        &mut self,
        now: Instant,
        server: &ServerName,
        age: Duration,
        ttl: Duration,
    ) -> bool {
        let Some(announced) = now.checked_sub(age).filter(|_| age < ttl) else {
            return false;
        };
        let known = self.servers.get(server);
        if known.is_some_and(|known| announced < *known + Duration::from_secs(REANNOUNCE_AGE_S)) {
            return false;
        }
        if known.is_none() && self.servers.len() >= SERVERS_MAX {
            return false;
        }
        self.servers.insert(server.clone(), announced);
        true
    }

    /// Removes announcements older than `ttl`; returns whether there were any.
    pub(crate) fn expire(&mut self, now: Instant, ttl: Duration) -> bool {
        let before = self.servers.len();
        self.servers
            .retain(|_, announced| now.saturating_duration_since(*announced) < ttl);
        before != self.servers.len()
    }

    /// Returns all announcements as updates.
    pub(crate) fn updates(&self, now: Instant) -> impl Iterator<Item = Update> {
        self.servers
            .iter()
            .map(move |(server, announced)| Update::ServerLeaving {
                server: server.clone(),
                age_s: now.saturating_duration_since(*announced).as_secs() as u32,
            })
    }

    /// Returns the names of the servers.
    pub(crate) fn names(&self) -> impl Iterator<Item = &ServerName> {
        self.servers.keys()
    }
}
