//! Documents published by operators: profiles, workspaces, targets and servers.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::ids::{ProfileName, Revision, ServerName, TargetName, WorkspaceName, ZoneName};

/// Number of service tiers; tier 0 is the highest.
pub const TIER_COUNT: u8 = 6;

/// A class of requests with common latency objectives.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    /// Unique name, sent by callers in a header.
    pub name: ProfileName,
    /// Service tier, 0 (highest) to 5.
    pub tier: u8,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Objective for the first token, or for the whole answer of a plain service.
    pub first_token_ms: u64,
    /// Objective for the time between tokens.
    pub between_tokens_ms: u64,
    /// Objective for the whole answer; later answers count as missed.
    pub whole_ms: u64,
    /// Share of the capacity guaranteed to the class during any burst, 0 to 1.
    pub share_ratio: f64,
    /// Maximum number of queued requests.
    pub queue_limit: usize,
}

/// Workspace of a customer, with its weight in the fair queue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Unique name, sent by callers in a header.
    pub name: WorkspaceName,
    /// Weight relative to other workspaces of the same class, above 0.
    pub weight: f64,
    /// Maximum number of requests in flight over all nodes.
    pub in_flight_limit: usize,
}

/// Kind of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TargetKind {
    /// Model engine that streams its answers.
    Model,
    /// Plain service.
    Service,
}

/// A model or a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Unique name.
    pub name: TargetName,
    /// Model or plain service.
    pub kind: TargetKind,
}

/// One revision of the operators' configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Catalog {
    /// Revision assigned by the platform; not contained in the document.
    #[serde(default)]
    pub revision: Revision,
    /// Profiles, by unique name.
    pub profiles: Vec<Profile>,
    /// Workspaces, by unique name.
    pub workspaces: Vec<Workspace>,
    /// Models and plain services, by unique name.
    pub targets: Vec<Target>,
    /// Host list revision below which no host is running.
    ///
    /// Operators raise it once all hosts of older lists are stopped.
    #[serde(default)]
    pub retired_hosts_revision: Revision,
}

impl Catalog {
    /// Returns the profile with that name.
    #[must_use]
    pub fn profile(&self, name: &ProfileName) -> Option<&Profile> {
        self.profiles.iter().find(|p| p.name == *name)
    }

    /// Returns the workspace with that name.
    #[must_use]
    pub fn workspace(&self, name: &WorkspaceName) -> Option<&Workspace> {
        self.workspaces.iter().find(|w| w.name == *name)
    }

    /// Returns the model or plain service with that name.
    #[must_use]
    pub fn target(&self, name: &TargetName) -> Option<&Target> {
        self.targets.iter().find(|t| t.name == *name)
    }
}

/// Whether a server accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServerState {
    /// Accepts new requests.
    Live,
    /// Finishes its requests and accepts no new ones.
    Leaving,
}

/// One backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Unique name.
    pub name: ServerName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Address of its HTTP port.
    pub address: SocketAddr,
    /// Models that it has loaded, or the plain service that it provides.
    pub targets: Vec<TargetName>,
    /// Maximum number of requests that it runs concurrently.
    pub slots: u32,
    /// Version of its software; versions have no order.
    #[serde(default)]
    pub version: Arc<str>,
    /// Whether it refuses requests with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Published state.
    pub state: ServerState,
}

/// One revision of the server list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Revision assigned by the platform; not contained in the document.
    #[serde(default)]
    pub revision: Revision,
    /// Servers, by unique name.
    pub servers: Vec<Server>,
}

impl Fleet {
    /// Returns the server with that name.
    #[must_use]
    pub fn server(&self, name: &ServerName) -> Option<&Server> {
        self.servers.iter().find(|s| s.name == *name)
    }
}
