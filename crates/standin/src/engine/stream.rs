//! Streamed answers.

use std::fmt::Write as _;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::Frame;
use tokio::sync::mpsc;

use super::answer::answer_token;
use super::batch::Token;
use super::prompt::Api;
use crate::backend::{Gate, Identity};
use crate::error::Error;

/// End of a stream.
const DONE: &str = "data: [DONE]\n\n";
/// What a malformed event looks like.
const MALFORMED: &str = "data: {\"attempt\": \n\n";
/// Most tokens in one frame.
const FRAME_TOKENS: usize = 64;

/// Server-sent events, one for each token.
pub(crate) struct EventStream {
    pub(crate) identity: Identity,
    pub(crate) api: Api,
    pub(crate) tokens: mpsc::Receiver<Token>,
    pub(crate) gate: Arc<Gate>,
    pub(crate) ended: bool,
    pub(crate) broken: bool,
}

impl EventStream {
    fn push_event(&self, token: Token, frame: &mut String) {
        if self.gate.takes_malformed() {
            frame.push_str(MALFORMED);
            return;
        }
        let Identity { attempt, hash } = &self.identity;
        let Token { index, last } = token;
        let word = answer_token(*hash, index, last);
        let finish = if last { "\"stop\"" } else { "null" };
        let choice = match self.api {
            Api::Chat => format_args!("\"delta\":{{\"content\":\"{word}\"}}").to_string(),
            Api::Completion => format_args!("\"text\":\"{word}\"").to_string(),
        };
        let attempt = serde_json::Value::from(&**attempt);
        // Writing to a string can't fail.
        let _ = write!(
            frame,
            "data: {{\"attempt\":{attempt},\"index\":{index},\"choices\":[{{\"index\":0,{choice},\"finish_reason\":{finish}}}]}}\n\n"
        );
    }

    fn push_token(&mut self, token: Token, frame: &mut String) {
        if self.gate.breaks_at(token.index) {
            self.broken = true;
            return;
        }
        self.push_event(token, frame);
        if token.last {
            frame.push_str(DONE);
            self.ended = true;
        }
    }
}

impl hyper::body::Body for EventStream {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        if self.broken {
            return Poll::Ready(Some(Err(Error::Cut)));
        }
        if self.ended {
            return Poll::Ready(None);
        }
        let mut frame = String::new();
        for _ in 0..FRAME_TOKENS {
            match self.tokens.poll_recv(cx) {
                Poll::Ready(Some(token)) => self.push_token(token, &mut frame),
                // The batch was cleared by a crash.
                Poll::Ready(None) => self.broken = true,
                Poll::Pending => break,
            }
            if self.broken || self.ended {
                break;
            }
        }
        if !frame.is_empty() {
            return Poll::Ready(Some(Ok(Frame::data(Bytes::from(frame)))));
        }
        if self.broken {
            return Poll::Ready(Some(Err(Error::Cut)));
        }
        Poll::Pending
    }
}
