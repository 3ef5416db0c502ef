//! Answer of a call across all its attempts, as its caller sees it.

use std::sync::Arc;
use std::time::Duration;

use briarbank_core::call::{Outcome, Refusal, StoredAnswer};
use briarbank_core::occupancy::Purpose;
use briarbank_net::{Place, Reservation};
use bytes::{Bytes, BytesMut};
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;
use tokio::time::timeout;

use super::reply::{CHUNKS_MAX, Chunks, ReplySender};
use super::{Reply, ReplyAnswer, ReplyBody, Transcript};
use crate::refusal;

/// Longest time that a caller may go without reading its answer.
const STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// The caller no longer reads its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CallerLeft;

/// Answer received and sent so far.
#[derive(Debug)]
pub(crate) struct Answer {
    reply: Option<ReplySender>,
    chunks: Option<mpsc::Sender<Bytes>>,
    head: Option<(u16, Arc<str>)>,
    transcript: Transcript,
    unsent: BytesMut,
    complete: bool,
    stored_bytes: Option<BytesMut>,
    /// Counts the stored bytes.
    stored: Reservation,
    limit_bytes: usize,
}

impl Answer {
    /// Creates an answer; what it keeps counts as held by the caller's connection.
    pub(super) fn new(reply: ReplySender, limit_bytes: usize, place: &Arc<Place>) -> Self {
        Self {
            reply: Some(reply),
            chunks: None,
            head: None,
            transcript: Transcript::new(place),
            unsent: BytesMut::new(),
            complete: false,
            stored_bytes: None,
            stored: Reservation::new(place, Purpose::Answer),
            limit_bytes,
        }
    }

    /// Starts storing the answer's bytes, for calls that are not idempotent.
    pub(super) fn keep_bytes(&mut self) {
        if self.stored_bytes.is_none() && self.head.is_none() {
            self.stored_bytes = Some(BytesMut::new());
        }
    }

    /// Returns the size limit of a whole or stored answer, and of a stream event.
    pub(crate) fn limit_bytes(&self) -> usize {
        self.limit_bytes
    }

    /// Returns the number of tokens of the answer so far, sent or buffered.
    pub(crate) fn tokens(&self) -> u32 {
        self.transcript.tokens()
    }

    /// Returns whether the head of a streamed answer was sent.
    pub(crate) fn has_started(&self) -> bool {
        self.head.is_some()
    }

    /// Returns the text so far, which goes on with the answer.
    pub(super) fn transcript(&self) -> Transcript {
        self.transcript.clone()
    }

    /// Starts a streamed answer; does nothing when it is resumed.
    pub(crate) fn begin_stream(&mut self, status: u16, content_type: &Arc<str>) {
        let Some(reply) = self.reply.take() else {
            return;
        };
        let (sender, receiver) = mpsc::channel(CHUNKS_MAX);
        let answer = ReplyAnswer {
            status,
            content_type: Arc::clone(content_type),
            outcome: None,
            body: ReplyBody::Stream(Chunks::new(receiver)),
        };
        self.head = Some((status, Arc::clone(content_type)));
        self.chunks = Some(sender);
        let _ = reply.send(Reply::Answer(answer));
    }

    /// Records a token that the next chunk contains.
    pub(crate) fn record_token(&mut self, text: &str) {
        self.transcript.record_token(text, self.limit_bytes);
    }

    /// Buffers a chunk of the streamed answer for [`Self::flush`].
    pub(crate) fn buffer_chunk(&mut self, chunk: &[u8]) {
        self.unsent.extend_from_slice(chunk);
        let Some(stored_bytes) = &mut self.stored_bytes else {
            return;
        };
        let length = stored_bytes.len() + chunk.len();
        if length > self.limit_bytes || self.stored.grow_to(length).is_err() {
            self.stored_bytes = None;
            self.stored.shrink_to(0);
            return;
        }
        stored_bytes.extend_from_slice(chunk);
    }

    /// Buffers the last chunk of the streamed answer for [`Self::flush`].
    pub(crate) fn buffer_last_chunk(&mut self, chunk: &[u8]) {
        self.buffer_chunk(chunk);
        self.complete = true;
    }

    /// Returns whether the answer is complete, sent or buffered.
    pub(super) fn is_complete(&self) -> bool {
        self.complete
    }

    /// Sends the buffered chunks to the caller.
    ///
    /// Dropping the future loses nothing: the next flush sends them.
    ///
    /// # Errors
    ///
    /// The caller is gone.
    pub(crate) async fn flush(&mut self) -> Result<(), CallerLeft> {
        if self.unsent.is_empty() {
            return Ok(());
        }
        let chunks = self.chunks.as_ref().ok_or(CallerLeft)?;
        if let Some(permit) = reserve_chunk(chunks).await {
            permit.send(self.unsent.split().freeze());
            return Ok(());
        }
        // Nothing more is sent to a stalled caller, which avoids another wait.
        self.chunks = None;
        self.unsent.clear();
        Err(CallerLeft)
    }

    /// Sends the next chunk of a streamed answer to the caller.
    ///
    /// # Errors
    ///
    /// The caller is gone.
    pub(crate) async fn send_chunk(&mut self, chunk: &[u8]) -> Result<(), CallerLeft> {
        self.buffer_chunk(chunk);
        self.flush().await
    }

    /// Takes the stored streamed answer; `None` when it was not stored or too long.
    pub(crate) fn take_stored(&mut self) -> Option<StoredAnswer> {
        let (status, content_type) = self.head.clone()?;
        let body = self.stored_bytes.take()?;
        Some(StoredAnswer {
            status,
            content_type,
            body: Arc::from(&body[..]),
        })
    }

    /// Sends a whole answer to the caller.
    pub(crate) fn send_whole(&mut self, status: u16, content_type: Arc<str>, body: Bytes) {
        self.complete = true;
        self.send_reply(Reply::Answer(ReplyAnswer {
            status,
            content_type,
            outcome: Some(Outcome::Completed),
            body: ReplyBody::Whole(body),
        }));
    }

    /// Sends a reply to the caller unless one was sent before.
    pub(super) fn send_reply(&mut self, reply: Reply) {
        if let Some(sender) = self.reply.take() {
            let _ = sender.send(reply);
        }
    }

    /// Sends the caller its final refusal, as an event when a stream has started.
    ///
    /// A complete answer is flushed instead of the refusal.
    pub(super) async fn send_refusal(&mut self, refusal: Refusal) {
        if self.complete {
            let _ = self.flush().await;
            return;
        }
        if self.has_started() {
            let _ = self.send_chunk(&refusal::event(&refusal)).await;
            return;
        }
        self.send_reply(Reply::Refusal(refusal));
    }
}

/// Reserves capacity for one chunk; `None` when the caller is gone or stalls.
async fn reserve_chunk(chunks: &mpsc::Sender<Bytes>) -> Option<mpsc::Permit<'_, Bytes>> {
    match chunks.try_reserve() {
        Ok(permit) => Some(permit),
        Err(TrySendError::Closed(())) => None,
        Err(TrySendError::Full(())) => timeout(STALL_TIMEOUT, chunks.reserve()).await.ok()?.ok(),
    }
}
