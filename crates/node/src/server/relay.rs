//! Relay of a server's answer to the caller.

use std::sync::Arc;

use briarbank_core::call::{Failure, StoredAnswer};
use briarbank_core::node::Event;
use bytes::Bytes;

use super::body::{StreamBody, collect_body};
use super::exchange::{Accepted, Upstream};
use super::stream::StreamEnd;
use crate::call::{Answer, Meter};
use crate::command::Attempt;
use crate::progress::Progress;

/// Content type of server-sent events.
const EVENT_STREAM: &str = "text/event-stream";

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

/// Relay of the answer of one attempt.
pub(crate) struct Relay<'a> {
    pub(crate) upstream: Upstream<'a>,
    pub(crate) answer: &'a mut Answer,
    pub(crate) meter: &'a mut Meter,
}

impl Relay<'_> {
    /// Relays the answer of an accepted attempt.
    pub(crate) async fn run(mut self, accepted: Accepted) -> AttemptEnd {
        if accepted.resume_tokens != self.answer.tokens() {
            // Another attempt delivered tokens after this one was sent.
            return AttemptEnd::Failed(Failure::Preempted);
        }
        if accepted.head.content_type.starts_with(EVENT_STREAM) {
            self.relay_stream(accepted).await
        } else {
            self.relay_whole(accepted).await
        }
    }

    async fn relay_whole(&mut self, accepted: Accepted) -> AttemptEnd {
        if self.answer.has_started() {
            return AttemptEnd::Failed(Failure::Malformed);
        }
        let Accepted {
            attempt,
            connection,
            response,
            head,
            ..
        } = accepted;
        let content_type = head.content_type;
        let status = response.status().as_u16();
        let limit_bytes = self.answer.limit_bytes();
        let body = response.into_body();
        let body = collect_body(body, limit_bytes, &self.upstream, &attempt);
        let body = match body.await {
            Ok(body) => body,
            Err(failure) => return AttemptEnd::Failed(failure),
        };
        self.upstream.pool.put(connection);
        if !attempt.idempotent {
            let answer = StoredAnswer {
                status,
                content_type: Arc::clone(&content_type),
                body: Arc::from(&body[..]),
            };
            self.store_answer(&attempt, answer);
        }
        self.answer.send_whole(status, content_type, body);
        AttemptEnd::Done
    }

    async fn relay_stream(&mut self, accepted: Accepted) -> AttemptEnd {
        let Accepted {
            attempt,
            connection,
            response,
            head,
            ..
        } = accepted;
        self.answer
            .begin_stream(response.status().as_u16(), &head.content_type);
        let id = attempt.dispatch.attempt;
        let progress = Progress::new(id);
        let place = &self.upstream.inbound.place;
        let mut body = StreamBody::new(response.into_body(), id, self.answer, place);
        let mut silence_timeout = attempt.silence_timeouts.first;
        loop {
            let read = body.read_part(self.answer);
            let read = self.upstream.wait_for(&attempt, silence_timeout, read);
            let read = match read.await {
                Ok(read) => read,
                Err(failure) => return AttemptEnd::Failed(failure),
            };
            silence_timeout = attempt.silence_timeouts.between;
            match read.end {
                Some(StreamEnd::Complete) => {
                    let end = self.relay_last_chunk(&attempt, read.chunk).await;
                    if body.has_ended().await {
                        self.upstream.pool.put(connection);
                    }
                    return end;
                }
                Some(StreamEnd::Failed(failure)) => {
                    let left = self.relay_chunk(&attempt, &progress, read.chunk).await;
                    return left.unwrap_or(AttemptEnd::Failed(failure));
                }
                None => {
                    if let Some(end) = self.relay_chunk(&attempt, &progress, read.chunk).await {
                        return end;
                    }
                }
            }
        }
    }

    /// Relays a chunk of a stream to the caller.
    async fn relay_chunk(
        &mut self,
        attempt: &Attempt,
        progress: &Arc<Progress>,
        chunk: Bytes,
    ) -> Option<AttemptEnd> {
        let tokens = self.answer.tokens();
        if self.answer.send_chunk(&chunk).await.is_err() && attempt.idempotent {
            return Some(AttemptEnd::CallerLeft);
        }
        self.meter.record_tokens(tokens);
        let control = self.upstream.control;
        control.report_progress(progress, tokens);
        None
    }

    /// Relays the last chunk of a stream after storing the answer for replay.
    async fn relay_last_chunk(&mut self, attempt: &Attempt, chunk: Bytes) -> AttemptEnd {
        self.answer.buffer_last_chunk(&chunk);
        if !attempt.idempotent
            && let Some(stored) = self.answer.take_stored()
        {
            self.store_answer(attempt, stored);
        }
        let flushed = self.answer.flush().await;
        self.meter.record_tokens(self.answer.tokens());
        match flushed {
            Err(_) if attempt.idempotent => AttemptEnd::CallerLeft,
            _ => AttemptEnd::Done,
        }
    }

    fn store_answer(&self, attempt: &Attempt, answer: StoredAnswer) {
        self.upstream.control.send_event(Event::Answered {
            attempt: attempt.dispatch.attempt,
            answer,
        });
    }
}
