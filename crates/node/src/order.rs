//! What the control actor orders of one call's task.

use std::net::SocketAddr;
use std::time::Duration;

use briarbank_core::call::{Dispatch, Refusal, StoredAnswer};
use briarbank_core::ids::{AttemptId, HostName};

/// Longest silence of a server before an attempt is given up.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Patience {
    /// Until the first event of a stream.
    pub(crate) first: Duration,
    /// Between two events of a stream.
    pub(crate) between: Duration,
    /// Until an answer that comes whole.
    pub(crate) whole: Duration,
}

/// Targets of a call's profile.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Targets {
    /// For the first token.
    pub(crate) first: Duration,
    /// For the time between tokens.
    pub(crate) between: Duration,
    /// For the whole answer.
    pub(crate) whole: Duration,
}

/// One attempt, with what the transport needs.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    /// What the core ordered.
    pub(crate) dispatch: Dispatch,
    /// Where the server listens; `None` when it is no longer listed.
    pub(crate) address: Option<SocketAddr>,
    /// Whether the call may be run more than once.
    pub(crate) idempotent: bool,
    /// Longest silence.
    pub(crate) patience: Patience,
    /// Targets; `None` when the profile is no longer known.
    pub(crate) targets: Option<Targets>,
}

/// Order for one call's task.
#[derive(Clone, Debug)]
pub(crate) enum Order {
    /// Send the call to a server.
    Dispatch(Box<Attempt>),
    /// Stop an attempt.
    Cancel(AttemptId),
    /// Give the caller its final refusal.
    Refuse(Refusal),
    /// The call is over.
    End,
    /// Give the caller a kept answer.
    Replay(StoredAnswer),
    /// Forward the call to its owner.
    Forward {
        /// The owner.
        to: HostName,
        /// Its peer port; `None` when it is no longer listed.
        address: Option<SocketAddr>,
    },
}
