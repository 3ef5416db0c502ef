//! Published list of router hosts.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{HostName, Revision, ZoneName};

/// Whether a host participates or is being stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// Participates fully.
    Live,
    /// Finishes its work and accepts no new work.
    Leaving,
}

/// One router host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// Unique name.
    pub name: HostName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Address of its peer port.
    pub peer_address: SocketAddr,
    /// Published state.
    pub state: HostState,
}

/// One revision of the host list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostView {
    /// Revision assigned by the platform.
    pub revision: Revision,
    /// Hosts, sorted by name.
    pub hosts: Vec<Host>,
}

impl HostView {
    /// Creates a view and sorts its hosts by name.
    #[must_use]
    pub fn new(revision: Revision, mut hosts: Vec<Host>) -> Self {
        hosts.sort_by(|a, b| a.name.cmp(&b.name));
        Self { revision, hosts }
    }

    /// Returns the host with that name.
    #[must_use]
    pub fn get(&self, name: &HostName) -> Option<&Host> {
        let index = self.hosts.binary_search_by(|h| h.name.cmp(name)).ok()?;
        self.hosts.get(index)
    }

    /// Whether the list contains the host, live or leaving.
    #[must_use]
    pub fn contains(&self, name: &HostName) -> bool {
        self.get(name).is_some()
    }

    /// Hosts that are not leaving.
    pub fn live(&self) -> impl Iterator<Item = &Host> {
        self.hosts.iter().filter(|h| h.state == HostState::Live)
    }

    /// Smallest number of hosts that is more than half of the list.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.hosts.len() / 2 + 1
    }
}
