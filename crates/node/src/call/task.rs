//! Task of one call: executes its commands and reports the results.

use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::sync::Arc;
use std::time::Duration;

use briarbank_core::call::{Outcome, Reason, Refusal, StoredAnswer};
use briarbank_core::ids::{AttemptId, HostName};
use briarbank_core::node::Event;
use briarbank_core::occupancy::Purpose;
use briarbank_core::router::AttemptEvent;
use briarbank_net::{Collector, Place};
use briarbank_wire::ReplyHead;
use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use super::running::{AttemptResult, Commands, RunningAttempts, report_failure};
use super::{Answer, Inbound, Meter, Reply, ReplyAnswer, ReplyBody};
use crate::command::{Attempt, CallCommand};
use crate::control::Control;
use crate::peer::{ForwardError, ForwardedAnswer, Links, forward};
use crate::server::{AttemptEnd, Pool, Upstream};

/// Retry delay for callers whose calls were aborted by a shutdown.
const ABORT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Longest time to send the refusal of an aborted call.
const ABORT_TIMEOUT: Duration = Duration::from_millis(200);

/// One call and its answer.
pub(super) struct CallTask {
    pub(super) host: HostName,
    pub(super) control: Control,
    pub(super) links: Links,
    pub(super) pool: Pool,
    pub(super) answer: Answer,
    pub(super) meter: Meter,
    pub(super) gone_reported: bool,
    pub(super) inbound: Inbound,
    pub(super) commands: mpsc::Receiver<CallCommand>,
    pub(super) gone: CancellationToken,
}

impl CallTask {
    /// Runs until the call ends or is aborted at the drain timeout.
    pub(super) async fn run(mut self, abort: &CancellationToken) {
        tokio::select! {
            () = self.run_commands() => return,
            () = abort.cancelled() => {}
        }
        tracing::warn!(request = %self.inbound.call.request, "call: aborted by the shutdown");
        let refusal = Refusal {
            reason: Reason::Stopping,
            outcome: Outcome::Unknown,
            retry_after: ABORT_RETRY_AFTER,
        };
        let _ = timeout(ABORT_TIMEOUT, self.answer.send_refusal(refusal)).await;
    }

    /// Executes commands until the call ends.
    async fn run_commands(&mut self) {
        loop {
            let command = tokio::select! {
                command = self.commands.recv() => command,
                () = self.gone.cancelled(), if !self.gone_reported => {
                    self.report_gone();
                    continue;
                }
            };
            let Some(command) = command else {
                return;
            };
            if self.execute(command).await.is_break() {
                return;
            }
        }
    }

    fn report_gone(&mut self) {
        self.gone_reported = true;
        self.control
            .send_event(Event::CallerGone(self.inbound.call.id));
    }

    async fn execute(&mut self, command: CallCommand) -> ControlFlow<()> {
        match command {
            CallCommand::Dispatch(attempt) if self.answer.is_complete() => {
                return self.finish_complete(attempt.dispatch.attempt).await;
            }
            CallCommand::Dispatch(attempt) => return self.execute_attempt(*attempt).await,
            CallCommand::Cancel(_) => return ControlFlow::Continue(()),
            CallCommand::End if self.answer.is_complete() => {}
            CallCommand::End => self.meter.record_abandonment(),
            CallCommand::Refuse(_) if self.answer.is_complete() => {
                let _ = self.answer.flush().await;
            }
            CallCommand::Refuse(refusal) => {
                self.meter.record_refusal(refusal.reason, refusal.outcome);
                tracing::debug!(
                    request = %self.inbound.call.request,
                    reason = refusal.reason.as_str(),
                    outcome = refusal.outcome.as_str(),
                    "call: refused"
                );
                self.answer.send_refusal(refusal).await;
            }
            CallCommand::Replay(stored) => self.replay(&stored),
            CallCommand::Forward { to, address } => return self.forward_call(&to, address).await,
        }
        ControlFlow::Break(())
    }

    fn replay(&mut self, stored: &StoredAnswer) {
        let body = Bytes::copy_from_slice(&stored.body);
        self.answer
            .send_whole(stored.status, Arc::clone(&stored.content_type), body);
    }

    /// Answers a dispatch that was sent before the answer was reported complete.
    async fn finish_complete(&mut self, attempt: AttemptId) -> ControlFlow<()> {
        let end = match self.answer.flush().await {
            Ok(()) => AttemptEnd::Done,
            Err(_) => AttemptEnd::CallerLeft,
        };
        self.report_end(attempt, end)
    }

    async fn execute_attempt(&mut self, attempt: Attempt) -> ControlFlow<()> {
        if !attempt.idempotent {
            self.answer.keep_bytes();
        }
        match self.run_attempt(attempt).await {
            AttemptResult::Ended(id, end) => self.report_end(id, end),
            AttemptResult::Cancelled => ControlFlow::Continue(()),
            AttemptResult::Superseded(command) => Box::pin(self.execute(command)).await,
            AttemptResult::ControlEnded => ControlFlow::Break(()),
        }
    }

    /// Runs one attempt while receiving commands.
    async fn run_attempt(&mut self, attempt: Attempt) -> AttemptResult {
        let sent = self.meter.sent_mark();
        let attempts = RunningAttempts {
            upstream: Upstream {
                control: &self.control,
                pool: &self.pool,
                inbound: &self.inbound,
                sent: &sent,
            },
            answer: &mut self.answer,
            meter: &mut self.meter,
            commands: Commands {
                receiver: &mut self.commands,
                gone: &self.gone,
                gone_reported: &mut self.gone_reported,
            },
        };
        attempts.run(attempt).await
    }

    fn report_end(&mut self, attempt: AttemptId, end: AttemptEnd) -> ControlFlow<()> {
        match end {
            AttemptEnd::Done => {
                self.meter.record_completion();
                // The caller may leave from here on; commands sent earlier may still arrive.
                self.gone_reported = true;
                self.control.send_attempt_event(attempt, AttemptEvent::Done);
                ControlFlow::Continue(())
            }
            AttemptEnd::CallerLeft => {
                self.report_gone();
                ControlFlow::Continue(())
            }
            AttemptEnd::Failed(failure) => {
                // Reports a departed caller again: the core ignores it while an owned call is sent.
                self.gone_reported = false;
                report_failure(&self.control, &self.inbound, attempt, failure);
                ControlFlow::Continue(())
            }
        }
    }

    /// Forwards the call to its owner and relays the answer.
    async fn forward_call(
        &mut self,
        to: &HostName,
        address: Option<SocketAddr>,
    ) -> ControlFlow<()> {
        let call = self.inbound.call.id;
        let relayed = tokio::select! {
            relayed = relay(&self.host, &self.links, &self.inbound, &mut self.answer, to, address) => relayed,
            () = self.gone.cancelled() => {
                self.control.send_event(Event::CallerGone(call));
                return ControlFlow::Break(());
            }
        };
        match relayed {
            Ok(()) => {
                self.control.send_event(Event::ForwardDone(call));
                ControlFlow::Break(())
            }
            Err(ForwardError { sent }) => {
                tracing::info!(request = %self.inbound.call.request, host = %to, sent, "call: forwarding to the owner failed");
                self.control.send_event(Event::ForwardFailed { call, sent });
                ControlFlow::Continue(())
            }
        }
    }
}

async fn relay(
    host: &HostName,
    links: &Links,
    inbound: &Inbound,
    answer: &mut Answer,
    to: &HostName,
    address: Option<SocketAddr>,
) -> Result<(), ForwardError> {
    let address = address.ok_or(ForwardError { sent: false })?;
    let head = inbound.head(host);
    let forwarded = forward(links, to, address, &head, inbound.body.clone()).await?;
    match forwarded.head.clone() {
        ReplyHead::Refusal(refusal) => {
            answer.send_reply(Reply::Refusal(refusal));
            Ok(())
        }
        ReplyHead::Answer {
            status,
            content_type,
            outcome: Some(outcome),
        } => {
            let body = collect_body(forwarded, answer.limit_bytes(), &inbound.place).await?;
            answer.send_reply(Reply::Answer(ReplyAnswer {
                status,
                content_type,
                outcome: Some(outcome),
                body: ReplyBody::Whole(body),
            }));
            Ok(())
        }
        ReplyHead::Answer {
            status,
            content_type,
            outcome: None,
        } => {
            answer.begin_stream(status, &content_type);
            relay_stream(forwarded, answer).await
        }
    }
}

async fn collect_body(
    mut forwarded: ForwardedAnswer,
    limit_bytes: usize,
    place: &Arc<Place>,
) -> Result<Bytes, ForwardError> {
    let failed = |_full| ForwardError { sent: true };
    let mut body = Collector::new(place, Purpose::Answer, None);
    while let Some(chunk) = forwarded.next().await? {
        if body.length() + chunk.len() > limit_bytes {
            return Err(ForwardError { sent: true });
        }
        body.push(&chunk).map_err(failed)?;
    }
    body.finish().into_bytes().map_err(failed)
}

async fn relay_stream(
    mut forwarded: ForwardedAnswer,
    answer: &mut Answer,
) -> Result<(), ForwardError> {
    while let Some(chunk) = forwarded.next().await? {
        // Reads on after the caller left, because the owner stores the answer.
        let _ = answer.send_chunk(&chunk).await;
    }
    Ok(())
}
