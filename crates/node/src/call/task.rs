//! The task of one call: carries out its orders and reports what happened.

use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use briarbank_core::call::{Failure, Outcome, Reason, Refusal, StoredAnswer};
use briarbank_core::ids::{AttemptId, HostName};
use briarbank_core::node::Event;
use briarbank_core::router::AttemptEvent;
use briarbank_wire::ReplyHead;
use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use super::{Answer, Inbound, Meter, Reply, ReplyAnswer, ReplyBody};
use crate::control::Control;
use crate::order::{Attempt, Order};
use crate::peer::{Forwarded, Links, NotForwarded, forward};
use crate::progress::Progress;
use crate::server::{AttemptEnd, AttemptRun, Pool, Upstream};

/// When callers whose calls were cut by a stop are asked to come back.
const CUT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time for the last word to a caller whose call is cut.
const CUT_TIMEOUT: Duration = Duration::from_millis(200);

/// How an attempt's work ended.
enum Worked {
    /// By itself.
    Ended(AttemptEnd),
    /// By order.
    Cancelled,
    /// By an order that takes its place.
    Ordered(Order),
    /// No orders come any more.
    ControlEnded,
}

/// One call and its answer.
pub(super) struct CallTask {
    pub(super) host: HostName,
    pub(super) control: Control,
    pub(super) links: Links,
    pub(super) pool: Pool,
    pub(super) answer: Answer,
    pub(super) meter: Meter,
    pub(super) told_gone: bool,
    pub(super) inbound: Inbound,
    pub(super) orders: mpsc::Receiver<Order>,
    pub(super) gone: CancellationToken,
}

impl CallTask {
    /// Runs until the call is over, or cut by the end of a planned stop.
    pub(super) async fn run(mut self, cut: &CancellationToken) {
        tokio::select! {
            () = self.follow() => return,
            () = cut.cancelled() => {}
        }
        tracing::warn!(request = %self.inbound.call.request, "call: cut by the stop");
        let refusal = Refusal {
            reason: Reason::Stopping,
            outcome: Outcome::Unknown,
            retry_after: CUT_RETRY_AFTER,
        };
        let _ = timeout(CUT_TIMEOUT, self.answer.refuse(refusal)).await;
    }

    /// Follows the orders until the call is over.
    async fn follow(&mut self) {
        loop {
            let order = tokio::select! {
                order = self.orders.recv() => order,
                () = self.gone.cancelled(), if !self.told_gone => {
                    self.tell_gone();
                    continue;
                }
            };
            let Some(order) = order else {
                return;
            };
            if self.carry_out(order).await.is_break() {
                return;
            }
        }
    }

    fn tell_gone(&mut self) {
        self.told_gone = true;
        self.control.event(Event::CallerGone(self.inbound.call.id));
    }

    async fn carry_out(&mut self, order: Order) -> ControlFlow<()> {
        match order {
            Order::Dispatch(attempt) if self.answer.is_complete() => {
                return self.complete(attempt.dispatch.attempt).await;
            }
            Order::Dispatch(attempt) => return self.attempt(*attempt).await,
            Order::Cancel(_) => return ControlFlow::Continue(()),
            Order::End if self.answer.is_complete() => {}
            Order::End => self.meter.abandoned(),
            Order::Refuse(_) if self.answer.is_complete() => {
                let _ = self.answer.flush().await;
            }
            Order::Refuse(refusal) => {
                self.meter.refused(refusal.reason, refusal.outcome);
                tracing::debug!(
                    request = %self.inbound.call.request,
                    reason = refusal.reason.as_str(),
                    outcome = refusal.outcome.as_str(),
                    "call: refused"
                );
                self.answer.refuse(refusal).await;
            }
            Order::Replay(stored) => self.replay(&stored),
            Order::Forward { to, address } => return self.forward(&to, address).await,
        }
        ControlFlow::Break(())
    }

    fn replay(&mut self, stored: &StoredAnswer) {
        let body = Bytes::copy_from_slice(&stored.body);
        self.answer
            .whole(stored.status, Arc::clone(&stored.content_type), body);
    }

    /// Answers an order that crossed with the end of the answer.
    async fn complete(&mut self, attempt: AttemptId) -> ControlFlow<()> {
        let end = match self.answer.flush().await {
            Ok(()) => AttemptEnd::Done,
            Err(_) => AttemptEnd::CallerLeft,
        };
        self.report(attempt, end)
    }

    async fn attempt(&mut self, attempt: Attempt) -> ControlFlow<()> {
        let id = attempt.dispatch.attempt;
        if !attempt.idempotent {
            self.answer.keep();
        }
        self.meter.attempt(attempt.targets);
        match self.work(attempt).await {
            Worked::Ended(end) => self.report(id, end),
            Worked::Cancelled => ControlFlow::Continue(()),
            Worked::Ordered(order) => Box::pin(self.carry_out(order)).await,
            Worked::ControlEnded => ControlFlow::Break(()),
        }
    }

    /// Runs one attempt, and takes orders meanwhile.
    async fn work(&mut self, attempt: Attempt) -> Worked {
        let id = attempt.dispatch.attempt;
        let run = AttemptRun {
            upstream: Upstream {
                control: &self.control,
                pool: &self.pool,
                inbound: &self.inbound,
                progress: Progress::new(id),
            },
            answer: &mut self.answer,
            meter: &mut self.meter,
            attempt,
        };
        let mut work = pin!(run.run());
        loop {
            tokio::select! {
                biased;
                end = &mut work => return Worked::Ended(end),
                order = self.orders.recv() => match order {
                    None => return Worked::ControlEnded,
                    Some(Order::Cancel(cancelled)) if cancelled == id => return Worked::Cancelled,
                    Some(Order::Cancel(_)) => {}
                    Some(order) => return Worked::Ordered(order),
                },
                () = self.gone.cancelled(), if !self.told_gone => {
                    self.told_gone = true;
                    self.control.event(Event::CallerGone(self.inbound.call.id));
                }
            }
        }
    }

    fn report(&mut self, attempt: AttemptId, end: AttemptEnd) -> ControlFlow<()> {
        match end {
            AttemptEnd::Done => {
                self.meter.completed();
                // The caller may go now; orders that crossed with the end still come.
                self.told_gone = true;
                self.control.attempt(attempt, AttemptEvent::Done);
                ControlFlow::Continue(())
            }
            AttemptEnd::CallerLeft => {
                self.tell_gone();
                ControlFlow::Continue(())
            }
            AttemptEnd::Failed(failure) => {
                self.log_failure(attempt, failure);
                // A caller that left during the attempt may count now.
                self.told_gone = false;
                self.control.attempt(attempt, AttemptEvent::Failed(failure));
                ControlFlow::Continue(())
            }
        }
    }

    fn log_failure(&self, attempt: AttemptId, failure: Failure) {
        tracing::info!(
            request = %self.inbound.call.request,
            %attempt,
            ?failure,
            "call: attempt failed"
        );
    }

    /// Forwards the call to its owner and relays the answer.
    async fn forward(&mut self, to: &HostName, address: Option<SocketAddr>) -> ControlFlow<()> {
        let call = self.inbound.call.id;
        let relayed = tokio::select! {
            relayed = relay(&self.host, &self.links, &self.inbound, &mut self.answer, to, address) => relayed,
            () = self.gone.cancelled() => {
                self.control.event(Event::CallerGone(call));
                return ControlFlow::Break(());
            }
        };
        match relayed {
            Ok(()) => {
                self.control.event(Event::ForwardDone(call));
                ControlFlow::Break(())
            }
            Err(NotForwarded { sent }) => {
                tracing::info!(request = %self.inbound.call.request, host = %to, sent, "call: forward failed");
                self.control.event(Event::ForwardFailed { call, sent });
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
) -> Result<(), NotForwarded> {
    let address = address.ok_or(NotForwarded { sent: false })?;
    let head = inbound.head(host);
    let forwarded = forward(links, to, address, &head, inbound.body.clone()).await?;
    match forwarded.head.clone() {
        ReplyHead::Refusal(refusal) => {
            answer.send(Reply::Refusal(refusal));
            Ok(())
        }
        ReplyHead::Answer {
            status,
            content_type,
            outcome: Some(outcome),
        } => {
            let body = collect(forwarded, answer.limit_bytes()).await?;
            answer.send(Reply::Answer(ReplyAnswer {
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
            stream(forwarded, answer).await
        }
    }
}

async fn collect(mut forwarded: Forwarded, limit_bytes: usize) -> Result<Bytes, NotForwarded> {
    let mut body = Vec::new();
    while let Some(part) = forwarded.next().await? {
        body.extend_from_slice(&part);
        if body.len() > limit_bytes {
            return Err(NotForwarded { sent: true });
        }
    }
    Ok(body.into())
}

async fn stream(mut forwarded: Forwarded, answer: &mut Answer) -> Result<(), NotForwarded> {
    while let Some(part) = forwarded.next().await? {
        // The owner keeps the answer, also when this caller has left.
        let _ = answer.chunk(&part).await;
    }
    Ok(())
}
