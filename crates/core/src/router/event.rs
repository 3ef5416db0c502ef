//! Events that the router handles and actions that it requests.

use std::sync::Arc;

use crate::call::{Call, Dispatch, Failure, Outcome, Refusal, ServerLoad};
use crate::catalog::{Catalog, Fleet};
use crate::ids::{AttemptId, CallId, ServerName};

/// Event of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEvent {
    /// More tokens reached the caller.
    Progress {
        /// Tokens delivered to the caller so far, over all attempts of the call.
        tokens: u32,
    },
    /// The server accepted the attempt and begins to answer it.
    Accepted,
    /// The server was silent for longer than its timeout; the attempt goes on.
    Silent,
    /// The whole answer reached the caller.
    Done,
    /// The attempt ended without the whole answer.
    Failed(Failure),
}

/// Input of the router.
#[derive(Clone, Debug)]
pub enum Event {
    /// A call arrived.
    Arrive(Call),
    /// The caller of a call disconnected.
    CallerGone(CallId),
    /// An attempt made progress or ended.
    Attempt {
        /// Which attempt.
        attempt: AttemptId,
        /// What happened.
        event: AttemptEvent,
    },
    /// A server reported its load.
    Load {
        /// Which server.
        server: ServerName,
        /// Reported load.
        load: ServerLoad,
    },
    /// A server is leaving, as reported by itself or by a peer.
    ServerLeaving(ServerName),
    /// A new configuration was adopted.
    Catalog(Arc<Catalog>),
    /// A new server list was adopted.
    Fleet(Arc<Fleet>),
    /// Number of nodes that share the servers, this one included.
    SharingNodes(usize),
    /// Time passed.
    Tick,
}

/// Output of the router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the call to a server.
    Dispatch(Dispatch),
    /// Cancel an attempt at its server; its later events are ignored.
    Cancel {
        /// Which attempt.
        attempt: AttemptId,
        /// Server that runs it.
        server: ServerName,
    },
    /// Send the caller its final refusal at once.
    Refuse {
        /// Which call.
        call: CallId,
        /// Content of the refusal.
        refusal: Refusal,
    },
    /// The call ended; nothing more follows for it.
    End {
        /// Which call.
        call: CallId,
        /// Final outcome.
        outcome: Outcome,
    },
}
