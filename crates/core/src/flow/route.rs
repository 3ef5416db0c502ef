//! Routes, services and keys, as published by the operator.

use std::collections::HashMap;
use std::sync::Arc;

use crate::ids::{ServiceName, WorkspaceName};

/// What may be done with the calls of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    AtMostOnce,
    /// Answered by a stream of events.
    Stream {
        /// Another server may go on after the last event that was delivered.
        resumable: bool,
    },
}

/// A part of a route's traffic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Split {
    /// Service that gets the part.
    pub service: ServiceName,
    /// Size of the part against the other parts.
    pub weight: u32,
}

/// How the calls of a host name and path prefix are treated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name given by the operator.
    pub name: Arc<str>,
    /// Host name of the calls.
    pub host: Arc<str>,
    /// Beginning of their paths.
    pub prefix: Arc<str>,
    /// What may be done with the calls.
    pub kind: RouteKind,
    /// Longest time until the final answer, in milliseconds.
    pub timeout_ms: u32,
    /// Latency objective, in milliseconds; of streams up to the first event.
    pub target_ms: u32,
    /// Longest pause between events of a stream that is still in time, in milliseconds.
    pub gap_ms: Option<u32>,
    /// Tier, 0 is the most urgent.
    pub tier: u8,
    /// Where the calls go; at least one part.
    pub splits: Vec<Split>,
    /// Most servers that one call may be sent to.
    pub attempts_max: u32,
    /// Whether calls need no key.
    pub is_public: bool,
}

impl Route {
    /// Whether a call that may have run can be sent again from its beginning.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        matches!(
            self.kind,
            RouteKind::Idempotent | RouteKind::Stream { resumable: true }
        )
    }

    /// Whether calls are answered by a stream of events.
    #[must_use]
    pub fn is_stream(&self) -> bool {
        matches!(self.kind, RouteKind::Stream { .. })
    }

    /// The service for a random number.
    #[must_use]
    pub fn pick_service(&self, random: u64) -> Option<&ServiceName> {
        let total: u64 = self.splits.iter().map(|s| u64::from(s.weight)).sum();
        let mut left = random % total.max(1);
        for split in &self.splits {
            let weight = u64::from(split.weight);
            if left < weight {
                return Some(&split.service);
            }
            left -= weight;
        }
        self.splits.first().map(|s| &s.service)
    }
}

/// What is published of the engines of a model service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineSpec {
    /// Requests that an engine runs at once.
    pub slots: u32,
    /// Tokens that fit into its memory.
    pub memory_tokens: u64,
    /// Tokens in one event of a stream.
    pub event_tokens: u32,
}

/// A service that calls are routed to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Unique name.
    pub name: ServiceName,
    /// Connections that one server admits from all nodes together.
    pub connections_max: u32,
    /// Set for model services.
    pub engine: Option<EngineSpec>,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Largest request head, in bytes.
    pub header_bytes: u32,
    /// Largest request body, in bytes.
    pub body_bytes: u32,
    /// Longest time for a request head, in milliseconds.
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
    /// Tier of all its calls; goes before the tier of the route.
    pub tier: Option<u8>,
}

/// One version of all that the operator publishes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteConfig {
    /// Version given by the operator; later ones are higher.
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
