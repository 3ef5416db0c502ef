//! Attempt whose answer is not read yet.

use std::future::{Future, pending, ready};
use std::pin::Pin;

use briarbank_core::call::Failure;
use briarbank_core::ids::AttemptId;

use super::Transcript;
use crate::command::{Attempt, Objectives};
use crate::server::{Accepted, AttemptEnd, Exchange, Relay, Upstream};

/// Attempt that was sent, or is being sent.
pub(super) struct Pending<'a> {
    pub(super) id: AttemptId,
    pub(super) objectives: Option<Objectives>,
    exchange: Pin<Box<dyn Future<Output = Result<Accepted, Failure>> + Send + 'a>>,
    is_accepted: bool,
}

impl<'a> Pending<'a> {
    /// Returns the attempt, which resumes the answer after its last token so far.
    pub(super) fn new(upstream: Upstream<'a>, attempt: Attempt, transcript: &Transcript) -> Self {
        let id = attempt.dispatch.attempt;
        let objectives = attempt.objectives;
        let exchange = Exchange {
            upstream,
            attempt,
            resume: transcript.resume_point(),
        };
        Self {
            id,
            objectives,
            exchange: Box::pin(exchange.run()),
            is_accepted: false,
        }
    }

    /// Waits until the server accepts the call, and relays the answer.
    pub(super) async fn relay(self, relay: Relay<'_>) -> AttemptEnd {
        match self.exchange.await {
            Ok(accepted) => relay.run(accepted).await,
            Err(failure) => AttemptEnd::Failed(failure),
        }
    }

    /// Waits until the server accepts the call; dropping the future loses nothing.
    async fn wait_accepted(&mut self) -> Result<(), Failure> {
        let accepted = (&mut self.exchange).await?;
        self.exchange = Box::pin(ready(Ok(accepted)));
        self.is_accepted = true;
        Ok(())
    }
}

/// Waits until a trial is accepted or fails; for ever without one or after that.
pub(super) async fn settled(trial: &mut Option<Pending<'_>>) -> (AttemptId, Result<(), Failure>) {
    match trial {
        Some(trial) if !trial.is_accepted => (trial.id, trial.wait_accepted().await),
        _ => pending().await,
    }
}
