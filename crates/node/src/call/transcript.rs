//! Text of an answer so far, from which an attempt resumes it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use briarbank_core::occupancy::Purpose;
use briarbank_net::{Place, Reservation};

/// Tokens of an answer, shared with the attempts that may resume it.
///
/// The text counts as held by the caller's connection.
#[derive(Clone, Debug)]
pub(crate) struct Transcript {
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    tokens: u32,
    text: String,
    /// Whether the text was dropped.
    too_long: bool,
    reservation: Reservation,
}

/// Position at which an attempt resumes an answer.
#[derive(Clone, Debug)]
pub(crate) struct ResumePoint {
    /// Tokens of the answer so far.
    pub(crate) tokens: u32,
    /// Their text; `None` when it was too long or there was no room for it.
    pub(crate) text: Option<String>,
}

impl Transcript {
    pub(super) fn new(place: &Arc<Place>) -> Self {
        let state = State {
            tokens: 0,
            text: String::new(),
            too_long: false,
            reservation: Reservation::new(place, Purpose::Answer),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Appends a token; drops the text once it exceeds `limit_bytes` or there is no room.
    pub(super) fn record_token(&self, text: &str, limit_bytes: usize) {
        let mut state = self.lock();
        state.tokens += 1;
        if state.too_long {
            return;
        }
        let length = state.text.len() + text.len();
        if length > limit_bytes || state.reservation.grow_to(length).is_err() {
            state.too_long = true;
            state.text = String::new();
            state.reservation.shrink_to(0);
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
