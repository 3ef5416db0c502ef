//! Routes, services and keys, as published by the operator.

use std::collections::HashMap;
use std::sync::Arc;

use crate::ids::{RegionName, ServiceName, WorkspaceName};

/// How often calls of a route may run and how they are answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    AtMostOnce,
    /// Answered by a stream of events.
    Stream {
        /// Whether another server can resume after the last delivered event.
        resumable: bool,
    },
}

/// A share of a route's traffic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Split {
    /// Service that gets the share.
    pub service: ServiceName,
    /// Size of the share relative to the other shares of the route.
    pub weight: u32,
}

/// Rules for the calls of a host name and path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name given by the operator.
    pub name: Arc<str>,
    /// Host name of the calls.
    pub host: Arc<str>,
    /// Prefix of the paths.
    pub prefix: Arc<str>,
    /// How often the calls may run and how they are answered.
    pub kind: RouteKind,
    /// Longest time until the complete answer, in milliseconds.
    pub timeout_ms: u32,
    /// Latency objective, in milliseconds; of streams up to the first event.
    pub target_ms: u32,
    /// Latency objective between events of a stream, in milliseconds.
    pub gap_ms: Option<u32>,
    /// Tier; 0 is the most urgent.
    pub tier: u8,
    /// Services that the calls are divided among; at least one.
    pub splits: Vec<Split>,
    /// Largest number of servers that one call may be sent to.
    pub attempts_max: u32,
    /// Whether calls are accepted without a key.
    pub is_public: bool,
    /// Regions whose servers may get the calls, `None` for all.
    pub allowed_regions: Option<Arc<[RegionName]>>,
}

impl Route {
    /// Returns whether a call that may have run can be sent again from its start.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        matches!(
            self.kind,
            RouteKind::Idempotent | RouteKind::Stream { resumable: true }
        )
    }

    /// Returns whether calls are answered by a stream of events.
    #[must_use]
    pub fn is_stream(&self) -> bool {
        matches!(self.kind, RouteKind::Stream { .. })
    }

    /// Picks a service by weight, for a random number.
    #[must_use]
    pub fn pick_service(&self, random: u64) -> Option<&ServiceName> {
        let total: u64 = self.splits.iter().map(|s| u64::from(s.weight)).sum();
        let mut remaining = random % total.max(1);
        for split in &self.splits {
            let weight = u64::from(split.weight);
            if remaining < weight {
                return Some(&split.service);
            }
            remaining -= weight;
        }
        self.splits.first().map(|s| &s.service)
    }
}

/// Published properties of a model service's engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineSpec {
    /// Number of requests that an engine runs concurrently.
    pub slots: u32,
    /// Number of tokens that fit into its memory.
    pub memory_tokens: u64,
    /// Number of tokens in one event of a stream.
    pub event_tokens: u32,
}

/// How long servers of a service are cold, and what they tolerate meanwhile.
///
/// A cold server crashes well above this rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdSpec {
    /// Time after its start for which a server is cold, in milliseconds.
    pub duration_ms: u32,
    /// Calls per 1,000 seconds that a cold server tolerates from all nodes together.
    pub calls_per_1000_s: u32,
}

/// A service that calls are routed to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Unique name.
    pub name: ServiceName,
    /// Largest number of connections to one server from all nodes together.
    pub connections_max: u32,
    /// Set for model services.
    pub engine: Option<EngineSpec>,
    /// Set for services whose cold servers tolerate a low rate only.
    pub cold: Option<ColdSpec>,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Largest request head, in bytes.
    pub header_bytes: u32,
    /// Largest request body, in bytes.
    pub body_bytes: u32,
    /// Time within which a request head must arrive, in milliseconds.
    pub header_timeout_ms: u32,
    /// Time after which an idle connection is closed, in milliseconds.
    pub idle_timeout_ms: u32,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_timeout_ms: 10_000,
            idle_timeout_ms: 60_000,
        }
    }
}

/// The workspace that a key belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkspaceEntry {
    /// Unique name.
    pub name: WorkspaceName,
    /// Tier of all its calls; takes precedence over the tier of the route.
    pub tier: Option<u8>,
    /// Regions whose servers may get its calls, `None` for all.
    pub allowed_regions: Option<Arc<[RegionName]>>,
}

/// One version of the published configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteConfig {
    /// Version given by the operator; increases with each change.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<ServiceSpec>,
    /// Bounds on what callers may send.
    pub limits: RequestLimits,
    /// Workspace of each key; `None` when calls need no keys.
    pub keys: Option<HashMap<Arc<str>, WorkspaceEntry>>,
}
