//! Servers that said that they are leaving.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ids::ServerName;
use crate::member::message::Update;

/// Most servers remembered.
const SERVERS_MAX: usize = 4_096;

/// Age after which a sign of the same server counts as a new departure.
const REPEAT_S: u64 = 30;

/// Servers that said that they are leaving, with the time of the sign.
///
/// The age of a sign travels with it, so that all nodes forget it together.
#[derive(Debug, Default)]
pub(crate) struct LeavingServers {
    servers: BTreeMap<ServerName, Instant>,
}

impl LeavingServers {
    /// Takes a sign that is `age` old; returns whether it is news.
    pub(crate) fn add(
        &mut self,
        now: Instant,
        server: &ServerName,
        age: Duration,
        ttl: Duration,
    ) -> bool {
        let Some(signed) = now.checked_sub(age).filter(|_| age < ttl) else {
            return false;
        };
        let known = self.servers.get(server);
        if known.is_some_and(|known| signed < *known + Duration::from_secs(REPEAT_S)) {
            return false;
        }
        if known.is_none() && self.servers.len() >= SERVERS_MAX {
            return false;
        }
        self.servers.insert(server.clone(), signed);
        true
    }

    /// Forgets signs older than `ttl`; returns whether any was.
    pub(crate) fn expire(&mut self, now: Instant, ttl: Duration) -> bool {
        let before = self.servers.len();
        self.servers
            .retain(|_, signed| now.saturating_duration_since(*signed) < ttl);
        before != self.servers.len()
    }

    /// All signs as news.
    pub(crate) fn updates(&self, now: Instant) -> impl Iterator<Item = Update> {
        self.servers
            .iter()
            .map(move |(server, signed)| Update::ServerLeaving {
                server: server.clone(),
                age_s: now.saturating_duration_since(*signed).as_secs() as u32,
            })
    }

    /// Names of the servers.
    pub(crate) fn names(&self) -> impl Iterator<Item = &ServerName> {
        self.servers.keys()
    }
}
