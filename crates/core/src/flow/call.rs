//! Calls to be dispatched, and the dispatcher's decisions.

use std::sync::Arc;
use std::time::Duration;

use crate::flow::instance::Instance;
use crate::flow::version::VersionKey;
use crate::ids::{RegionName, ServiceName};

/// Number of an attempt, unique at one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptId(pub(crate) u64);

/// Size and parts of a model call's prompt, and the bound on its answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Number of tokens of the prompt.
    pub tokens: u32,
    /// Largest number of tokens of the answer.
    pub output_tokens_max: u32,
    /// Parts of the prompt in order: hash of the name and number of tokens of each.
    ///
    /// The last part belongs to the call or its session; the others are shared with
    /// other prompts.
    pub parts: Vec<(u64, u32)>,
}

impl Prompt {
    /// Returns the hash of the last part that the prompt shares with others.
    #[must_use]
    pub fn prefix_key(&self) -> Option<u64> {
        self.parts.iter().rev().nth(1).map(|(part, _)| *part)
    }

    /// Iterates over the hashes of the parts that the prompt shares with others.
    pub fn shared_parts(&self) -> impl Iterator<Item = u64> {
        let own = self.parts.len().saturating_sub(1);
        self.parts.iter().take(own).map(|(part, _)| *part)
    }

    /// Returns the number of tokens that no other prompt shares.
    ///
    /// These are all tokens when the parts are unknown.
    #[must_use]
    pub fn unshared_tokens(&self) -> u32 {
        self.parts.last().map_or(self.tokens, |(_, tokens)| *tokens)
    }
}

/// Position of a tier among the tiers that are routed to a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TierRank {
    /// No tier is more urgent.
    First,
    /// Some tiers are more urgent and some less.
    Middle,
    /// Some tiers are more urgent and none less.
    Last,
}

/// Version that follows from the key of a new stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyVersion {
    /// The version.
    pub version: VersionKey,
    /// Whether the stream is refused if no server of the version answers in time.
    pub is_strict: bool,
}

/// A call to be dispatched.
#[derive(Clone, Debug)]
pub struct Call {
    /// Service that the call is for.
    pub service: ServiceName,
    /// Position of the route's tier among those of the service.
    pub tier_rank: TierRank,
    /// Remaining latency objective; of streams up to the first event.
    pub objective: Duration,
    /// Time until the deadline of the caller or the route.
    pub time_left: Duration,
    /// Version of the servers that a stream which has begun may go on at.
    ///
    /// Such a call is not refused for load, since its caller has a part of the answer.
    pub version: Option<VersionKey>,
    /// Version at which a stream should begin, `None` if any will do.
    pub key_version: Option<KeyVersion>,
    /// Hash of path, caller and body, by which a call that comes again is known.
    pub identity: Option<u64>,
    /// Set for calls to models.
    pub prompt: Option<Prompt>,
    /// Lists of regions that all have to hold the server's; empty if any region may.
    pub allowed_regions: Vec<Arc<[RegionName]>>,
}

impl Call {
    /// Iterates over what may crash a server: the call itself and its prompt's shared parts.
    pub(crate) fn suspects(&self) -> impl Iterator<Item = u64> {
        let parts = self.prompt.iter().flat_map(Prompt::shared_parts);
        self.identity.into_iter().chain(parts)
    }
}

/// Server chosen for an attempt.
#[derive(Clone, Debug)]
pub struct Placement {
    /// Number by which the attempt's events are reported.
    pub attempt: AttemptId,
    /// The chosen server.
    pub instance: Arc<Instance>,
    /// Expected time to the first event or complete answer.
    pub expected_latency: Duration,
}

/// Why a call gets no server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No server of the service may be sent calls.
    NoServer,
    /// No server of the stream's version may be sent calls.
    NoServerOfVersion,
    /// Servers may be sent calls, but none in a region that the call may reach.
    NoServerInRegion,
    /// All servers that the call could go to are in evacuated zones.
    ZonesEvacuated,
    /// No server would answer in time.
    Busy {
        /// Time until capacity is expected.
        retry_after: Duration,
        /// Number of servers that were considered.
        servers: usize,
        /// Shortest wait at any of them.
        wait: Duration,
    },
    /// The retry budget of the window is used up.
    RepeatBudget,
    /// The call, or a part of its prompt, crashes servers.
    HarmfulPrompt,
}

/// Why an attempt at a server failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No connection could be made.
    Unreachable,
    /// The connection broke before the answer was complete.
    Broken,
    /// No answer arrived in time.
    Silent,
    /// The bytes were not an answer, or the answer to another call.
    Malformed,
    /// The server answered with an error of its own.
    Failed,
    /// The server was at capacity and did not run the call.
    Full,
    /// Another server answered at the address.
    OtherInstance,
    /// The caller left; not a fault of the server.
    Cancelled,
}
