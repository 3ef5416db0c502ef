//! Attempts of a call that wait for the heads of their answers.

use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use briarbank_core::flow::{Fault, Placement};
use futures_util::future::select_all;
use tokio::time::{Instant, timeout_at};

use crate::caller::attempt_guard::{AttemptGuard, Execution, StartedAnswer};
use crate::caller::exchange::Exchange;
use crate::caller::hedge::OpenHedge;
use crate::caller::outcome::Outcome;
use crate::caller::received::{Received, read_ahead};
use crate::caller::silence::OVERLAP_MAX;
use crate::loads;
use crate::server::{SendError, Sent};

/// What comes of a request: its answer, and what was read of the body.
type Sending = Pin<Box<dyn Future<Output = Result<(Sent, Received), SendError>>>>;

/// An attempt that waits for its answer.
pub(crate) struct PendingAttempt {
    pub(crate) guard: AttemptGuard,
    sending: Sending,
    pub(crate) sent_at: Instant,
    /// Time without a head after which the server counts as silent.
    silence_max: Duration,
    /// When to look for another server next.
    check_at: Instant,
    /// Whether another server was asked since; the attempt counts as used then.
    pub(crate) is_left: bool,
    /// Set if the attempt is a hedge.
    pub(crate) hedge: Option<OpenHedge>,
}

impl PendingAttempt {
    pub(crate) fn is_silent(&self) -> bool {
        self.sent_at.elapsed() >= self.silence_max
    }

    /// Returns the fault of a server that has not answered until now.
    pub(crate) fn unanswered_fault(&self) -> Fault {
        if self.is_silent() {
            Fault::Silent
        } else {
            Fault::Cancelled
        }
    }
}

/// Attempts of one call that have not led to an answer.
#[derive(Default)]
pub(crate) struct Attempts {
    /// In the order of their sends.
    pub(crate) pending: Vec<PendingAttempt>,
    /// When the first of them was sent.
    pub(crate) first_sent_at: Option<Instant>,
    /// When to consider a hedge.
    pub(crate) hedge_at: Option<Instant>,
    /// Error of a server, to be forwarded if no silent server answers.
    pub(crate) error: Option<Box<StartedAnswer>>,
}

/// What follows when attempts have been waited for.
pub(crate) enum Step {
    Started(Box<StartedAnswer>),
    /// Another server is to be asked.
    Send,
    /// A hedge is to be considered.
    Hedge,
    /// No attempt is left.
    End,
}

impl Exchange {
    /// Sends the call until a server starts to answer.
    ///
    /// A server that is silent is given up only when another one has started to answer,
    /// or has a stream for a moment without refusing it.
    pub(crate) async fn start_answer(&mut self) -> Result<StartedAnswer, Outcome> {
        let mut attempts = Attempts::default();
        let mut next = Step::Send;
        loop {
            if let Step::Hedge = next {
                self.hedge(&mut attempts).await;
            } else if let Err(outcome) = self.send_next(&mut attempts).await
                && attempts.pending.is_empty()
            {
                return attempts.error.take().map(|e| *e).ok_or(outcome);
            }
            next = self.wait_for_answer(&mut attempts).await;
            match next {
                Step::Started(started) => return Ok(self.end_search_with(attempts, started)),
                Step::Send | Step::Hedge => {}
                Step::End => {
                    self.give_up(attempts.pending);
                    let error = attempts.error.take().map(|e| *e);
                    return error.ok_or_else(|| self.final_outcome());
                }
            }
        }
    }

    /// Sends the call to the next server.
    async fn send_next(&mut self, attempts: &mut Attempts) -> Result<(), Outcome> {
        let uncounted = self.uncounted.take();
        let placement = self.place(&attempts.pending).await?;
        let guard = AttemptGuard::new(&self.shared, &placement);
        if let Some(silent) = uncounted {
            if !self.may_retry(Execution::Unknown, &silent) {
                return Err(self.final_outcome());
            }
            if let Some(newest) = attempts.pending.last_mut() {
                newest.is_left = true;
            }
        }
        self.record.server = Some(placement.instance.id.clone());
        self.record.expected_ms = Some(placement.expected_latency.as_millis() as u64);
        let attempt = self.begin_attempt(guard, &placement);
        attempts.first_sent_at.get_or_insert(attempt.sent_at);
        attempts.hedge_at = if attempts.pending.is_empty() {
            self.hedge_time(attempt.sent_at)
        } else {
            None
        };
        attempts.pending.push(attempt);
        Ok(())
    }

    /// Chooses the server for the next attempt, not one that has the call already.
    pub(crate) async fn place(&mut self, pending: &[PendingAttempt]) -> Result<Placement, Outcome> {
        let now = Instant::now();
        if now >= self.deadline {
            return Err(self.final_outcome());
        }
        let call = self.call_to_dispatch(now);
        let has_silent = self.silent_server.is_some() || !pending.is_empty();
        let mut avoid = self.tried.clone();
        avoid.extend(self.silent_server.clone());
        avoid.extend(pending.iter().map(|a| a.guard.instance.id.clone()));
        loads::query(&self.shared, &call, &avoid).await;
        let dispatched = {
            let now = std::time::Instant::now();
            let mut dispatcher = self.shared.dispatcher.borrow_mut();
            if has_silent && !dispatcher.can_move(now, &call, &avoid) {
                return Err(self.final_outcome());
            }
            dispatcher.dispatch(now, &call, &avoid)
        };
        loads::report_changes(&self.shared);
        dispatched.map_err(|refusal| self.refusal_outcome(refusal))
    }

    /// Sends the call to the chosen server.
    pub(crate) fn begin_attempt(
        &self,
        guard: AttemptGuard,
        placement: &Placement,
    ) -> PendingAttempt {
        let request = self.build_request(&placement.instance);
        let (connections_max, sharing_nodes) = self.connection_limit();
        let (shared, instance) = (Rc::clone(&self.shared), Arc::clone(&placement.instance));
        let (ahead, method) = (self.read_ahead(), self.head.method.clone());
        let resumed_event = self.resumed_event();
        let place = Arc::clone(&self.place);
        let sending = async move {
            let is_evacuated = || {
                let dispatcher = shared.dispatcher.borrow();
                dispatcher.is_evacuated(std::time::Instant::now(), &instance)
            };
            let pool = &shared.pool;
            let sending = pool.send(
                &shared,
                &instance,
                request,
                connections_max,
                sharing_nodes,
                is_evacuated,
            );
            let mut sent = sending.await?;
            let received = read_ahead(&mut sent, &method, ahead, resumed_event, &place).await;
            Ok((sent, received))
        };
        let (sent_at, silence_max) = (Instant::now(), self.silence_max(placement));
        self.sent_at.set(sent_at);
        PendingAttempt {
            guard,
            sending: Box::pin(sending),
            sent_at,
            silence_max,
            check_at: sent_at + silence_max,
            is_left: false,
            hedge: None,
        }
    }

    /// Waits until a server answers or another one is to be asked.
    async fn wait_for_answer(&mut self, attempts: &mut Attempts) -> Step {
        while let Some(newest) = attempts.pending.last() {
            let overlap_end = self.overlap_end(&attempts.pending);
            let until = newest.check_at.min(self.deadline);
            let until = overlap_end.map_or(until, |end| end.min(until));
            let hedge_at = attempts.hedge_at;
            let until = hedge_at.map_or(until, |at| at.min(until));
            let pending = attempts.pending.iter_mut();
            let sending = select_all(pending.map(|a| a.sending.as_mut()));
            let waited = timeout_at(until, sending).await;
            let now = Instant::now();
            let step = match waited {
                Ok((sent, index, _)) => self.end_attempt(attempts, index, sent),
                Err(_) if now >= self.deadline => Some(Step::End),
                Err(_) if hedge_at.is_some_and(|at| now >= at) => Some(Step::Hedge),
                Err(_) if overlap_end.is_some_and(|end| now >= end) => {
                    let newest = attempts.pending.pop();
                    self.give_up(std::mem::take(&mut attempts.pending));
                    attempts.pending.extend(newest);
                    None
                }
                Err(_) => self.look_for_another(attempts),
            };
            if let Some(step) = step {
                return step;
            }
        }
        Step::End
    }

    /// Returns when silent servers of a stream are given up, as another one has it.
    fn overlap_end(&self, pending: &[PendingAttempt]) -> Option<Instant> {
        let newest = pending.last()?;
        // Both attempts of a hedged stream go on until one of them has its first event.
        let has_others = pending.len() > 1 && !newest.is_left && newest.hedge.is_none();
        let is_bounded = self.admitted.route.is_stream() && has_others;
        is_bounded.then(|| newest.sent_at + OVERLAP_MAX)
    }

    /// Looks for another server to ask beside one that is silent.
    fn look_for_another(&mut self, attempts: &mut Attempts) -> Option<Step> {
        let newest = attempts.pending.last_mut()?;
        newest.check_at = Instant::now() + newest.silence_max;
        let instance = Arc::clone(&newest.guard.instance);
        if newest.is_left || !self.can_leave(&instance) {
            return None;
        }
        self.set_failure_reason("server was silent");
        self.uncounted = Some(instance);
        Some(Step::Send)
    }
}
