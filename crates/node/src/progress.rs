//! Notices of tokens that reached a caller.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

use briarbank_core::ids::AttemptId;
use briarbank_core::node::Event;
use briarbank_core::router::AttemptEvent;

/// Tokens of one attempt that reached the caller; at most one notice waits.
#[derive(Debug)]
pub(crate) struct Progress {
    attempt: AttemptId,
    tokens: AtomicU32,
    waiting: AtomicBool,
}

impl Progress {
    pub(crate) fn new(attempt: AttemptId) -> Arc<Self> {
        Arc::new(Self {
            attempt,
            tokens: AtomicU32::new(0),
            waiting: AtomicBool::new(false),
        })
    }

    /// The notice, for the core; the next one may be sent.
    pub(crate) fn take(&self) -> Event {
        self.waiting.store(false, Ordering::SeqCst);
        let tokens = self.tokens.load(Ordering::SeqCst);
        Event::Attempt {
            attempt: self.attempt,
            event: AttemptEvent::Progress { tokens },
        }
    }

    /// Takes note of the tokens; whether a notice is to be sent.
    pub(crate) fn reach(&self, tokens: u32) -> bool {
        self.tokens.store(tokens, Ordering::SeqCst);
        !self.waiting.swap(true, Ordering::SeqCst)
    }
}
