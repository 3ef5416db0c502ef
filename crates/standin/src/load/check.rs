//! Check of an answer's identity, order and completeness.

use crate::engine::answer_token;

/// Bytes of one token.
const TOKEN_BYTES: usize = 9;

/// What is wrong with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerFault {
    /// A token is not the one that comes next in this request's answer.
    WrongToken,
    /// More came after the end.
    DataAfterEnd,
    /// The answer ended before its last token.
    Incomplete,
}

/// Follows an answer token by token.
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
    /// Check of the answer to the prompt with that hash.
    #[must_use]
    pub fn new(hash: u64) -> Self {
        Self {
            hash,
            next: 0,
            ended: false,
        }
    }

    /// Tokens so far.
    #[must_use]
    pub fn tokens(&self) -> u32 {
        self.next
    }

    /// Takes the next piece of text, of whole tokens, and tells their number.
    ///
    /// # Errors
    ///
    /// [`AnswerFault::WrongToken`] or [`AnswerFault::DataAfterEnd`].
    pub fn push(&mut self, text: &str) -> Result<u32, AnswerFault> {
        let before = self.next;
        for word in text.as_bytes().chunks(TOKEN_BYTES) {
            self.token(word)?;
        }
        Ok(self.next - before)
    }

    fn token(&mut self, word: &[u8]) -> Result<(), AnswerFault> {
        if self.ended {
            return Err(AnswerFault::DataAfterEnd);
        }
        let last = word.ends_with(b".");
        if word != answer_token(self.hash, self.next, last).as_bytes() {
            return Err(AnswerFault::WrongToken);
        }
        self.next += 1;
        self.ended = last;
        Ok(())
    }

    /// Number of tokens of the whole answer.
    ///
    /// # Errors
    ///
    /// [`AnswerFault::Incomplete`] if the last token hasn't come.
    pub fn finish(&self) -> Result<u32, AnswerFault> {
        if self.ended {
            Ok(self.next)
        } else {
            Err(AnswerFault::Incomplete)
        }
    }
}
