//! Text of an answer so far, from which an attempt resumes it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Tokens of an answer, shared with the attempts that may resume it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Transcript {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    tokens: u32,
    text: String,
    too_long: bool,
}

/// Position at which an attempt resumes an answer.
#[derive(Clone, Debug)]
pub(crate) struct ResumePoint {
    /// Tokens of the answer so far.
    pub(crate) tokens: u32,
    /// Their text; `None` when it was too long.
    pub(crate) text: Option<String>,
}

impl Transcript {
    /// Appends a token; drops the text once it exceeds `limit_bytes`.
    pub(super) fn record_token(&self, text: &str, limit_bytes: usize) {
        let mut state = self.lock();
        state.tokens += 1;
        if state.too_long || state.text.len() + text.len() > limit_bytes {
            state.too_long = true;
            state.text = String::new();
            return;
        }
        state.text.push_str(text);
    }

    /// Returns the number of tokens so far.
    pub(crate) fn tokens(&self) -> u32 {
        self.lock().tokens
    }

    /// Returns the position after the last token.
    pub(crate) fn resume_point(&self) -> ResumePoint {
        let state = self.lock();
        ResumePoint {
            tokens: state.tokens,
            text: (!state.too_long).then(|| state.text.clone()),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
