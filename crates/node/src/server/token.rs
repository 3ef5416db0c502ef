//! Token events of a model engine's answer.

use std::borrow::Cow;

use serde::Deserialize;

/// Data of the event that ends an answer.
pub(super) const DONE: &str = "[DONE]";

/// Fields of an engine's event that the router checks.
#[derive(Debug, Deserialize)]
pub(super) struct TokenEvent<'a> {
    /// Attempt that the event belongs to.
    #[serde(borrow)]
    pub(super) attempt: Cow<'a, str>,
    /// Index of the token in the whole answer.
    pub(super) index: u32,
    #[serde(borrow)]
    choices: Vec<Choice<'a>>,
}

#[derive(Debug, Deserialize)]
struct Choice<'a> {
    #[serde(borrow, default)]
    text: Option<Cow<'a, str>>,
    #[serde(borrow, default)]
    delta: Option<Delta<'a>>,
    #[serde(borrow, default)]
    finish_reason: Option<Cow<'a, str>>,
}

#[derive(Debug, Deserialize)]
struct Delta<'a> {
    #[serde(borrow, default)]
    content: Option<Cow<'a, str>>,
}

impl TokenEvent<'_> {
    /// Returns the text of the token.
    pub(super) fn text(&self) -> &str {
        let Some(choice) = self.choices.first() else {
            return "";
        };
        let delta = choice.delta.as_ref().and_then(|d| d.content.as_deref());
        choice.text.as_deref().or(delta).unwrap_or("")
    }

    /// Returns whether the answer ends with this token.
    pub(super) fn is_last(&self) -> bool {
        self.choices.iter().any(|c| c.finish_reason.is_some())
    }
}
