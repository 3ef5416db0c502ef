//! Answers that are streams of events.

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::stream::unfold;
use http::header::CONTENT_LENGTH;
use http::{Response, Version, response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use briarbank_core::flow::{Fault, Instance};

use crate::caller::attempt::media_type;
use crate::caller::attempt_guard::{StartedAnswer, keep_connection};
use crate::caller::body::{AnswerBody, Cut};
use crate::caller::exchange::Exchange;
use crate::caller::framing::Framing;
use crate::caller::outcome::Outcome;
use crate::caller::received::Received;
use crate::caller::silence::overlap_end;
use crate::events::{EventError, EventSplitter};
use crate::log_lines::LineKind;
use crate::server::break_fault;

/// Why a silent server is given up.
const STOOD_STILL: &str = "stream stood still";

/// Forwards a stream event by event and resumes it when it breaks off.
pub(crate) struct EventStream {
    exchange: Exchange,
    started: Option<StartedAnswer>,
    /// Head of the server that brings the first event.
    head: response::Parts,
    splitter: EventSplitter,
    /// First events, if they were read before the answer was chosen.
    read_ahead: Option<Next>,
    /// Whether an event has been passed on.
    has_event: bool,
    /// Since when the next events of the current server are waited for.
    waiting_since: Instant,
}

/// Result of a read from the server.
pub(crate) enum Next {
    Events(Bytes),
    End,
    Broken(&'static str, Fault),
    /// The server is silent, and another one could go on.
    Silent,
    /// Another server goes on.
    Moved,
}

impl From<EventError> for Next {
    fn from(error: EventError) -> Self {
        match error {
            EventError::OutOfOrder => {
                Self::Broken("events do not follow the last one", Fault::Malformed)
            }
            EventError::TooLong => Self::Broken("event is too long", Fault::Malformed),
            EventError::NoRoom => Self::Broken("no room for an event", Fault::Cancelled),
        }
    }
}

impl EventStream {
    /// Returns the answer once the first event has arrived.
    pub(crate) async fn answer(
        mut exchange: Exchange,
        mut started: StartedAnswer,
    ) -> Response<AnswerBody> {
        // Hedges end with the first event, as events of two runs must not be joined.
        exchange.hedge_kind = None;
        log_taken_up(&exchange, &started.guard.instance);
        let received = std::mem::replace(&mut started.received, Received::Nothing);
        let (splitter, read_ahead) = if let Received::Events(splitter, next) = received {
            (splitter, Some(next))
        } else {
            let splitter = EventSplitter::after(exchange.resumed_event(), &exchange.place);
            (splitter, None)
        };
        let mut stream = Self {
            exchange,
            head: started.head.clone(),
            started: Some(started),
            splitter,
            read_ahead,
            has_event: false,
            waiting_since: Instant::now(),
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
        head.version = Version::HTTP_11;
        // Another server may send the rest, so the length is unknown.
        head.headers.remove(CONTENT_LENGTH);
        let record = &mut stream.exchange.record;
        record.status = head.status.as_u16();
        record.first();
        let Some(first) = first else {
            stream.exchange.complete_stream();
            return Response::from_parts(head, AnswerBody::from(Bytes::new()));
        };
        let rest = unfold((Some(first), stream), |(pending, mut stream)| async move {
            if let Some(bytes) = pending {
                return Some((Ok(bytes), (None, stream)));
            }
            match stream.next().await {
                Ok(Some(bytes)) => Some((Ok(bytes), (None, stream))),
                Ok(None) => {
                    stream.exchange.complete_stream();
                    None
                }
                Err(cut) => Some((Err(cut), (None, stream))),
            }
        });
        Response::from_parts(head, AnswerBody::Stream(Box::pin(rest)))
    }

    /// Returns the next complete events, `None` at the end of the stream.
    async fn next(&mut self) -> Result<Option<Bytes>, Cut> {
        self.waiting_since = Instant::now();
        loop {
            let next = match self.take_next().await {
                Next::Silent => self.read_or_move().await,
                next => next,
            };
            match next {
                Next::Events(bytes) => {
                    self.record_events();
                    return Ok(Some(bytes));
                }
                Next::End => {
                    self.finish();
                    return Ok(None);
                }
                Next::Broken(reason, fault) => self.resume(reason, fault).await?,
                Next::Silent | Next::Moved => {}
            }
        }
    }

    async fn take_next(&mut self) -> Next {
        match self.read_ahead.take() {
            Some(next) => next,
            None => self.read().await,
        }
    }

    /// Reads until events are complete or another server should be asked for them.
    async fn read(&mut self) -> Next {
        let stall_max = self.exchange.stall_max();
        let deadline = self.exchange.deadline;
        let mut stalls_at = Instant::now() + stall_max;
        loop {
            let Some(started) = &mut self.started else {
                return Next::Broken("stream was cut", Fault::Cancelled);
            };
            let reading = read_events(&mut started.body, started.framing, &mut self.splitter);
            let until = stalls_at.min(deadline);
            if let Ok(next) = timeout_at(until, reading).await {
                return next;
            }
            if Instant::now() >= deadline {
                // The time limit is no fault of a server that was not silent before.
                let is_silent = self.waiting_since.elapsed() >= stall_max;
                let fault = if is_silent {
                    Fault::Silent
                } else {
                    Fault::Cancelled
                };
                return Next::Broken("stream did not end in time", fault);
            }
            if self.splitter.can_go_on() && self.exchange.can_leave(&started.guard.instance) {
                return Next::Silent;
            }
            stalls_at = Instant::now() + stall_max;
        }
    }

    /// Waits for the silent server, and for another one that takes the stream.
    async fn read_or_move(&mut self) -> Next {
        let Some(mut current) = self.started.take() else {
            return Next::Broken("stream was cut", Fault::Cancelled);
        };
        let from = Arc::clone(&current.guard.instance);
        let event = self.splitter.last_id().cloned();
        let sent_at = Rc::clone(&self.exchange.sent_at);
        sent_at.set(Instant::now());
        let mut moving = Box::pin(self.exchange.start_other(&from, event));
        let (next, moved) = tokio::select! {
            biased;
            next = read_events(&mut current.body, current.framing, &mut self.splitter) => (next, None),
            moved = &mut moving => (Next::Silent, moved),
            () = overlap_end(&sent_at) => (Next::Broken(STOOD_STILL, Fault::Silent), None),
        };
        let (next, moved) = match (next, moved) {
            (Next::Broken(reason, fault), None) => {
                // The other server may go on only when this one has stopped.
                current.guard.record_failure(fault);
                drop((current.body, current.connection));
                (Next::Broken(reason, Fault::Cancelled), moving.await)
            }
            (_, Some(moved)) => {
                drop(moving);
                current.guard.record_failure(Fault::Silent);
                (Next::Broken(STOOD_STILL, Fault::Cancelled), Some(moved))
            }
            (next, None) => {
                drop(moving);
                self.exchange.record.server = Some(from.id.clone());
                self.started = Some(current);
                (next, None)
            }
        };
        self.exchange.end_search();
        let Some(moved) = moved else {
            return next;
        };
        if let Next::Broken(reason, _) = next {
            self.exchange.set_failure_reason(reason);
        }
        self.go_on(&from, moved);
        Next::Moved
    }

    /// Records complete events, before the caller gets them.
    fn record_events(&mut self) {
        let Some(started) = &self.started else {
            return;
        };
        started.guard.record_first_event();
        self.exchange.record.add_chunk();
        if !std::mem::replace(&mut self.has_event, true) {
            self.exchange.record_first_server(&started.guard.instance);
            self.exchange.is_typed = media_type(&self.head.headers).is_some();
        }
    }

    /// Records the success and keeps the connection.
    fn finish(&mut self) {
        let Some(started) = self.started.take() else {
            return;
        };
        let instance = Arc::clone(&started.guard.instance);
        let is_whole = started.has_own_end();
        started.guard.record_success(is_whole);
        let shared = &self.exchange.shared;
        keep_connection(shared, &instance, started.connection, &started.answer_head);
    }

    /// Resumes a broken stream at another server after the last forwarded event.
    async fn resume(&mut self, reason: &'static str, fault: Fault) -> Result<(), Cut> {
        let Some(instance) = self.give_up(reason, fault) else {
            return Err(Cut::Stream);
        };
        let event = self.splitter.last_id().cloned();
        let is_expired = Instant::now() >= self.exchange.deadline;
        let can_go_on = !is_expired && self.splitter.can_go_on();
        if !can_go_on || !self.exchange.may_resume(&instance, event) {
            return Err(Cut::Stream);
        }
        let Some(started) = self.exchange.start_stream().await else {
            return Err(Cut::Stream);
        };
        self.go_on(&instance, started);
        Ok(())
    }

    /// Gives up the server and returns it.
    fn give_up(&mut self, reason: &str, fault: Fault) -> Option<Arc<Instance>> {
        let started = self.started.take()?;
        self.exchange.set_failure_reason(reason);
        let instance = Arc::clone(&started.guard.instance);
        started.guard.record_failure(fault);
        Some(instance)
    }

    /// Goes on with the answer of another server.
    fn go_on(&mut self, from: &Instance, started: StartedAnswer) {
        self.splitter.begin_answer();
        self.log_resumption(from, &started.guard.instance);
        if !self.has_event {
            self.head = started.head.clone();
        }
        self.started = Some(started);
        self.waiting_since = Instant::now();
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

/// Logs that a server goes on with a stream which another call of its caller began.
fn log_taken_up(exchange: &Exchange, instance: &Instance) {
    let Some(stream) = &exchange.admitted.head.taken_up else {
        return;
    };
    metrics::counter!("briarbank_streams_taken_up_total").increment(1);
    if exchange.shared.log_lines.take(LineKind::Continued) {
        tracing::info!(
            id = %exchange.record.id, first_call = stream.first_call.as_deref(),
            event = stream.last_event.as_deref(), server = %instance.id,
            software = &*instance.version, "call: stream taken up"
        );
    }
}

/// Reads until events are complete; no bytes are lost when it is dropped.
pub(crate) async fn read_events(
    body: &mut Incoming,
    framing: Framing,
    splitter: &mut EventSplitter,
) -> Next {
    loop {
        let frame = match body.frame().await {
            Some(Ok(frame)) => frame,
            Some(Err(error)) => return Next::Broken("stream broke off", break_fault(&error)),
            None if splitter.has_partial() => {
                return Next::Broken("stream ended within an event", Fault::Broken);
            }
            // A stream without an event has not begun, so its server has not sent it.
            None if framing == Framing::ConnectionEnd && !splitter.has_event() => {
                return Next::Broken("stream ended before its first event", Fault::Broken);
            }
            None => return Next::End,
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        match splitter.push(data) {
            Ok(Some(events)) => return Next::Events(events),
            Ok(None) => {}
            Err(error) => return Next::from(error),
        }
    }
}
