//! Request bodies of the model API, with the fields that the engine uses.

use std::sync::Arc;

use serde::Deserialize;

use super::answer::prompt_hash;
use crate::error::Error;

/// Limit on the answer length if the request sets none.
const DEFAULT_ANSWER_TOKENS_MAX: u32 = 256;
/// Upper bound on the limit that a request may set.
const ANSWER_TOKENS_MAX: u32 = 16_384;
/// Bytes of prompt text that count as one token.
const BYTES_PER_TOKEN: usize = 4;
/// Length of the prompt prefix that the prefix cache is keyed by.
const PREFIX_BYTES: usize = 1_024;

/// Model API of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ModelApi {
    Chat,
    Completion,
}

impl ModelApi {
    /// Returns the API that is served under a path.
    pub(crate) fn from_path(path: &str) -> Option<Self> {
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

/// Parsed request of a model call.
#[derive(Clone, Debug)]
pub(crate) struct Prompt {
    pub(crate) model: Arc<str>,
    pub(crate) api: ModelApi,
    pub(crate) hash: u64,
    pub(crate) prefix_key: u64,
    pub(crate) size_tokens: usize,
    pub(crate) max_tokens: u32,
    pub(crate) stream: bool,
}

impl Prompt {
    /// Parses a request body.
    ///
    /// # Errors
    ///
    /// [`Error::InvalidJson`] if the body is not a model request.
    pub(crate) fn parse(api: ModelApi, body: &[u8]) -> Result<Self, Error> {
        let body: RequestBody = serde_json::from_slice(body)?;
        let text = match api {
            ModelApi::Chat => join_contents(&body.messages),
            ModelApi::Completion => body.prompt,
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
                .unwrap_or(DEFAULT_ANSWER_TOKENS_MAX)
                .clamp(1, ANSWER_TOKENS_MAX),
            stream: body.stream,
        })
    }
}

fn join_contents(messages: &[Message]) -> String {
    let contents: Vec<&str> = messages.iter().map(|m| m.content.as_str()).collect();
    contents.join("\n")
}
