//! One attempt of a call at a server.

use std::sync::Arc;
use std::time::Duration;

use briarbank_core::call::{Failure, StoredAnswer};
use briarbank_core::node::Event;
use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::timeout;

use super::body::{StreamBody, collect};
use super::head::{NotRun, ServerHead};
use super::pool::{Connection, IDLE_TIMEOUT, Pool};
use super::request;
use super::stream::StreamEnd;
use crate::call::{Answer, Inbound, Meter};
use crate::control::Control;
use crate::order::Attempt;
use crate::progress::Progress;

/// Content type of server-sent events.
const EVENT_STREAM: &str = "text/event-stream";

/// Longest idle time of a connection for a call that may not be repeated.
///
/// A server may close an idle connection just when the call is sent, and then
/// nobody knows whether it ran; servers keep idle connections for longer.
const UNREPEATABLE_IDLE_MAX: Duration = Duration::from_secs(1);

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptEnd {
    /// The whole answer was given to the caller.
    Done,
    /// The caller is gone.
    CallerLeft,
    /// The answer is not whole.
    Failed(Failure),
}

/// What an attempt uses.
pub(crate) struct Upstream<'a> {
    pub(crate) control: &'a Control,
    pub(crate) pool: &'a Pool,
    pub(crate) inbound: &'a Inbound,
    pub(crate) progress: Arc<Progress>,
}

/// One attempt.
pub(crate) struct AttemptRun<'a> {
    pub(crate) upstream: Upstream<'a>,
    pub(crate) answer: &'a mut Answer,
    pub(crate) meter: &'a mut Meter,
    pub(crate) attempt: Attempt,
}

/// An answer's head, on the connection that it came from.
struct Answered {
    connection: Connection,
    response: Response<Incoming>,
}

impl AttemptRun<'_> {
    /// Sends the call and hands the answer on.
    pub(crate) async fn run(mut self) -> AttemptEnd {
        let answered = match self.exchange().await {
            Ok(answered) => answered,
            Err(failure) => return AttemptEnd::Failed(failure),
        };
        let head = ServerHead::parse(answered.response.headers());
        self.report_server(&head);
        if let Err(failure) = self.check_head(&head, answered.response.status()) {
            return AttemptEnd::Failed(failure);
        }
        let end = if head.content_type.starts_with(EVENT_STREAM) {
            self.stream(answered, &head.content_type).await
        } else {
            self.whole(answered, head.content_type).await
        };
        if end == AttemptEnd::Failed(Failure::Silent) {
            self.purge();
        }
        end
    }

    /// Sends the request until a head comes back; on a kept connection that
    /// proves dead, once more on a fresh one.
    async fn exchange(&mut self) -> Result<Answered, Failure> {
        let address = self.attempt.address.ok_or(Failure::NotSent)?;
        let body = request::body(self.upstream.inbound, self.answer)?;
        let pool = self.upstream.pool;
        let idle_max = if self.attempt.idempotent {
            IDLE_TIMEOUT
        } else {
            UNREPEATABLE_IDLE_MAX
        };
        let connection = pool.get(address, idle_max).await;
        let connection = connection.ok_or(Failure::NotSent)?;
        let reused = connection.reused;
        match self.send(connection, body.clone()).await {
            Ok(answered) => Ok(answered),
            Err(failure) if reused && self.may_send_again(failure) => {
                pool.purge(address);
                let connection = pool.connect(address).await.ok_or(failure)?;
                self.send(connection, body).await
            }
            Err(failure) => Err(failure),
        }
    }

    /// Whether a failure on a kept connection says nothing of the server.
    fn may_send_again(&self, failure: Failure) -> bool {
        self.attempt.idempotent && matches!(failure, Failure::NotSent | Failure::Broken)
    }

    async fn send(&mut self, mut connection: Connection, body: Bytes) -> Result<Answered, Failure> {
        let address = self.attempt.address.ok_or(Failure::NotSent)?;
        let resume_tokens = self.answer.tokens();
        let request = request::head(self.upstream.inbound, &self.attempt, address, resume_tokens);
        let request = request.map(|()| Full::new(body));
        if !self.attempt.idempotent && !self.may_send().await {
            return Err(Failure::NotSent);
        }
        self.meter.sent();
        let response = connection.sender.try_send_request(request);
        match timeout(self.head_patience(), response).await {
            Ok(Ok(response)) => Ok(Answered {
                connection,
                response,
            }),
            Ok(Err(error)) if error.message().is_some() => {
                // The request came back: it never reached the connection.
                Err(Failure::NotSent)
            }
            Ok(Err(_)) => Err(Failure::Broken),
            Err(_) => {
                self.purge();
                Err(Failure::Silent)
            }
        }
    }

    /// Longest time for the answer's head.
    fn head_patience(&self) -> Duration {
        if self.upstream.inbound.streamed {
            self.attempt.patience.first
        } else {
            self.attempt.patience.whole
        }
    }

    async fn may_send(&self) -> bool {
        let dispatch = &self.attempt.dispatch;
        self.upstream
            .control
            .may_send(dispatch.call, dispatch.attempt)
            .await
    }

    fn purge(&self) {
        if let Some(address) = self.attempt.address {
            self.upstream.pool.purge(address);
        }
    }

    /// Tells the core what the server says of itself.
    fn report_server(&self, head: &ServerHead) {
        let server = &self.attempt.dispatch.server;
        let control = self.upstream.control;
        if let Some(load) = head.load {
            control.event(Event::Load {
                server: server.clone(),
                load,
            });
        }
        if head.leaving {
            control.event(Event::ServerLeaving(server.clone()));
        }
    }

    /// Checks that the answer is one to this attempt, and that the call ran.
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

    async fn whole(&mut self, answered: Answered, content_type: Arc<str>) -> AttemptEnd {
        if self.answer.started() {
            return AttemptEnd::Failed(Failure::Malformed);
        }
        let Answered {
            connection,
            response,
        } = answered;
        let status = response.status().as_u16();
        let limit_bytes = self.answer.limit_bytes();
        let patience = self.attempt.patience.whole;
        let body = match collect(response.into_body(), limit_bytes, patience).await {
            Ok(body) => body,
            Err(failure) => return AttemptEnd::Failed(failure),
        };
        self.upstream.pool.put(connection);
        if !self.attempt.idempotent {
            self.store(StoredAnswer {
                status,
                content_type: Arc::clone(&content_type),
                body: Arc::from(&body[..]),
            });
        }
        self.answer.whole(status, content_type, body);
        AttemptEnd::Done
    }

    async fn stream(&mut self, answered: Answered, content_type: &Arc<str>) -> AttemptEnd {
        let Answered {
            connection,
            response,
        } = answered;
        self.answer
            .begin_stream(response.status().as_u16(), content_type);
        let attempt = self.attempt.dispatch.attempt;
        let mut body = StreamBody::new(response.into_body(), attempt, self.answer);
        let mut patience = self.attempt.patience.first;
        loop {
            let Ok(read) = timeout(patience, body.read(self.answer)).await else {
                return AttemptEnd::Failed(Failure::Silent);
            };
            patience = self.attempt.patience.between;
            match read.end {
                Some(StreamEnd::Complete) => {
                    let end = self.last_chunk(read.chunk).await;
                    if body.ends().await {
                        self.upstream.pool.put(connection);
                    }
                    return end;
                }
                Some(StreamEnd::Failed(failure)) => {
                    let left = self.chunk(read.chunk).await;
                    return left.unwrap_or(AttemptEnd::Failed(failure));
                }
                None => {
                    if let Some(end) = self.chunk(read.chunk).await {
                        return end;
                    }
                }
            }
        }
    }

    /// Hands on a part of a stream.
    async fn chunk(&mut self, chunk: Bytes) -> Option<AttemptEnd> {
        let tokens = self.answer.tokens();
        if self.answer.chunk(&chunk).await.is_err() && self.attempt.idempotent {
            return Some(AttemptEnd::CallerLeft);
        }
        self.meter.tokens(tokens);
        let control = self.upstream.control;
        control.progress(&self.upstream.progress, tokens);
        None
    }

    /// Hands on the last part of a stream, after the answer is kept for repeats.
    async fn last_chunk(&mut self, chunk: Bytes) -> AttemptEnd {
        self.answer.push_last(&chunk);
        if !self.attempt.idempotent
            && let Some(stored) = self.answer.stored()
        {
            self.store(stored);
        }
        let flushed = self.answer.flush().await;
        self.meter.tokens(self.answer.tokens());
        match flushed {
            Err(_) if self.attempt.idempotent => AttemptEnd::CallerLeft,
            _ => AttemptEnd::Done,
        }
    }

    fn store(&self, answer: StoredAnswer) {
        self.upstream.control.event(Event::Answered {
            attempt: self.attempt.dispatch.attempt,
            answer,
        });
    }
}
