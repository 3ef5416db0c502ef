//! Check of an answer's identity, order and completeness.

use crate::engine::answer_token;

/// Bytes of one token.
const TOKEN_BYTES: usize = 9;

/// What is wrong with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A token is not the one that comes next in this request's answer.
    WrongToken,
    /// More came after the end.
    AfterEnd,
    /// The answer ended before its last token.
    Incomplete,
}

/// Follows an answer token by token.
///
/// ```
/// use briarbank_standin::{AnswerCheck, Fault, answer_token, prompt_hash};
/// let hash = prompt_hash("Which mount?");
/// let mut check = AnswerCheck::new(hash);
/// check.text(&answer_token(hash, 0, false))?;
/// assert_eq!(check.finish(), Err(Fault::Incomplete));
/// check.text(&answer_token(hash, 1, true))?;
/// assert_eq!(check.finish(), Ok(2));
/// # Ok::<(), Fault>(())
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
    /// [`Fault::WrongToken`] or [`Fault::AfterEnd`].
    pub fn text(&mut self, text: &str) -> Result<u32, Fault> {
        let before = self.next;
        for word in text.as_bytes().chunks(TOKEN_BYTES) {
            self.token(word)?;
        }
        Ok(self.next - before)
    }

    fn token(&mut self, word: &[u8]) -> Result<(), Fault> {
        if self.ended {
            return Err(Fault::AfterEnd);
        }
        let last = word.ends_with(b".");
        if word != answer_token(self.hash, self.next, last).as_bytes() {
            return Err(Fault::WrongToken);
        }
        self.next += 1;
        self.ended = last;
        Ok(())
    }

    /// Number of tokens of the whole answer.
    ///
    /// # Errors
    ///
    /// [`Fault::Incomplete`] if the last token hasn't come.
    pub fn finish(&self) -> Result<u32, Fault> {
        if self.ended {
            Ok(self.next)
        } else {
            Err(Fault::Incomplete)
        }
    }
}
