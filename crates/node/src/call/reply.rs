//! Reply of a call's task to the connection that submitted the call.

use std::sync::Arc;

use briarbank_core::call::{Outcome, Refusal};
use bytes::Bytes;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::{CancellationToken, DropGuard};

/// Queued chunks of a streamed answer for a slow caller.
pub(super) const CHUNKS_MAX: usize = 16;

/// Reply to the caller of a call.
#[derive(Debug)]
pub(crate) enum Reply {
    /// An answer, whole or streamed.
    Answer(ReplyAnswer),
    /// The call was refused.
    Refusal(Refusal),
}

/// Answer to a call.
#[derive(Debug)]
pub(crate) struct ReplyAnswer {
    /// HTTP status.
    pub(crate) status: u16,
    /// Content type.
    pub(crate) content_type: Arc<str>,
    /// Outcome of the call; `None` when the stream's end shows it.
    pub(crate) outcome: Option<Outcome>,
    /// Body of the answer.
    pub(crate) body: ReplyBody,
}

/// Body of an answer.
#[derive(Debug)]
pub(crate) enum ReplyBody {
    /// The whole body.
    Whole(Bytes),
    /// A stream of chunks.
    Stream(Chunks),
}

/// Receiver of a streamed answer; dropping it signals that the caller is gone.
#[derive(Debug)]
pub(crate) struct Chunks {
    receiver: mpsc::Receiver<Bytes>,
    gone_guard: Option<DropGuard>,
}

impl Chunks {
    pub(super) fn new(receiver: mpsc::Receiver<Bytes>) -> Self {
        Self {
            receiver,
            gone_guard: None,
        }
    }

    /// Returns the next chunk; `None` at the end.
    pub(crate) async fn next(&mut self) -> Option<Bytes> {
        self.receiver.recv().await
    }

    /// Polls for the next chunk.
    pub(crate) fn poll_next(
        &mut self,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Bytes>> {
        self.receiver.poll_recv(context)
    }
}

/// Sender of a call's reply.
pub(super) type ReplySender = oneshot::Sender<Reply>;

/// Receiver of a call's reply; dropping it signals that the caller is gone.
#[derive(Debug)]
pub(super) struct ReplyReceiver {
    receiver: oneshot::Receiver<Reply>,
    gone_guard: DropGuard,
}

/// Returns a reply channel and a token that is cancelled when the caller leaves.
pub(super) fn channel() -> (ReplySender, ReplyReceiver, CancellationToken) {
    let gone = CancellationToken::new();
    let (sender, receiver) = oneshot::channel();
    let receiver = ReplyReceiver {
        receiver,
        gone_guard: gone.clone().drop_guard(),
    };
    (sender, receiver, gone)
}

impl ReplyReceiver {
    /// Waits for the reply; `None` when the call's task ended without one.
    pub(super) async fn reply(self) -> Option<Reply> {
        let Self {
            receiver,
            gone_guard,
        } = self;
        let mut reply = receiver.await.ok()?;
        if let Reply::Answer(ReplyAnswer {
            body: ReplyBody::Stream(chunks),
            ..
        }) = &mut reply
        {
            chunks.gone_guard = Some(gone_guard);
        }
        Some(reply)
    }
}
