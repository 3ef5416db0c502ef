//! One call that waits or runs.

use std::sync::Arc;
use std::time::Instant;

use crate::call::{Call, Outcome};
use crate::ids::{AttemptId, ServerName};
use crate::queue::Charge;
use crate::router::index::Class;

/// The attempt that runs.
#[derive(Clone, Debug)]
pub(super) struct Running {
    pub(super) attempt: AttemptId,
    pub(super) server: ServerName,
    pub(super) started: Instant,
    pub(super) first_token: Option<Instant>,
    pub(super) last_progress: Instant,
    /// What the class paid for the attempt.
    pub(super) charge: Charge,
    /// Where the sample of the speed that is being taken began.
    pub(super) sample: Option<Sample>,
}

/// Begin of a sample of the speed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sample {
    pub(super) from: Instant,
    pub(super) tokens: u32,
}

/// One call that waits or runs.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) call: Call,
    pub(super) class: Arc<Class>,
    pub(super) weight: f64,
    pub(super) deadline: Instant,
    /// When it is given up while it waits.
    pub(super) latest_start: Instant,
    /// When it should start to have time for nearly any length.
    pub(super) due: Instant,
    /// Attempts dispatched.
    pub(super) dispatches: u32,
    /// Attempts that count against the bound on attempts.
    pub(super) attempts: u32,
    pub(super) preemptions: u32,
    /// Whether an earlier attempt may have run.
    pub(super) maybe_run: bool,
    pub(super) running: Option<Running>,
    pub(super) tokens: u32,
    /// Servers where it failed.
    pub(super) tried: Vec<ServerName>,
}

impl Entry {
    /// What may be said of the execution if the call is given up now.
    pub(super) fn outcome(&self) -> Outcome {
        if self.maybe_run || self.running.is_some() {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        }
    }

    pub(super) fn is_idempotent(&self) -> bool {
        self.class.profile.idempotent
    }
}
