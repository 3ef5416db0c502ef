//! Checks an answer's identity, token order and completeness.

use crate::engine::answer_token;

/// Length of one token.
const TOKEN_BYTES: usize = 9;

/// A fault of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerFault {
    /// A token is not the next one of the answer to this prompt.
    WrongToken,
    /// Data follows the last token.
    DataAfterEnd,
    /// The answer ended before its last token.
    Incomplete,
}

/// Checks an answer token by token.
///
/// ```
/// use briarbank_standin::{AnswerCheck, AnswerFault, answer_token, prompt_hash};
/// let hash = prompt_hash("Which mount?");
/// let mut check = AnswerCheck::new(hash);
/// check.push(&answer_token(hash, 0, false))?;
/// assert_eq!(check.finish(), Err(AnswerFault::Incomplete));
/// check.push(&answer_token(hash, 1, true))?;
/// assert_eq!(check.finish(), Ok(2));
/// # Ok::<(), AnswerFault>(())
/// ```
#[derive(Clone, Copy, Debug)]
pub struct AnswerCheck {
    hash: u64,
    next: u32,
    ended: bool,
}

impl AnswerCheck {
    /// Creates a check of the answer to the prompt with the given hash.
    #[must_use]
    pub fn new(hash: u64) -> Self {
        Self {
            hash,
            next: 0,
            ended: false,
        }
    }

    /// Returns the number of tokens checked so far.
    #[must_use]
    pub fn tokens(&self) -> u32 {
        self.next
    }

    /// Checks the next text, made of whole tokens, and returns their number.
    ///
    /// # Errors
    ///
    /// Returns [`AnswerFault::WrongToken`] or [`AnswerFault::DataAfterEnd`].
    pub fn push(&mut self, text: &str) -> Result<u32, AnswerFault> {
        let before = self.next;
        for token in text.as_bytes().chunks(TOKEN_BYTES) {
            self.push_token(token)?;
        }
        Ok(self.next - before)
    }

    fn push_token(&mut self, token: &[u8]) -> Result<(), AnswerFault> {
        if self.ended {
            return Err(AnswerFault::DataAfterEnd);
        }
        let last = token.ends_with(b".");
        if token != answer_token(self.hash, self.next, last).as_bytes() {
            return Err(AnswerFault::WrongToken);
        }
        self.next += 1;
        self.ended = last;
        Ok(())
    }

    /// Returns the number of tokens of the complete answer.
    ///
    /// # Errors
    ///
    /// Returns [`AnswerFault::Incomplete`] if the last token is missing.
    pub fn finish(&self) -> Result<u32, AnswerFault> {
        if self.ended {
            Ok(self.next)
        } else {
            Err(AnswerFault::Incomplete)
        }
    }
}
