//! Heads of calls that one node forwards to another, and of their answers.

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
    /// Profile of the request.
    pub profile: ProfileName,
    /// Workspace that the request is charged to.
    pub workspace: WorkspaceName,
    /// Model or plain service that is called.
    pub target: TargetName,
    /// HTTP method.
    pub method: Arc<str>,
    /// Path and query of the request to the server.
    pub path: Arc<str>,
    /// Content type of the body.
    pub content_type: Option<Arc<str>>,
    /// Whether the caller requests server-sent events.
    pub streamed: bool,
    /// Hash of the beginning of the prompt, equal for prompts that share it.
    pub prefix_key: u64,
    /// Maximum number of answer tokens; 0 for a plain service.
    pub max_tokens: u32,
    /// Whether the caller declares that it never sent this request id before.
    pub first_try: bool,
    /// Time since the forwarding node received the call.
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
        /// Outcome of the call; `None` if the end of the stream determines it.
        outcome: Option<Outcome>,
    },
    /// The call was refused; no body follows.
    Refusal(Refusal),
}
