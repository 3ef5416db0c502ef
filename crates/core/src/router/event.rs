//! Events that the router takes and actions that it orders.

use std::sync::Arc;

use crate::call::{Call, Dispatch, Failure, Outcome, Refusal, ServerLoad};
use crate::catalog::{Catalog, Fleet};
use crate::ids::{AttemptId, CallId, ServerName};

/// What happened to one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEvent {
    /// Tokens that reached the caller, counted over the whole call.
    Progress {
        /// Tokens delivered to the caller so far, over all attempts of the call.
        tokens: u32,
    },
    /// The whole answer reached the caller.
    Done,
    /// The attempt ended without the whole answer.
    Failed(Failure),
}

/// What the router is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// A call wants to be served.
    Arrive(Call),
    /// The caller of a call went away.
    CallerGone(CallId),
    /// News of an attempt.
    Attempt {
        /// Which attempt.
        attempt: AttemptId,
        /// What happened.
        event: AttemptEvent,
    },
    /// A server told its load.
    Load {
        /// Which server.
        server: ServerName,
        /// The report.
        load: ServerLoad,
    },
    /// A server is leaving, by its own statement or by a peer's news.
    ServerLeaving(ServerName),
    /// New configuration is in force.
    Catalog(Arc<Catalog>),
    /// A new server list is in force.
    Fleet(Arc<Fleet>),
    /// Number of nodes that share the servers, this one included.
    SharingNodes(usize),
    /// Time passed.
    Tick,
}

/// What the router orders.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the call to a server.
    Dispatch(Dispatch),
    /// Stop an attempt at its server; its later answers count for nothing.
    Cancel {
        /// Which attempt.
        attempt: AttemptId,
        /// Where it runs.
        server: ServerName,
    },
    /// Give the caller its final refusal at once.
    Refuse {
        /// Which call.
        call: CallId,
        /// What to say.
        refusal: Refusal,
    },
    /// The call ended; nothing more follows for it.
    End {
        /// Which call.
        call: CallId,
        /// How it ended.
        outcome: Outcome,
    },
}
