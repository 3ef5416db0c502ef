//! State of one queued or running call.

use std::sync::Arc;
use std::time::Instant;

use crate::call::{Call, Outcome};
use crate::ids::{AttemptId, ServerName};
use crate::queue::Charge;
use crate::router::event::Action;
use crate::router::index::Class;

/// Attempt in flight.
#[derive(Clone, Debug)]
pub(super) struct RunningAttempt {
    pub(super) attempt: AttemptId,
    pub(super) server: ServerName,
    /// Version of the server's software when the attempt was sent.
    pub(super) version: Arc<str>,
    pub(super) started: Instant,
    pub(super) first_token: Option<Instant>,
    pub(super) last_progress: Instant,
    /// Charge that the class paid for the attempt.
    pub(super) charge: Charge,
    /// Start of the current speed sample; `None` before the first token.
    pub(super) sample: Option<SpeedSample>,
    /// Whether the server was reported as silent since the last progress.
    pub(super) silent: bool,
}

impl RunningAttempt {
    /// Returns the action that cancels it.
    pub(super) fn cancel(&self) -> Action {
        Action::Cancel {
            attempt: self.attempt,
            server: self.server.clone(),
        }
    }
}

/// Start of a speed sample.
#[derive(Clone, Copy, Debug)]
pub(super) struct SpeedSample {
    pub(super) started: Instant,
    /// Tokens of the call that were delivered by then.
    pub(super) tokens: u32,
}

/// A queued or running call.
#[derive(Debug)]
pub(super) struct CallEntry {
    pub(super) call: Call,
    pub(super) class: Arc<Class>,
    pub(super) weight: f64,
    pub(super) deadline: Instant,
    /// Latest dispatch time; a call that is still queued after it is refused.
    pub(super) latest_start: Instant,
    /// Dispatch time that leaves time for nearly any output length.
    pub(super) preferred_start: Instant,
    /// Attempts dispatched, including uncounted ones.
    pub(super) dispatches: u32,
    /// Attempts that count against `Options::attempts_max`.
    pub(super) attempts: u32,
    pub(super) preemptions: u32,
    /// Whether an earlier attempt may have run.
    pub(super) may_have_run: bool,
    pub(super) running: Option<RunningAttempt>,
    /// Attempt at another server while the running one is stalled.
    pub(super) trial: Option<RunningAttempt>,
    /// Tokens delivered to the caller.
    pub(super) tokens: u32,
    /// Version of the server that delivered the first token; others do not fit.
    pub(super) version: Option<Arc<str>>,
    /// Servers on which an attempt failed.
    pub(super) tried: Vec<ServerName>,
}

impl CallEntry {
    /// Outcome to report if the call is refused now.
    pub(super) fn outcome(&self) -> Outcome {
        if self.may_have_run || self.running.is_some() {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        }
    }

    /// Returns whether a server with that version may run the call or its rest.
    pub(super) fn fits(&self, version: &str) -> bool {
        fits(self.version.as_deref(), version)
    }

    pub(super) fn is_idempotent(&self) -> bool {
        self.class.profile.idempotent
    }
}

/// Returns whether a server's version is the one that a call is bound to, if any.
pub(super) fn fits(bound_to: Option<&str>, version: &str) -> bool {
    bound_to.is_none_or(|bound_to| bound_to == version)
}
