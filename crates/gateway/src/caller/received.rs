//! What is read of an answer before its attempt counts as answered.

use std::sync::Arc;

use briarbank_core::flow::Fault;
use briarbank_net::{HeldBytes, Place};
use http::Method;

use crate::caller::answer_buffer::collect;
use crate::caller::framing::Framing;
use crate::caller::stream::{Next, read_events};
use crate::events::EventSplitter;
use crate::server::Sent;

/// How much of an answer is read before it wins over those of other attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadAhead {
    /// The head.
    Head,
    /// The first events, of a stream that has begun.
    FirstEvents,
    /// The whole answer.
    Whole,
}

/// Part of an answer's body that was read with its head.
pub(crate) enum Received {
    Nothing,
    Whole(HeldBytes),
    /// The result of the first read, and the rest of the events that it left.
    Events(EventSplitter, Next),
    /// The body broke off, with the reason for the log.
    Broken(Fault, String),
}

/// Reads as much of an answer as is asked for.
pub(crate) async fn read_ahead(
    sent: &mut Sent,
    method: &Method,
    read_ahead: ReadAhead,
    resumed_event: Option<Arc<str>>,
    place: &Arc<Place>,
) -> Received {
    let status = sent.response.status();
    let framing = Framing::of(method, status, sent.response.headers());
    let body = sent.response.body_mut();
    match read_ahead {
        ReadAhead::Whole => match collect(body, status, framing, place).await {
            Ok(answer) => Received::Whole(answer),
            Err(error) => Received::Broken(error.fault(), error.to_string()),
        },
        ReadAhead::FirstEvents if status.is_success() => {
            let mut splitter = EventSplitter::after(resumed_event, place);
            match read_events(body, framing, &mut splitter).await {
                Next::Broken(reason, fault) => Received::Broken(fault, reason.to_owned()),
                next => Received::Events(splitter, next),
            }
        }
        ReadAhead::Head | ReadAhead::FirstEvents => Received::Nothing,
    }
}
