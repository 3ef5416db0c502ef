//! Calls that want a server, and what the dispatcher says to them.

use std::sync::Arc;
use std::time::Duration;

use crate::flow::instance::Instance;
use crate::ids::ServiceName;

/// Number of an attempt at one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptId(pub(crate) u64);

/// What a call brings to be read, and what it may generate.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// All tokens of the prompt.
    pub tokens: u32,
    /// Most tokens of the answer.
    pub output_tokens_max: u32,
    /// Parts of the prompt in order: hash of the part's name, and its tokens.
    ///
    /// The last part belongs to the call or its session; the others are shared.
    pub parts: Vec<(u64, u32)>,
}

impl Prompt {
    /// The deepest part that the prompt shares with others.
    #[must_use]
    pub fn prefix_key(&self) -> Option<u64> {
        self.parts.iter().rev().nth(1).map(|(part, _)| *part)
    }

    /// Tokens that no other prompt shares; all of them when the parts are not known.
    #[must_use]
    pub fn unshared_tokens(&self) -> u32 {
        self.parts.last().map_or(self.tokens, |(_, tokens)| *tokens)
    }
}

/// A call that wants a server.
#[derive(Clone, Debug)]
pub struct Call {
    /// Service that it is for.
    pub service: ServiceName,
    /// Whether no other calls of the service are more urgent.
    pub is_most_urgent: bool,
    /// Latency objective that is left; of streams up to the first event.
    pub objective: Duration,
    /// Time until the caller or the route gives up.
    pub time_left: Duration,
    /// Whether it goes on with a stream that has begun.
    pub is_resumed: bool,
    /// Set for calls of models.
    pub prompt: Option<Prompt>,
}

/// The server for an attempt.
#[derive(Clone, Debug)]
pub struct Placement {
    /// Number to report the attempt's events by.
    pub attempt: AttemptId,
    /// The server.
    pub instance: Arc<Instance>,
    /// Expected time to the first event or whole answer.
    pub expected_latency: Duration,
}

/// Why a call gets no server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No server of the service is known to be usable.
    NoServer,
    /// No server would answer in time.
    Busy {
        /// Time until room is expected.
        retry_after: Duration,
        /// Servers that were looked at.
        servers: usize,
        /// Shortest wait at any of them.
        wait: Duration,
    },
    /// All repeats of the window are used up.
    RepeatBudget,
}

/// What speaks against a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No connection could be made.
    Unreachable,
    /// The connection broke before the answer was whole.
    Broken,
    /// No answer came in time.
    Silent,
    /// The bytes were no answer, or the answer of another call.
    Malformed,
    /// The server answered with an error of its own.
    Failed,
    /// The server had no room and did not run the call.
    Full,
    /// Another server has the address.
    OtherInstance,
    /// The caller left; nothing speaks against the server.
    Cancelled,
}
