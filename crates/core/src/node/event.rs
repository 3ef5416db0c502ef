//! Events that a node takes and actions that it orders.

use std::sync::Arc;

use crate::call::{Call, Dispatch, Outcome, Refusal, ServerLoad, StoredAnswer};
use crate::conf::Key;
use crate::ids::{AttemptId, CallId, HostName, Revision, ServerName};
use crate::peer::{Envelope, Message};
use crate::router::AttemptEvent;

/// Where a call came from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    /// From its caller.
    Caller,
    /// Forwarded by another node, which found this one to own the request id.
    Peer(HostName),
}

/// What a node is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// A call came in.
    Call {
        /// The call.
        call: Call,
        /// Where from.
        origin: Origin,
        /// Hash of everything that makes the request: target, path and body.
        content_key: u64,
    },
    /// The caller of a call, or the node that forwarded it, went away.
    CallerGone(CallId),
    /// A forwarded call got no answer from its owner.
    ForwardFailed {
        /// Which call.
        call: CallId,
        /// Whether any byte of it may have reached the owner.
        sent: bool,
    },
    /// A forwarded call got its answer from the owner, and its caller has it.
    ForwardDone(CallId),
    /// News of an attempt.
    Attempt {
        /// Which attempt.
        attempt: AttemptId,
        /// What happened.
        event: AttemptEvent,
    },
    /// The whole answer of a call that may not be repeated.
    ///
    /// Comes before the attempt's `Done`.
    Answered {
        /// Which attempt.
        attempt: AttemptId,
        /// Kept for repeats of the request id.
        answer: StoredAnswer,
    },
    /// A server told its load.
    Load {
        /// Which server.
        server: ServerName,
        /// The report.
        load: ServerLoad,
    },
    /// A server said that it is leaving.
    ServerLeaving(ServerName),
    /// A message from another node's core.
    Peer(Envelope),
    /// A message to another node could not be delivered.
    PeerLost(HostName),
    /// The platform answered with a value.
    Published {
        /// Which value.
        key: Key,
        /// Its revision.
        revision: Revision,
        /// Its document.
        bytes: Arc<[u8]>,
    },
    /// The platform answered a watch without a newer value.
    Unchanged,
    /// The node is to stop as planned.
    Stop,
    /// Time passed; to be sent every [`crate::node::Options::tick`].
    Tick,
}

/// What a node orders.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the call to a server.
    ///
    /// For a call that may not be repeated, [`crate::node::Node::claim_send`]
    /// is asked right before the first byte is handed to a connection.
    Dispatch(Dispatch),
    /// Stop an attempt at its server; its later answers count for nothing.
    Cancel {
        /// Which attempt.
        attempt: AttemptId,
        /// Where it runs.
        server: ServerName,
    },
    /// Give the caller its final refusal at once; the call is over.
    Refuse {
        /// Which call.
        call: CallId,
        /// What to say.
        refusal: Refusal,
    },
    /// The call is over.
    End {
        /// Which call.
        call: CallId,
        /// How it ended.
        outcome: Outcome,
    },
    /// Give the caller the kept answer of an earlier call with its id; the call is over.
    Replay {
        /// Which call.
        call: CallId,
        /// The answer.
        answer: StoredAnswer,
    },
    /// Forward the call to the node that owns its request id, and relay the answer.
    Forward {
        /// Which call.
        call: CallId,
        /// The owner.
        to: HostName,
    },
    /// Send a message to another node's core; it may be lost.
    Send {
        /// To whom.
        to: HostName,
        /// What.
        message: Message,
    },
    /// Watch the platform's values, or stop watching.
    Watch(bool),
    /// All is finished and handed over after a planned stop.
    Stopped,
}
