//! The answer of a call over all its attempts, as its caller sees it.

use std::sync::Arc;
use std::time::Duration;

use briarbank_core::call::{Outcome, Refusal, StoredAnswer};
use bytes::{Bytes, BytesMut};
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;
use tokio::time::timeout;

use super::reply::{CHUNKS_MAX, Chunks, ReplySender};
use super::{Reply, ReplyAnswer, ReplyBody};
use crate::refusal;

/// Longest time for which a caller may take nothing of its answer.
const STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// The caller no longer reads its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CallerLeft;

/// Answer so far.
#[derive(Debug)]
pub(crate) struct Answer {
    reply: Option<ReplySender>,
    chunks: Option<mpsc::Sender<Bytes>>,
    head: Option<(u16, Arc<str>)>,
    tokens: u32,
    transcript: Transcript,
    unsent: BytesMut,
    complete: bool,
    kept: Option<BytesMut>,
    limit_bytes: usize,
}

/// Text of the answer so far, for an engine that resumes it.
#[derive(Debug, Default)]
struct Transcript {
    text: String,
    overflown: bool,
}

impl Answer {
    pub(super) fn new(reply: ReplySender, limit_bytes: usize) -> Self {
        Self {
            reply: Some(reply),
            chunks: None,
            head: None,
            tokens: 0,
            transcript: Transcript::default(),
            unsent: BytesMut::new(),
            complete: false,
            kept: None,
            limit_bytes,
        }
    }

    /// Keeps the bytes of the answer, as for a call that may not be repeated.
    pub(super) fn keep(&mut self) {
        if self.kept.is_none() && self.head.is_none() {
            self.kept = Some(BytesMut::new());
        }
    }

    /// Largest answer that is kept, and largest event of a stream.
    pub(crate) fn limit_bytes(&self) -> usize {
        self.limit_bytes
    }

    /// Tokens that the caller has.
    pub(crate) fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Whether the caller has a part of the answer.
    pub(crate) fn started(&self) -> bool {
        self.head.is_some()
    }

    /// Text that the caller has; `None` when it was too long to keep.
    pub(crate) fn text(&self) -> Option<&str> {
        (!self.transcript.overflown).then_some(&self.transcript.text)
    }

    /// Begins a streamed answer; a resumed one has begun already.
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

    /// Takes note of a token that the next chunk holds.
    pub(crate) fn token(&mut self, text: &str) {
        self.tokens += 1;
        let transcript = &mut self.transcript;
        if transcript.overflown || transcript.text.len() + text.len() > self.limit_bytes {
            transcript.overflown = true;
            transcript.text = String::new();
            return;
        }
        transcript.text.push_str(text);
    }

    /// Takes a part of the streamed answer, to be given by [`Self::flush`].
    pub(crate) fn push(&mut self, chunk: &[u8]) {
        self.unsent.extend_from_slice(chunk);
        let limit_bytes = self.limit_bytes;
        if let Some(kept) = &mut self.kept {
            kept.extend_from_slice(chunk);
            if kept.len() > limit_bytes {
                self.kept = None;
            }
        }
    }

    /// Takes the last part of the streamed answer, to be given by [`Self::flush`].
    pub(crate) fn push_last(&mut self, chunk: &[u8]) {
        self.push(chunk);
        self.complete = true;
    }

    /// Whether nothing may follow what was taken so far.
    pub(super) fn is_complete(&self) -> bool {
        self.complete
    }

    /// Gives the caller what it has not been given yet.
    ///
    /// Dropping the future loses nothing: the next flush gives it.
    ///
    /// # Errors
    ///
    /// The caller is gone.
    pub(crate) async fn flush(&mut self) -> Result<(), CallerLeft> {
        if self.unsent.is_empty() {
            return Ok(());
        }
        let chunks = self.chunks.as_ref().ok_or(CallerLeft)?;
        if let Some(permit) = room(chunks).await {
            permit.send(self.unsent.split().freeze());
            return Ok(());
        }
        // Nothing more is given to a caller that stalled, nor waited for.
        self.chunks = None;
        self.unsent.clear();
        Err(CallerLeft)
    }

    /// Gives the caller the next part of a streamed answer.
    ///
    /// # Errors
    ///
    /// The caller is gone.
    pub(crate) async fn chunk(&mut self, chunk: &[u8]) -> Result<(), CallerLeft> {
        self.push(chunk);
        self.flush().await
    }

    /// What is kept of a streamed answer; `None` when it was too long.
    pub(crate) fn stored(&mut self) -> Option<StoredAnswer> {
        let (status, content_type) = self.head.clone()?;
        let body = self.kept.take()?;
        Some(StoredAnswer {
            status,
            content_type,
            body: Arc::from(&body[..]),
        })
    }

    /// Gives the caller a whole answer.
    pub(crate) fn whole(&mut self, status: u16, content_type: Arc<str>, body: Bytes) {
        self.complete = true;
        self.send(Reply::Answer(ReplyAnswer {
            status,
            content_type,
            outcome: Some(Outcome::Completed),
            body: ReplyBody::Whole(body),
        }));
    }

    /// Gives the caller any reply, when it has none yet.
    pub(super) fn send(&mut self, reply: Reply) {
        if let Some(sender) = self.reply.take() {
            let _ = sender.send(reply);
        }
    }

    /// Gives the caller its final refusal, as an event when a stream has begun.
    ///
    /// A caller that has the whole answer, or is about to, is told nothing else.
    pub(super) async fn refuse(&mut self, refusal: Refusal) {
        if self.complete {
            let _ = self.flush().await;
            return;
        }
        if self.started() {
            let _ = self.chunk(&refusal::event(&refusal)).await;
            return;
        }
        self.send(Reply::Refusal(refusal));
    }
}

/// Room for one chunk; `None` when the caller is gone or stalls.
async fn room(chunks: &mpsc::Sender<Bytes>) -> Option<mpsc::Permit<'_, Bytes>> {
    match chunks.try_reserve() {
        Ok(permit) => Some(permit),
        Err(TrySendError::Closed(())) => None,
        Err(TrySendError::Full(())) => timeout(STALL_TIMEOUT, chunks.reserve()).await.ok()?.ok(),
    }
}
