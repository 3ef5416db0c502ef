//! Progress notifications about tokens that reached a caller.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

use briarbank_core::ids::AttemptId;
use briarbank_core::node::Event;
use briarbank_core::router::AttemptEvent;

/// Tokens of one attempt that reached the caller.
///
/// At most one notification is queued at a time.
#[derive(Debug)]
pub(crate) struct Progress {
    attempt: AttemptId,
    tokens: AtomicU32,
    pending: AtomicBool,
}

impl Progress {
    pub(crate) fn new(attempt: AttemptId) -> Arc<Self> {
        Arc::new(Self {
            attempt,
            tokens: AtomicU32::new(0),
            pending: AtomicBool::new(false),
        })
    }

    /// Returns the core's event and allows the next notification.
    pub(crate) fn take_event(&self) -> Event {
        self.pending.store(false, Ordering::SeqCst);
        let tokens = self.tokens.load(Ordering::SeqCst);
        Event::Attempt {
            attempt: self.attempt,
            event: AttemptEvent::Progress { tokens },
        }
    }

    /// Records the tokens; returns whether a notification must be sent.
    pub(crate) fn record_tokens(&self, tokens: u32) -> bool {
        self.tokens.store(tokens, Ordering::SeqCst);
        !self.pending.swap(true, Ordering::SeqCst)
    }
}
