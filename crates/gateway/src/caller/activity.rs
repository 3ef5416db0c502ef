//! Whether a caller's connection is idle.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use briarbank_net::CallerConnection;
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use tokio::time::Instant;

use crate::caller::body::{AnswerBody, Cut};

/// Calls in flight on a connection, and when it was last active.
#[derive(Debug)]
pub(crate) struct Activity {
    caller: CallerConnection,
    calls: Cell<u32>,
    last: Cell<Instant>,
}

/// A call in flight until its answer is written or dropped.
#[derive(Debug)]
pub(crate) struct ActiveCall(Rc<Activity>);

/// Body of an answer whose call is in flight.
pub(crate) struct TrackedBody {
    body: AnswerBody,
    _active: ActiveCall,
}

impl Activity {
    /// Returns the activity of a connection that has just been opened.
    pub(crate) fn new(caller: CallerConnection) -> Rc<Self> {
        Rc::new(Self {
            caller,
            calls: Cell::new(0),
            last: Cell::new(Instant::now()),
        })
    }

    /// Counts a call as in flight until the result is dropped.
    pub(crate) fn start_call(self: &Rc<Self>) -> ActiveCall {
        self.calls.set(self.calls.get() + 1);
        self.caller.begin_call();
        ActiveCall(Rc::clone(self))
    }

    /// Records that the connection is in use.
    pub(crate) fn touch(&self) {
        self.last.set(Instant::now());
    }

    /// Returns since when the connection has been idle; now while a call is in flight.
    pub(crate) fn idle_since(&self) -> Instant {
        if self.calls.get() > 0 {
            self.touch();
        }
        self.last.get()
    }
}

impl ActiveCall {
    /// Keeps the call in flight until its answer is written or dropped.
    pub(crate) fn track(self, body: AnswerBody) -> TrackedBody {
        TrackedBody {
            body,
            _active: self,
        }
    }
}

impl Drop for ActiveCall {
    fn drop(&mut self) {
        self.0.calls.set(self.0.calls.get() - 1);
        self.0.touch();
        self.0.caller.end_call();
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
