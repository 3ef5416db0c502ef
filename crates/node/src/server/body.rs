//! Reading of the bodies of servers' answers.

use std::sync::Arc;
use std::time::Duration;

use briarbank_core::call::Failure;
use briarbank_core::ids::AttemptId;
use briarbank_core::occupancy::{Full, Purpose};
use briarbank_net::{Collector, Place, Reservation};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;

use super::exchange::Upstream;
use super::stream::{AnswerStream, StreamEnd, StreamPart};
use crate::call::Answer;
use crate::command::Attempt;

/// Longest time for the body to end after the stream's closing event.
const END_TIMEOUT: Duration = Duration::from_millis(50);

/// Reader of the stream of one attempt.
///
/// What it buffers of an incomplete event counts as held by the caller's connection.
pub(super) struct StreamBody {
    body: Incoming,
    stream: AnswerStream,
    reservation: Reservation,
}

impl StreamBody {
    pub(super) fn new(
        body: Incoming,
        attempt: AttemptId,
        answer: &Answer,
        place: &Arc<Place>,
    ) -> Self {
        Self {
            body,
            stream: AnswerStream::new(attempt, answer.tokens(), answer.limit_bytes()),
            reservation: Reservation::new(place, Purpose::Answer),
        }
    }

    /// Reads until at least one event is complete or the stream ends.
    ///
    /// Dropping the future loses nothing: it only waits for bytes.
    pub(super) async fn read_part(&mut self, answer: &mut Answer) -> StreamPart {
        loop {
            let Some(Ok(frame)) = self.body.frame().await else {
                return self.stream.end_of_input();
            };
            let Some(data) = frame.data_ref() else {
                continue;
            };
            self.stream.push(data);
            let mut part = self.stream.next_part(|text| answer.record_token(text));
            if let Err(full) = self.reserve() {
                let failed = StreamEnd::Failed(no_room(full));
                part.end.get_or_insert(failed);
            }
            if part.end.is_some() || !part.chunk.is_empty() {
                return part;
            }
        }
    }

    /// Counts the incomplete event.
    fn reserve(&mut self) -> Result<(), Full> {
        match self.stream.incomplete_bytes() {
            0 if self.reservation.is_empty() => {}
            0 => self.reservation.shrink_to(0),
            bytes => self.reservation.grow_to(bytes)?,
        }
        Ok(())
    }

    /// Returns whether the body ends with the stream.
    ///
    /// Its connection can be reused only then.
    pub(super) async fn has_ended(mut self) -> bool {
        matches!(timeout(END_TIMEOUT, self.body.frame()).await, Ok(None))
    }
}

/// Reads a whole body.
///
/// # Errors
///
/// [`Failure::Silent`], [`Failure::Broken`], [`Failure::Malformed`] for a body over the
/// limit, or [`Failure::Preempted`] if there is no room for it.
pub(super) async fn collect_body(
    mut body: Incoming,
    limit_bytes: usize,
    upstream: &Upstream<'_>,
    attempt: &Attempt,
) -> Result<Bytes, Failure> {
    let place = &upstream.inbound.place;
    let mut collected = Collector::new(place, Purpose::Answer, None);
    let silence_timeout = attempt.silence_timeouts.whole;
    loop {
        let frame = upstream.wait_for(attempt, silence_timeout, body.frame());
        let Some(frame) = frame.await? else {
            return collected.finish().into_bytes().map_err(no_room);
        };
        let frame = frame.map_err(|_error| Failure::Broken)?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        if collected.length() + data.len() > limit_bytes {
            return Err(Failure::Malformed);
        }
        collected.push(data).map_err(no_room)?;
    }
}

/// Returns the failure of an attempt for whose answer the node has no room.
fn no_room(full: Full) -> Failure {
    metrics::counter!("briarbank_answers_without_room_total").increment(1);
    tracing::debug!(%full, "server: no room for an answer");
    Failure::Preempted
}
