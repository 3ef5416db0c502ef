//! Requests of the model API, as far as the engine reads them.

use std::sync::Arc;

use serde::Deserialize;

use super::answer::prompt_hash;
use crate::error::Error;

/// Tokens of an answer when the request doesn't bound them.
const DEFAULT_MAX_TOKENS: u32 = 256;
/// Most tokens of an answer.
const MAX_TOKENS_LIMIT: u32 = 16_384;
/// Bytes of text for one token of a prompt.
const BYTES_PER_TOKEN: usize = 4;
/// Part of the prompt that decides about its place in the prefix cache.
const PREFIX_BYTES: usize = 1_024;

/// One of the two model calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Api {
    Chat,
    Completion,
}

impl Api {
    /// The call behind a path.
    pub(crate) fn of_path(path: &str) -> Option<Self> {
        match path {
            "/v1/chat/completions" => Some(Self::Chat),
            "/v1/completions" => Some(Self::Completion),
            _ => None,
        }
    }
}

#[derive(Debug, Deserialize)]
struct Message {
    #[serde(default)]
    content: String,
}

#[derive(Debug, Deserialize)]
struct RequestBody {
    model: Arc<str>,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
}

/// What a model call asks for.
#[derive(Clone, Debug)]
pub(crate) struct Prompt {
    pub(crate) model: Arc<str>,
    pub(crate) api: Api,
    pub(crate) hash: u64,
    pub(crate) prefix_key: u64,
    pub(crate) size_tokens: usize,
    pub(crate) max_tokens: u32,
    pub(crate) stream: bool,
}

impl Prompt {
    /// Reads a request's body.
    ///
    /// # Errors
    ///
    /// [`Error::InvalidJson`] if it isn't a model request.
    pub(crate) fn parse(api: Api, body: &[u8]) -> Result<Self, Error> {
        let body: RequestBody = serde_json::from_slice(body)?;
        let text = match api {
            Api::Chat => join(&body.messages),
            Api::Completion => body.prompt,
        };
        let prefix = &text.as_bytes()[..text.len().min(PREFIX_BYTES)];
        let max_tokens = body.max_tokens.or(body.max_completion_tokens);
        Ok(Self {
            model: body.model,
            api,
            hash: prompt_hash(&text),
            prefix_key: xxhash_rust::xxh3::xxh3_64(prefix),
            size_tokens: text.len().div_ceil(BYTES_PER_TOKEN),
            max_tokens: max_tokens
                .unwrap_or(DEFAULT_MAX_TOKENS)
                .clamp(1, MAX_TOKENS_LIMIT),
            stream: body.stream,
        })
    }
}

fn join(messages: &[Message]) -> String {
    let contents: Vec<&str> = messages.iter().map(|m| m.content.as_str()).collect();
    contents.join("\n")
}
