//! Events and actions of a node.

use std::sync::Arc;

use crate::call::{Call, Dispatch, Outcome, Refusal, ServerLoad, StoredAnswer};
use crate::conf::Key;
use crate::ids::{AttemptId, CallId, HostName, Revision, ServerName};
use crate::peer::{Envelope, Message};
use crate::router::AttemptEvent;

/// Origin of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    /// Sent by its caller.
    Caller,
    /// Forwarded by another node, whose host list makes this one the id's owner.
    Peer(HostName),
}

/// Event that a node handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// A call arrived.
    Call {
        /// The call.
        call: Call,
        /// Origin of the call.
        origin: Origin,
        /// Hash of the request's target, path and body.
        content_key: u64,
    },
    /// The caller of a call, or the node that forwarded it, disconnected.
    CallerGone(CallId),
    /// A forwarded call got no answer from the owner of its request id.
    ForwardFailed {
        /// Call concerned.
        call: CallId,
        /// Whether any byte may have reached the owner.
        sent: bool,
    },
    /// The owner's answer to a forwarded call was relayed to the caller.
    ForwardDone(CallId),
    /// An attempt progressed or ended.
    Attempt {
        /// Attempt concerned.
        attempt: AttemptId,
        /// Event of the attempt.
        event: AttemptEvent,
    },
    /// The whole answer of a non-idempotent call.
    ///
    /// Precedes the attempt's `Done`.
    Answered {
        /// Attempt concerned.
        attempt: AttemptId,
        /// Answer to store for retries of the request id.
        answer: StoredAnswer,
    },
    /// A server reported its load.
    Load {
        /// Server concerned.
        server: ServerName,
        /// Reported load.
        load: ServerLoad,
    },
    /// A server announced that it is leaving.
    ServerLeaving(ServerName),
    /// A message from another node's core.
    Peer(Envelope),
    /// A message to another node could not be delivered.
    PeerLost(HostName),
    /// The platform returned a value.
    Published {
        /// Key of the value.
        key: Key,
        /// Revision of the document.
        revision: Revision,
        /// Published document.
        bytes: Arc<[u8]>,
    },
    /// A watch ended without a newer value.
    Unchanged,
    /// A graceful shutdown was requested.
    Stop,
    /// Time passed; sent every [`crate::node::Options::tick`].
    Tick,
}

/// Action that the caller of a node carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends a call to a server.
    ///
    /// For a non-idempotent call, [`crate::node::Node::claim_send`] must be
    /// called right before the first byte is handed to a connection.
    Dispatch(Dispatch),
    /// Cancels an attempt at its server; its later answers are ignored.
    Cancel {
        /// Attempt concerned.
        attempt: AttemptId,
        /// Server that runs it.
        server: ServerName,
    },
    /// Refuses a call at once; the call is finished.
    Refuse {
        /// Call concerned.
        call: CallId,
        /// Refusal to send to the caller.
        refusal: Refusal,
    },
    /// The call is finished.
    End {
        /// Call concerned.
        call: CallId,
        /// Final outcome.
        outcome: Outcome,
    },
    /// Replays the stored answer of an earlier call with the same id; the call is finished.
    Replay {
        /// Call concerned.
        call: CallId,
        /// Stored answer.
        answer: StoredAnswer,
    },
    /// Forwards the call to the owner of its request id and relays the answer.
    Forward {
        /// Call concerned.
        call: CallId,
        /// Owner of the request id.
        to: HostName,
    },
    /// Sends a message to another node; it may be lost.
    Send {
        /// Receiver.
        to: HostName,
        /// Message to send.
        message: Message,
    },
    /// Starts or stops watching the platform's values.
    Watch(bool),
    /// All calls have ended and the graceful shutdown is complete.
    Stopped,
}
