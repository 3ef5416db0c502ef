//! Which servers a node can't connect to, and which of them it reaches through others.
//!
//! A server that can't be connected to may be down, or cut off from this node alone. Only
//! a connection through another node tells them apart: where that one works, the path of
//! this node is broken, and the server is not at fault.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::ids::ServerName;
use crate::rendezvous;

/// Time between two attempts to connect directly over a broken path.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which a path that is not used counts as unknown.
const UNUSED_MAX: Duration = Duration::from_secs(5);

/// Largest number of servers that a node names in its heartbeats.
const NAMED_MAX: usize = 32;

/// What a node says in heartbeats of its paths to servers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PathStatement {
    /// Number of servers that it does not reach directly.
    pub unreached: u16,
    /// Hashes of the names of some of them.
    pub server_keys: Vec<u32>,
}

/// Returns the hash by which nodes name a server to each other.
pub(crate) fn server_key(server: &ServerName) -> u32 {
    (rendezvous::key(server.as_str().as_bytes()) >> 32) as u32
}

/// A path over which no direct connection could be opened lately.
#[derive(Clone, Copy, Debug)]
struct FailedPath {
    used_at: Instant,
    check_at: Instant,
    /// Whether the server is reached through another node.
    is_relayed: bool,
}

/// Paths from this node to servers that can't be used.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use briarbank_core::flow::ServerPaths;
///
/// let (mut paths, now, server) = (ServerPaths::default(), Instant::now(), "a".into());
/// assert!(paths.should_try_directly(now, &server));
/// paths.record_failure(now, &server);
/// assert!(paths.record_relayed(now, &server));
/// assert!(!paths.should_try_directly(now, &server));
/// assert!(paths.should_try_directly(now + Duration::from_secs(1), &server));
/// ```
#[derive(Debug, Default)]
pub struct ServerPaths {
    failed: BTreeMap<ServerName, FailedPath>,
}

impl ServerPaths {
    /// Returns whether a server is reached through another node only.
    #[must_use]
    pub fn is_broken(&self, server: &ServerName) -> bool {
        self.failed.get(server).is_some_and(|path| path.is_relayed)
    }

    /// Returns whether to connect directly; over a broken path that is tried now and then.
    pub fn should_try_directly(&mut self, now: Instant, server: &ServerName) -> bool {
        let Some(path) = self.failed.get_mut(server) else {
            return true;
        };
        path.used_at = now;
        if !path.is_relayed {
            return true;
        }
        let is_due = now >= path.check_at;
        if is_due {
            path.check_at = now + CHECK_INTERVAL;
        }
        is_due
    }

    /// Records that a server could not be connected to directly.
    pub fn record_failure(&mut self, now: Instant, server: &ServerName) {
        self.failed_path(now, server).used_at = now;
    }

    /// Records that a server was reached through another node; true if that is new.
    pub fn record_relayed(&mut self, now: Instant, server: &ServerName) -> bool {
        let path = self.failed_path(now, server);
        path.used_at = now;
        !std::mem::replace(&mut path.is_relayed, true)
    }

    fn failed_path(&mut self, now: Instant, server: &ServerName) -> &mut FailedPath {
        let path = FailedPath {
            used_at: now,
            check_at: now + CHECK_INTERVAL,
            is_relayed: false,
        };
        self.failed.entry(server.clone()).or_insert(path)
    }

    /// Records a direct connection; true if the path was broken.
    pub fn record_direct(&mut self, server: &ServerName) -> bool {
        self.failed
            .remove(server)
            .is_some_and(|path| path.is_relayed)
    }

    /// Forgets paths that were not used for a while, as their servers may be gone.
    pub fn expire(&mut self, now: Instant) {
        self.failed
            .retain(|_, path| now.saturating_duration_since(path.used_at) < UNUSED_MAX);
    }

    /// Returns what to say in heartbeats.
    #[must_use]
    pub fn statement(&self) -> PathStatement {
        let names = self.failed.keys().take(NAMED_MAX);
        PathStatement {
            unreached: u16::try_from(self.failed.len()).unwrap_or(u16::MAX),
            server_keys: names.map(server_key).collect(),
        }
    }

    /// Iterates over the servers that are reached only through others.
    pub fn broken(&self) -> impl Iterator<Item = &ServerName> {
        let broken = self.failed.iter().filter(|(_, path)| path.is_relayed);
        broken.map(|(server, _)| server)
    }
}
