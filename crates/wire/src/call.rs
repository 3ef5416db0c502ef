//! A call that one node forwards to another, and the answer's head.

use std::sync::Arc;

use briarbank_core::call::{Outcome, Refusal};
use briarbank_core::ids::{HostName, ProfileName, RequestId, TargetName, WorkspaceName};
use serde::{Deserialize, Serialize};

/// Head of a forwarded call; the caller's body follows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallHead {
    /// Node that forwards the call.
    pub from: HostName,
    /// Request id.
    pub request: RequestId,
    /// Class of the request.
    pub profile: ProfileName,
    /// Workspace that pays for it.
    pub workspace: WorkspaceName,
    /// Model or plain service.
    pub target: TargetName,
    /// HTTP method.
    pub method: Arc<str>,
    /// Path and query for the server.
    pub path: Arc<str>,
    /// Content type of the body.
    pub content_type: Option<Arc<str>>,
    /// Whether the caller wants server-sent events.
    pub streamed: bool,
    /// Hash of the prompt's first part.
    pub prefix_key: u64,
    /// Most tokens that the answer may have; 0 for a plain service.
    pub max_tokens: u32,
    /// Whether the caller states that it never sent this id before.
    pub first_try: bool,
    /// Time since the call was received.
    pub age_ms: u64,
}

/// Head of the answer to a forwarded call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplyHead {
    /// The answer's body follows.
    Answer {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: Arc<str>,
        /// How it ended, unless the stream's end tells.
        outcome: Option<Outcome>,
    },
    /// The call was given up on; nothing follows.
    Refusal(Refusal),
}
