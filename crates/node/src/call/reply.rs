//! What a call's task gives back to the connection that brought the call.

use std::sync::Arc;

use briarbank_core::call::{Outcome, Refusal};
use bytes::Bytes;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::{CancellationToken, DropGuard};

/// Chunks of a streamed answer that wait for a slow caller.
pub(super) const CHUNKS_MAX: usize = 16;

/// Final or first word to the caller.
#[derive(Debug)]
pub(crate) enum Reply {
    /// An answer, whole or streamed.
    Answer(ReplyAnswer),
    /// The call was given up on.
    Refusal(Refusal),
}

/// An answer.
#[derive(Debug)]
pub(crate) struct ReplyAnswer {
    /// HTTP status.
    pub(crate) status: u16,
    /// Content type.
    pub(crate) content_type: Arc<str>,
    /// How the call ended, unless the stream's end tells.
    pub(crate) outcome: Option<Outcome>,
    /// Its body.
    pub(crate) body: ReplyBody,
}

/// Body of an answer.
#[derive(Debug)]
pub(crate) enum ReplyBody {
    /// All of it.
    Whole(Bytes),
    /// In chunks.
    Stream(Chunks),
}

/// Chunks of a streamed answer; dropping them says that the caller is gone.
#[derive(Debug)]
pub(crate) struct Chunks {
    receiver: mpsc::Receiver<Bytes>,
    waiting: Option<DropGuard>,
}

impl Chunks {
    pub(super) fn new(receiver: mpsc::Receiver<Bytes>) -> Self {
        Self {
            receiver,
            waiting: None,
        }
    }

    /// The next chunk; `None` at the end.
    pub(crate) async fn next(&mut self) -> Option<Bytes> {
        self.receiver.recv().await
    }

    /// The next chunk, for bodies that are polled.
    pub(crate) fn poll_next(
        &mut self,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Bytes>> {
        self.receiver.poll_recv(context)
    }
}

/// Where a call's task puts its reply.
pub(super) type ReplySender = oneshot::Sender<Reply>;

/// Waits for a call's reply; dropping it says that the caller is gone.
#[derive(Debug)]
pub(super) struct ReplyReceiver {
    receiver: oneshot::Receiver<Reply>,
    waiting: DropGuard,
}

/// A place for a reply, and the token that tells when nobody waits any more.
pub(super) fn channel() -> (ReplySender, ReplyReceiver, CancellationToken) {
    let gone = CancellationToken::new();
    let (sender, receiver) = oneshot::channel();
    let receiver = ReplyReceiver {
        receiver,
        waiting: gone.clone().drop_guard(),
    };
    (sender, receiver, gone)
}

impl ReplyReceiver {
    /// The reply; `None` when the call's task ended without one.
    pub(super) async fn reply(self) -> Option<Reply> {
        let Self { receiver, waiting } = self;
        let mut reply = receiver.await.ok()?;
        if let Reply::Answer(ReplyAnswer {
            body: ReplyBody::Stream(chunks),
            ..
        }) = &mut reply
        {
            chunks.waiting = Some(waiting);
        }
        Some(reply)
    }
}
