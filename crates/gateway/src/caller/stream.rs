//! Answers that are streams of events.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::stream::unfold;
use http::header::CONTENT_LENGTH;
use http::{Response, response};
use http_body_util::BodyExt;
use tokio::time::{Instant, timeout_at};

use briarbank_core::flow::{Fault, Instance};

use crate::caller::attempt_guard::{StartedAnswer, keep_connection};
use crate::caller::body::{AnswerBody, Cut};
use crate::caller::exchange::Exchange;
use crate::caller::outcome::Outcome;
use crate::events::EventSplitter;
use crate::log_lines::LineKind;

/// Forwards a stream event by event and resumes it when it breaks off.
pub(crate) struct EventStream {
    exchange: Exchange,
    started: Option<StartedAnswer>,
    /// Head of the server that brings the first event.
    head: response::Parts,
    splitter: EventSplitter,
    /// Whether an event has been passed on.
    has_event: bool,
}

/// Result of a read from the server.
enum Next {
    Events(Bytes),
    End,
    Broken(&'static str, Fault),
}

impl EventStream {
    /// Returns the answer once the first event has arrived.
    pub(crate) async fn answer(exchange: Exchange, started: StartedAnswer) -> Response<AnswerBody> {
        if let Some(stream) = &exchange.admitted.head.taken_up {
            metrics::counter!("briarbank_streams_taken_up_total").increment(1);
            if exchange.shared.log_lines.take(LineKind::Continued) {
                let instance = &started.guard.instance;
                tracing::info!(
                    id = %exchange.record.id, first_call = stream.first_call.as_deref(),
                    event = stream.last_event.as_deref(), server = %instance.id,
                    software = &*instance.version, "call: stream taken up"
                );
            }
        }
        let mut stream = Self {
            exchange,
            head: started.head.clone(),
            started: Some(started),
            splitter: EventSplitter::default(),
            has_event: false,
        };
        let first = stream.next().await;
        let Ok(first) = first else {
            // Nothing has been sent to the caller, so the answer can still be an error.
            let outcome = if Instant::now() >= stream.exchange.deadline {
                Outcome::TimedOut
            } else {
                Outcome::Unknown
            };
            return stream.exchange.refuse(outcome);
        };
        let mut head = stream.head.clone();
        let shared = &stream.exchange.shared;
        shared.dialect.caller_headers(&mut head.headers);
        // Another server may send the rest, so the length is unknown.
        head.headers.remove(CONTENT_LENGTH);
        let record = &mut stream.exchange.record;
        record.status = head.status.as_u16();
        record.first();
        let Some(first) = first else {
            record.complete();
            return Response::from_parts(head, AnswerBody::from(Bytes::new()));
        };
        let rest = unfold((Some(first), stream), |(pending, mut stream)| async move {
            if let Some(bytes) = pending {
                return Some((Ok(bytes), (None, stream)));
            }
            match stream.next().await {
                Ok(Some(bytes)) => Some((Ok(bytes), (None, stream))),
                Ok(None) => {
                    stream.exchange.record.complete();
                    None
                }
                Err(cut) => Some((Err(cut), (None, stream))),
            }
        });
        Response::from_parts(head, AnswerBody::Stream(Box::pin(rest)))
    }

    /// Returns the next complete events, `None` at the end of the stream.
    async fn next(&mut self) -> Result<Option<Bytes>, Cut> {
        loop {
            match self.read().await {
                Next::Events(bytes) => {
                    self.record_first_event();
                    return Ok(Some(bytes));
                }
                Next::End => {
                    self.finish();
                    return Ok(None);
                }
                Next::Broken(reason, fault) => self.resume(reason, fault).await?,
            }
        }
    }

    async fn read(&mut self) -> Next {
        let Some(started) = &mut self.started else {
            return Next::Broken("stream was cut", Fault::Cancelled);
        };
        let deadline = self.exchange.deadline;
        let stall_timeout = self.exchange.stall_timeout();
        let stalls_at = || stall_timeout.map_or(deadline, |pause| Instant::now() + pause);
        let silent_from = Instant::now() + self.exchange.stall_max();
        let mut until = stalls_at().min(deadline);
        loop {
            let frame = match timeout_at(until, started.body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_))) => return Next::Broken("stream broke off", Fault::Broken),
                Ok(None) if self.splitter.has_partial() => {
                    return Next::Broken("stream ended within an event", Fault::Broken);
                }
                Ok(None) => return Next::End,
                Err(_)
                    if Instant::now() < deadline
                        && !self.exchange.can_leave(&started.guard.instance) =>
                {
                    until = stalls_at().min(deadline);
                    continue;
                }
                // The time limit is no fault of a server that was not silent before.
                Err(_) if Instant::now() < silent_from => {
                    return Next::Broken("stream did not end in time", Fault::Cancelled);
                }
                Err(_) => return Next::Broken("stream stood still", Fault::Silent),
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if let Some(events) = self.splitter.push(data) {
                started.guard.record_first_event();
                self.exchange.record.add_chunk();
                return Next::Events(events);
            }
            if self.splitter.is_too_long() {
                return Next::Broken("event is too long", Fault::Malformed);
            }
        }
    }

    /// Records the server of the first event, before the caller gets the event.
    fn record_first_event(&mut self) {
        if let Some(started) = &self.started
            && !std::mem::replace(&mut self.has_event, true)
        {
            self.exchange.record_first_server(&started.guard.instance);
        }
    }

    /// Records the success and keeps the connection.
    fn finish(&mut self) {
        let Some(started) = self.started.take() else {
            return;
        };
        let instance = Arc::clone(&started.guard.instance);
        started.guard.record_success();
        let shared = &self.exchange.shared;
        keep_connection(shared, &instance, started.connection, &started.answer_head);
    }

    /// Resumes the stream at another server after the last forwarded event.
    async fn resume(&mut self, reason: &'static str, fault: Fault) -> Result<(), Cut> {
        let Some(started) = self.started.take() else {
            return Err(Cut::Stream);
        };
        self.exchange.set_failure_reason(reason);
        let instance = Arc::clone(&started.guard.instance);
        started.guard.record_failure(fault);
        drop(started.connection);
        self.splitter.drop_partial();
        let event = self.splitter.last_id().cloned();
        let is_expired = Instant::now() >= self.exchange.deadline;
        if is_expired || !self.exchange.may_resume(&instance, event) {
            return Err(Cut::Stream);
        }
        let Ok(started) = self.exchange.start_answer().await else {
            return Err(Cut::Stream);
        };
        if !started.head.status.is_success() {
            return Err(Cut::Stream);
        }
        self.log_resumption(&instance, &started.guard.instance);
        if !self.has_event {
            self.head = started.head.clone();
        }
        self.started = Some(started);
        Ok(())
    }

    fn log_resumption(&self, from: &Instance, to: &Instance) {
        metrics::counter!("briarbank_streams_resumed_total").increment(1);
        if !self.exchange.shared.log_lines.take(LineKind::Continued) {
            return;
        }
        tracing::info!(
            id = %self.exchange.record.id, event = self.splitter.last_id().map(|id| &**id),
            from = %from.id, from_software = &*from.version, server = %to.id,
            software = &*to.version, trouble = self.exchange.record.failure_reason.as_deref(),
            "call: stream resumed at another server"
        );
    }
}
