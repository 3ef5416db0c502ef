//! A call as the decisions see it, and what its caller may be told.

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
    /// Chosen by the caller; equal ids are repeats of one request.
    pub request: RequestId,
    /// Class of the request.
    pub profile: ProfileName,
    /// Workspace that pays for it.
    pub workspace: WorkspaceName,
    /// Model or plain service.
    pub target: TargetName,
    /// Hash of the prompt's first part, equal for prompts that share it.
    pub prefix_key: u64,
    /// Most tokens that the answer may have; 0 for a plain service.
    pub max_tokens: u32,
    /// When the call was received.
    pub received: Instant,
    /// Whether the caller states that it never sent this id before.
    pub first_try: bool,
}

impl Call {
    /// Outcome to state where nothing is recorded of the request id.
    ///
    /// Only the caller can know that there was no earlier try.
    #[must_use]
    pub fn unproven_outcome(&self) -> Outcome {
        if self.first_try {
            Outcome::NotRun
        } else {
            Outcome::Unknown
        }
    }
}

/// What is known of a request's execution.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It ran and the answer is whole.
    Completed,
    /// It did not run; only said with proof.
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

/// Why a call gets no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The profile is not in the configuration in force.
    UnknownProfile,
    /// The workspace is not in the configuration in force.
    UnknownWorkspace,
    /// The model or service is not in the configuration in force.
    UnknownTarget,
    /// The queue of the class is full.
    QueueFull,
    /// The answer would come after its deadline.
    #[serde(rename = "hopeless")]
    DeadlineUnreachable,
    /// The workspace has its limit in flight.
    WorkspaceLimit,
    /// No server for the target can take work.
    NoServer,
    /// The retry budget is used up.
    RetryBudget,
    /// The server failed and the call may not be repeated.
    ServerFailed,
    /// The owner of the request id can't be reached or isn't confirmed.
    NoOwner,
    /// The id may have been used before this owner's records begin.
    IdTooOld,
    /// The id's birth time lies ahead of this host's clock.
    IdFromFuture,
    /// A call with this id is still running.
    Running,
    /// A call with this id has run and its answer is no longer kept.
    Done,
    /// The same id came with another content.
    IdReused,
    /// The table of request ids is full.
    TableFull,
    /// The node is stopping.
    Stopping,
    /// No configuration is known yet.
    NoConfiguration,
    /// The caller went away.
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

/// Final answer of a call that was given up on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// What is known of the request's execution.
    pub outcome: Outcome,
    /// When to come back.
    pub retry_after: Duration,
}

/// Answer of a call that may not be repeated, kept for repeats of its id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: Arc<str>,
    /// Whole body.
    pub body: Arc<[u8]>,
}

/// Order to send a call to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// The call.
    pub call: CallId,
    /// This attempt.
    pub attempt: AttemptId,
    /// Where to.
    pub server: ServerName,
    /// Priority for the engine, 0 is the highest.
    pub tier: u8,
    /// Whether to resume after the part that the caller already has.
    pub resume: bool,
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Failure {
    /// Nothing was handed to a connection, or the server refused before running it.
    NotSent,
    /// The server refused since it is leaving; it did not run it.
    Leaving,
    /// The server refused since it is full; it did not run it.
    Full,
    /// The connection broke after bytes were handed to it.
    Broken,
    /// No progress within the bound.
    Silent,
    /// The answer was malformed or belonged to another attempt.
    Malformed,
    /// The server answered with an error of its own after it may have run it.
    ServerError,
    /// Preempted at this node for a higher tier.
    Preempted,
}

impl Failure {
    /// Whether the failure proves that the attempt did not run.
    #[must_use]
    pub fn proves_not_run(self) -> bool {
        matches!(self, Self::NotSent | Self::Leaving | Self::Full)
    }
}

/// Load that a server reports of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Age of the report when it was received.
    pub age_ms: u64,
}
