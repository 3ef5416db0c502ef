//! Streamed answers in the form of server-sent events.

use std::fmt::Write as _;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::Frame;
use tokio::sync::mpsc;

use super::answer::answer_token;
use super::batch::Token;
use super::prompt::ModelApi;
use crate::backend::{Gate, Identity};
use crate::error::Error;

/// Final event of a stream.
const DONE: &str = "data: [DONE]\n\n";
/// Malformed event, whose data is truncated JSON.
const MALFORMED: &str = "data: {\"attempt\": \n\n";
/// Maximum number of tokens in one frame.
const FRAME_TOKENS_MAX: usize = 64;

/// Response body with one server-sent event for each token.
pub(crate) struct EventStream {
    pub(crate) identity: Identity,
    pub(crate) api: ModelApi,
    pub(crate) tokens: mpsc::Receiver<Token>,
    pub(crate) gate: Arc<Gate>,
    pub(crate) ended: bool,
    pub(crate) broken: bool,
}

impl EventStream {
    fn push_event(&self, token: Token, frame: &mut String) {
        if self.gate.take_malformed_event() {
            frame.push_str(MALFORMED);
            return;
        }
        let Identity { attempt, hash } = &self.identity;
        let Token { index, last } = token;
        let word = answer_token(*hash, index, last);
        let finish = if last { "\"stop\"" } else { "null" };
        let choice = match self.api {
            ModelApi::Chat => format_args!("\"delta\":{{\"content\":\"{word}\"}}").to_string(),
            ModelApi::Completion => format_args!("\"text\":\"{word}\"").to_string(),
        };
        let attempt = serde_json::Value::from(&**attempt);
        // Writing to a `String` never fails.
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
        for _ in 0..FRAME_TOKENS_MAX {
            match self.tokens.poll_recv(cx) {
                Poll::Ready(Some(token)) => self.push_token(token, &mut frame),
                // A crash cleared the batch.
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
