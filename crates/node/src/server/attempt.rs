//! Attempt to run a call on a server.

use std::sync::Arc;
use std::time::Duration;

use briarbank_core::call::{Failure, StoredAnswer};
use briarbank_core::node::Event;
use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::timeout;

use super::body::{StreamBody, collect_body};
use super::head::{NotRun, ServerHead};
use super::pool::{Connection, IDLE_TIMEOUT, Pool};
use super::request;
use super::stream::StreamEnd;
use crate::call::{Answer, Inbound, Meter};
use crate::command::Attempt;
use crate::control::Control;
use crate::progress::Progress;

/// Content type of server-sent events.
const EVENT_STREAM: &str = "text/event-stream";

/// Longest idle time of a connection for a call that is not idempotent.
///
/// A server may close an idle connection just when the call is sent, and then
/// it is unknown whether the call ran; servers keep idle connections longer.
const NON_IDEMPOTENT_IDLE_MAX: Duration = Duration::from_secs(1);

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptEnd {
    /// The whole answer was sent to the caller.
    Done,
    /// The caller is gone.
    CallerLeft,
    /// No complete answer was received.
    Failed(Failure),
}

/// Resources that an attempt uses.
pub(crate) struct Upstream<'a> {
    pub(crate) control: &'a Control,
    pub(crate) pool: &'a Pool,
    pub(crate) inbound: &'a Inbound,
    pub(crate) progress: Arc<Progress>,
}

/// State of a running attempt.
pub(crate) struct AttemptRun<'a> {
    pub(crate) upstream: Upstream<'a>,
    pub(crate) answer: &'a mut Answer,
    pub(crate) meter: &'a mut Meter,
    pub(crate) attempt: Attempt,
}

/// Head of an answer and the connection that it arrived on.
struct ResponseStart {
    connection: Connection,
    response: Response<Incoming>,
}

impl AttemptRun<'_> {
    /// Sends the call and relays the answer.
    pub(crate) async fn run(mut self) -> AttemptEnd {
        let response_start = match self.exchange().await {
            Ok(response_start) => response_start,
            Err(failure) => return AttemptEnd::Failed(failure),
        };
        let head = ServerHead::parse(response_start.response.headers());
        self.report_server_state(&head);
        if let Err(failure) = self.check_head(&head, response_start.response.status()) {
            return AttemptEnd::Failed(failure);
        }
        let end = if head.content_type.starts_with(EVENT_STREAM) {
            self.relay_stream(response_start, &head.content_type).await
        } else {
            self.relay_whole(response_start, head.content_type).await
        };
        if end == AttemptEnd::Failed(Failure::Silent) {
            self.purge_connections();
        }
        end
    }

    /// Sends the request and waits for the answer's head.
    ///
    /// An idempotent request that fails on a reused connection, which the server
    /// may have closed, is sent once more on a new one.
    async fn exchange(&mut self) -> Result<ResponseStart, Failure> {
        let address = self.attempt.address.ok_or(Failure::NotSent)?;
        let body = request::body(self.upstream.inbound, self.answer)?;
        let pool = self.upstream.pool;
        let idle_max = if self.attempt.idempotent {
            IDLE_TIMEOUT
        } else {
            NON_IDEMPOTENT_IDLE_MAX
        };
        let connection = pool.get(address, idle_max).await;
        let connection = connection.ok_or(Failure::NotSent)?;
        let reused = connection.reused;
        match self.send_request(connection, body.clone()).await {
            Ok(response_start) => Ok(response_start),
            Err(failure) if reused && self.may_resend(failure) => {
                pool.purge(address);
                let connection = pool.connect(address).await.ok_or(failure)?;
                self.send_request(connection, body).await
            }
            Err(failure) => Err(failure),
        }
    }

    /// Returns whether to resend after a failure on a reused connection.
    ///
    /// Such a failure says nothing about the server.
    fn may_resend(&self, failure: Failure) -> bool {
        self.attempt.idempotent && matches!(failure, Failure::NotSent | Failure::Broken)
    }

    async fn send_request(
        &mut self,
        mut connection: Connection,
        body: Bytes,
    ) -> Result<ResponseStart, Failure> {
        let address = self.attempt.address.ok_or(Failure::NotSent)?;
        let resume_tokens = self.answer.tokens();
        let request = request::head(self.upstream.inbound, &self.attempt, address, resume_tokens);
        let request = request.map(|()| Full::new(body));
        if !self.attempt.idempotent && !self.claim_send().await {
            return Err(Failure::NotSent);
        }
        self.meter.record_sent();
        connection.head_limit.expect_head();
        let response = connection.sender.try_send_request(request);
        match timeout(self.head_timeout(), response).await {
            Ok(Ok(response)) => {
                connection.head_limit.end_head();
                Ok(ResponseStart {
                    connection,
                    response,
                })
            }
            Ok(Err(error)) if error.message().is_some() => {
                // The request was returned, so it never reached the connection.
                Err(Failure::NotSent)
            }
            Ok(Err(_)) => Err(Failure::Broken),
            Err(_) => {
                self.purge_connections();
                Err(Failure::Silent)
            }
        }
    }

    /// Returns the longest time for the answer's head.
    fn head_timeout(&self) -> Duration {
        if self.upstream.inbound.streamed {
            self.attempt.silence_timeouts.first
        } else {
            self.attempt.silence_timeouts.whole
        }
    }

    async fn claim_send(&self) -> bool {
        let dispatch = &self.attempt.dispatch;
        self.upstream
            .control
            .claim_send(dispatch.call, dispatch.attempt)
            .await
    }

    fn purge_connections(&self) {
        if let Some(address) = self.attempt.address {
            self.upstream.pool.purge(address);
        }
    }

    /// Reports the server's load and state to the core.
    fn report_server_state(&self, head: &ServerHead) {
        let server = &self.attempt.dispatch.server;
        let control = self.upstream.control;
        if let Some(load) = head.load {
            control.send_event(Event::Load {
                server: server.clone(),
                load,
            });
        }
        if head.leaving {
            control.send_event(Event::ServerLeaving(server.clone()));
        }
    }

    /// Checks that the answer belongs to this attempt and that the call ran.
    fn check_head(&self, head: &ServerHead, status: StatusCode) -> Result<(), Failure> {
        let attempt = self.attempt.dispatch.attempt.to_string();
        if head.attempt.as_deref() != Some(&*attempt) {
            metrics::counter!("briarbank_crossed_answers_total").increment(1);
            return Err(Failure::Malformed);
        }
        match head.not_run {
            Some(NotRun::Leaving) => return Err(Failure::Leaving),
            Some(NotRun::Full) => return Err(Failure::Full),
            None => {}
        }
        if status.is_server_error() {
            return Err(Failure::ServerError);
        }
        Ok(())
    }

    async fn relay_whole(
        &mut self,
        response_start: ResponseStart,
        content_type: Arc<str>,
    ) -> AttemptEnd {
        if self.answer.has_started() {
            return AttemptEnd::Failed(Failure::Malformed);
        }
        let ResponseStart {
            connection,
            response,
        } = response_start;
        let status = response.status().as_u16();
        let limit_bytes = self.answer.limit_bytes();
        let silence_timeout = self.attempt.silence_timeouts.whole;
        let body = match collect_body(response.into_body(), limit_bytes, silence_timeout).await {
            Ok(body) => body,
            Err(failure) => return AttemptEnd::Failed(failure),
        };
        self.upstream.pool.put(connection);
        if !self.attempt.idempotent {
            self.store_answer(StoredAnswer {
                status,
                content_type: Arc::clone(&content_type),
                body: Arc::from(&body[..]),
            });
        }
        self.answer.send_whole(status, content_type, body);
        AttemptEnd::Done
    }

    async fn relay_stream(
        &mut self,
        response_start: ResponseStart,
        content_type: &Arc<str>,
    ) -> AttemptEnd {
        let ResponseStart {
            connection,
            response,
        } = response_start;
        self.answer
            .begin_stream(response.status().as_u16(), content_type);
        let attempt = self.attempt.dispatch.attempt;
        let mut body = StreamBody::new(response.into_body(), attempt, self.answer);
        let mut silence_timeout = self.attempt.silence_timeouts.first;
        loop {
            let Ok(read) = timeout(silence_timeout, body.read_part(self.answer)).await else {
                return AttemptEnd::Failed(Failure::Silent);
            };
            silence_timeout = self.attempt.silence_timeouts.between;
            match read.end {
                Some(StreamEnd::Complete) => {
                    let end = self.relay_last_chunk(read.chunk).await;
                    if body.has_ended().await {
                        self.upstream.pool.put(connection);
                    }
                    return end;
                }
                Some(StreamEnd::Failed(failure)) => {
                    let left = self.relay_chunk(read.chunk).await;
                    return left.unwrap_or(AttemptEnd::Failed(failure));
                }
                None => {
                    if let Some(end) = self.relay_chunk(read.chunk).await {
                        return end;
                    }
                }
            }
        }
    }

    /// Relays a chunk of a stream to the caller.
    async fn relay_chunk(&mut self, chunk: Bytes) -> Option<AttemptEnd> {
        let tokens = self.answer.tokens();
        if self.answer.send_chunk(&chunk).await.is_err() && self.attempt.idempotent {
            return Some(AttemptEnd::CallerLeft);
        }
        self.meter.record_tokens(tokens);
        let control = self.upstream.control;
        control.report_progress(&self.upstream.progress, tokens);
        None
    }

    /// Relays the last chunk of a stream after storing the answer for replay.
    async fn relay_last_chunk(&mut self, chunk: Bytes) -> AttemptEnd {
        self.answer.buffer_last_chunk(&chunk);
        if !self.attempt.idempotent
            && let Some(stored) = self.answer.take_stored()
        {
            self.store_answer(stored);
        }
        let flushed = self.answer.flush().await;
        self.meter.record_tokens(self.answer.tokens());
        match flushed {
            Err(_) if self.attempt.idempotent => AttemptEnd::CallerLeft,
            _ => AttemptEnd::Done,
        }
    }

    fn store_answer(&self, answer: StoredAnswer) {
        self.upstream.control.send_event(Event::Answered {
            attempt: self.attempt.dispatch.attempt,
            answer,
        });
    }
}
