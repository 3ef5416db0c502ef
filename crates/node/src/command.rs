//! Commands of the control actor to a call's task.

use std::net::SocketAddr;
use std::time::Duration;

use briarbank_core::call::{Dispatch, Refusal, StoredAnswer};
use briarbank_core::ids::{AttemptId, HostName};

/// Longest silence of a server before an attempt fails.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SilenceTimeouts {
    /// Until the first event of a stream.
    pub(crate) first: Duration,
    /// Between two events of a stream.
    pub(crate) between: Duration,
    /// Until an answer that is not streamed.
    pub(crate) whole: Duration,
}

/// Latency objectives of a call's profile.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Objectives {
    /// For the first token.
    pub(crate) first: Duration,
    /// For the time between tokens.
    pub(crate) between: Duration,
    /// For the whole answer.
    pub(crate) whole: Duration,
}

/// One attempt and what its transport needs.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    /// Dispatch that the core decided.
    pub(crate) dispatch: Dispatch,
    /// Address of the server; `None` when it is no longer listed.
    pub(crate) address: Option<SocketAddr>,
    /// Whether the call is idempotent and may run more than once.
    pub(crate) idempotent: bool,
    /// Longest silence of the server.
    pub(crate) silence_timeouts: SilenceTimeouts,
    /// Latency objectives; `None` when the profile is no longer known.
    pub(crate) objectives: Option<Objectives>,
}

/// Command to one call's task.
#[derive(Clone, Debug)]
pub(crate) enum CallCommand {
    /// Send the call to a server.
    Dispatch(Box<Attempt>),
    /// Cancel an attempt.
    Cancel(AttemptId),
    /// Send the caller its final refusal.
    Refuse(Refusal),
    /// The call is over.
    End,
    /// Send the caller a stored answer.
    Replay(StoredAnswer),
    /// Forward the call to its owner.
    Forward {
        /// The owner.
        to: HostName,
        /// Its peer port; `None` when it is no longer listed.
        address: Option<SocketAddr>,
    },
}
