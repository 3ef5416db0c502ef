//! Running attempt of a call, and at most one trial beside it.
//!
//! The core decides which of the two goes on. The running attempt is dropped only
//! when the core cancels it, which it does once the trial's server has accepted.

use briarbank_core::call::Failure;
use briarbank_core::ids::AttemptId;
use briarbank_core::node::Event;
use briarbank_core::router::AttemptEvent;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::pending::{Pending, settled};
use super::{Answer, Inbound, Meter, Transcript};
use crate::command::{Attempt, CallCommand};
use crate::control::Control;
use crate::server::{AttemptEnd, Relay, Upstream};

/// How the execution of an attempt ended.
pub(super) enum AttemptResult {
    /// The attempt, or the trial that replaced it, ended by itself.
    Ended(AttemptId, AttemptEnd),
    /// A command cancelled the attempt.
    Cancelled,
    /// Another command replaced the attempt.
    Superseded(CallCommand),
    /// The control actor closed the command channel.
    ControlEnded,
}

/// Attempts of a call, run while commands are received.
pub(super) struct RunningAttempts<'a> {
    pub(super) upstream: Upstream<'a>,
    pub(super) answer: &'a mut Answer,
    pub(super) meter: &'a mut Meter,
    pub(super) commands: Commands<'a>,
}

/// Commands and the caller's departure during an attempt.
pub(super) struct Commands<'a> {
    pub(super) receiver: &'a mut mpsc::Receiver<CallCommand>,
    pub(super) gone: &'a CancellationToken,
    pub(super) gone_reported: &'a mut bool,
}

impl RunningAttempts<'_> {
    /// Runs the attempt, and any trial that takes its place, until the last one ends.
    pub(super) async fn run(mut self, attempt: Attempt) -> AttemptResult {
        let upstream = self.upstream;
        let transcript = self.answer.transcript();
        let mut current = Pending::new(upstream, attempt, &transcript);
        loop {
            let id = current.id;
            self.meter.record_attempt(current.objectives);
            let mut trial = None;
            let work = current.relay(Relay {
                upstream,
                answer: self.answer,
                meter: self.meter,
            });
            let commands = &mut self.commands;
            let result = commands
                .run_until_end(upstream, &transcript, id, work, &mut trial)
                .await;
            let Some(trial) = trial else {
                return result;
            };
            match result {
                AttemptResult::Cancelled => {}
                AttemptResult::Ended(_, AttemptEnd::Failed(failure)) => {
                    report_failure(upstream.control, upstream.inbound, id, failure);
                }
                AttemptResult::Ended(_, AttemptEnd::Done) => {
                    // The core ignores the event of the attempt that it no longer runs.
                    let control = upstream.control;
                    control.send_attempt_event(id, AttemptEvent::Done);
                    return AttemptResult::Ended(trial.id, AttemptEnd::Done);
                }
                result => return result,
            }
            current = trial;
        }
    }
}

impl Commands<'_> {
    /// Runs an attempt until it ends by itself or by a command; starts and ends trials.
    async fn run_until_end<'a>(
        &mut self,
        upstream: Upstream<'a>,
        transcript: &Transcript,
        id: AttemptId,
        work: impl Future<Output = AttemptEnd>,
        trial: &mut Option<Pending<'a>>,
    ) -> AttemptResult {
        let Upstream {
            control, inbound, ..
        } = upstream;
        let mut work = std::pin::pin!(work);
        loop {
            tokio::select! {
                biased;
                end = &mut work => return AttemptResult::Ended(id, end),
                (id, accepted) = settled(trial) => match accepted {
                    Ok(()) => control.send_attempt_event(id, AttemptEvent::Accepted),
                    Err(failure) => {
                        *trial = None;
                        report_failure(control, inbound, id, failure);
                    }
                },
                command = self.receiver.recv() => match command {
                    None => return AttemptResult::ControlEnded,
                    Some(CallCommand::Cancel(cancelled)) if cancelled == id => return AttemptResult::Cancelled,
                    Some(CallCommand::Cancel(cancelled)) => {
                        trial.take_if(|trial| trial.id == cancelled);
                    }
                    Some(CallCommand::Dispatch(attempt)) if attempt.dispatch.trial => {
                        *trial = Some(Pending::new(upstream, *attempt, transcript));
                    }
                    Some(command) => return AttemptResult::Superseded(command),
                },
                () = self.gone.cancelled(), if !*self.gone_reported => {
                    *self.gone_reported = true;
                    control.send_event(Event::CallerGone(inbound.call.id));
                }
            }
        }
    }
}

/// Logs a failed attempt and reports it to the core.
pub(super) fn report_failure(
    control: &Control,
    inbound: &Inbound,
    attempt: AttemptId,
    failure: Failure,
) {
    tracing::info!(
        request = %inbound.call.request,
        %attempt,
        ?failure,
        "call: attempt failed"
    );
    control.send_attempt_event(attempt, AttemptEvent::Failed(failure));
}
