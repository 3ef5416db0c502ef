//! Keys of callers, which are never printed in full.

use std::fmt;
use std::sync::Arc;

/// Largest number of characters of a key that are printed.
const SHOWN_MAX_CHARS: usize = 4;

/// A key of a workspace; printed as its first few characters.
///
/// At most a quarter of a key is printed, so that short keys can't be guessed.
///
/// # Examples
///
/// ```
/// use briarbank_check::Key;
///
/// assert_eq!(Key::new("lr-58c0aa3197de").to_string(), "lr-…");
/// assert_eq!(Key::new("lr-58c0aa3197de02ff").to_string(), "lr-5…");
/// assert_eq!(format!("{:?}", Key::new("abc")), "…");
/// ```
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(Arc<str>);

impl Key {
    /// Creates a key from its text.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self(Arc::from(text))
    }

    /// Returns whether callers can send the key in a header.
    pub(crate) fn is_sendable(&self) -> bool {
        !self.0.is_empty() && self.0.bytes().all(|b| b.is_ascii_graphic())
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let shown = SHOWN_MAX_CHARS.min(self.0.chars().count() / 4);
        let start: String = self.0.chars().take(shown).collect();
        write!(f, "{}…", start.escape_debug())
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
