//! Calls, their outcomes, and the reasons for refusals and failures.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::ids::{
    AttemptId, CallId, ProfileName, RequestId, ServerName, TargetName, WorkspaceName,
};

/// A call to a model or a plain service.
#[derive(Clone, Debug)]
pub struct Call {
    /// Unique within the process.
    pub id: CallId,
    /// Chosen by the caller; calls with equal ids are retries of one request.
    pub request: RequestId,
    /// Profile, which is the class of the request.
    pub profile: ProfileName,
    /// Workspace that is charged for it.
    pub workspace: WorkspaceName,
    /// Model or plain service.
    pub target: TargetName,
    /// Hash of the start of the prompt, equal for prompts with a common prefix.
    pub prefix_key: u64,
    /// Maximum number of answer tokens; 0 for a plain service.
    pub max_tokens: u32,
    /// When the call was received.
    pub received: Instant,
    /// Whether the caller states that it did not send this id before.
    pub first_try: bool,
}

impl Call {
    /// Outcome to report when there is no record of the request id.
    ///
    /// Only the caller can know that there was no earlier attempt.
    #[must_use]
    pub fn unproven_outcome(&self) -> Outcome {
        if self.first_try {
            Outcome::NotRun
        } else {
            Outcome::Unknown
        }
    }
}

/// What is known about the execution of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It ran and the answer is complete.
    Completed,
    /// It did not run; reported only with proof.
    NotRun,
    /// It may have run.
    Unknown,
}

impl Outcome {
    /// Value of the outcome header.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Completed => "completed",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// Why a call is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The profile is not in the adopted configuration.
    UnknownProfile,
    /// The workspace is not in the adopted configuration.
    UnknownWorkspace,
    /// The model or service is not in the adopted configuration.
    UnknownTarget,
    /// The queue of the class is full.
    QueueFull,
    /// The answer would be late.
    #[serde(rename = "hopeless")]
    DeadlineUnreachable,
    /// The workspace has reached its limit of requests in flight.
    WorkspaceLimit,
    /// No server of the target accepts requests.
    NoServer,
    /// The retry budget is used up.
    RetryBudget,
    /// The server failed and the call may not be retried.
    ServerFailed,
    /// The owner of the request id is unreachable or not confirmed.
    NoOwner,
    /// The id may have been used before the records of this owner start.
    IdTooOld,
    /// The creation time in the id is ahead of the clock of this host.
    IdFromFuture,
    /// A call with this id is still running.
    Running,
    /// A call with this id has run and its answer is no longer stored.
    Done,
    /// The same id was used with different content.
    IdReused,
    /// The table of request ids is full.
    TableFull,
    /// The node is stopping.
    Stopping,
    /// No configuration was adopted yet.
    NoConfiguration,
    /// The caller disconnected.
    CallerGone,
}

impl Reason {
    /// Machine-readable error type.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::UnknownProfile => "unknown-profile",
            Self::UnknownWorkspace => "unknown-workspace",
            Self::UnknownTarget => "unknown-target",
            Self::QueueFull => "queue-full",
            Self::DeadlineUnreachable => "hopeless",
            Self::WorkspaceLimit => "workspace-limit",
            Self::NoServer => "no-server",
            Self::RetryBudget => "retry-budget",
            Self::ServerFailed => "server-failed",
            Self::NoOwner => "no-owner",
            Self::IdTooOld => "id-too-old",
            Self::IdFromFuture => "id-from-future",
            Self::Running => "running",
            Self::Done => "done",
            Self::IdReused => "id-reused",
            Self::TableFull => "table-full",
            Self::Stopping => "stopping",
            Self::NoConfiguration => "no-configuration",
            Self::CallerGone => "caller-gone",
        }
    }

    /// HTTP status of the refusal.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::UnknownProfile | Self::UnknownWorkspace => 400,
            Self::UnknownTarget => 404,
            Self::IdFromFuture | Self::IdReused => 422,
            Self::Running | Self::Done | Self::IdTooOld => 409,
            Self::QueueFull | Self::WorkspaceLimit => 429,
            Self::ServerFailed => 502,
            _ => 503,
        }
    }
}

/// Final response to a refused call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: Reason,
    /// What is known about the execution of the request.
    pub outcome: Outcome,
    /// Delay before the caller should retry.
    pub retry_after: Duration,
}

/// Answer to a non-idempotent call, stored for retries with its id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: Arc<str>,
    /// Complete body.
    pub body: Arc<[u8]>,
}

/// Instruction to send a call to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// The call.
    pub call: CallId,
    /// Identifier of the attempt.
    pub attempt: AttemptId,
    /// Destination.
    pub server: ServerName,
    /// Priority for the engine, 0 is the highest.
    pub tier: u8,
    /// Whether to resume after the tokens that the caller already received.
    pub resume: bool,
    /// Whether the running attempt goes on until this one's server accepts the call.
    pub trial: bool,
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Failure {
    /// No byte was written to a connection, or the server refused before running it.
    NotSent,
    /// The server refused because it is leaving; the attempt did not run.
    Leaving,
    /// The server refused because it is full; the attempt did not run.
    Full,
    /// The connection broke after bytes were written to it.
    Broken,
    /// No progress before the timeout.
    Silent,
    /// The answer was malformed or belonged to another attempt.
    Malformed,
    /// The server reported an error after it may have run the attempt.
    ServerError,
    /// Given up by this node, for a call of a higher tier or for another attempt.
    Preempted,
}

impl Failure {
    /// Whether the failure proves that the attempt did not run.
    #[must_use]
    pub fn proves_not_run(self) -> bool {
        matches!(self, Self::NotSent | Self::Leaving | Self::Full)
    }
}

/// Load that a server reports about itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLoad {
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
    /// Age of the report when it was received.
    pub age_ms: u64,
}
