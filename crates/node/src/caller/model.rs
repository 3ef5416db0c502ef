//! Bodies of model calls, as far as the router reads them.

use std::borrow::Cow;

use briarbank_core::ids::TargetName;
use briarbank_core::rendezvous;
use serde::Deserialize;
use serde_json::Value;

/// Bytes of the prompt whose hash decides on the server with the warm cache.
const PREFIX_BYTES: usize = 1_024;

/// Most tokens of an answer whose call names no bound.
const DEFAULT_MAX_TOKENS: u32 = 1_024;

#[derive(Debug, Deserialize)]
struct Fields<'a> {
    #[serde(borrow)]
    model: Cow<'a, str>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    prompt: Option<Value>,
    #[serde(default)]
    messages: Option<Value>,
}

/// What the router reads of a model call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelCall {
    /// Model.
    pub target: TargetName,
    /// Whether server-sent events are wanted.
    pub streamed: bool,
    /// Most tokens of the answer.
    pub max_tokens: u32,
    /// Hash of the prompt's first part.
    pub prefix_key: u64,
}

impl ModelCall {
    /// Reads the body of a model call.
    ///
    /// # Errors
    ///
    /// What `serde_json` says of a body that is no model call.
    pub fn parse(body: &[u8]) -> Result<Self, serde_json::Error> {
        let fields: Fields<'_> = serde_json::from_slice(body)?;
        let max_tokens = fields.max_tokens.or(fields.max_completion_tokens);
        let mut prefix = String::new();
        for part in [&fields.prompt, &fields.messages].into_iter().flatten() {
            append(part, &mut prefix);
        }
        Ok(Self {
            target: TargetName::new(&fields.model),
            streamed: fields.stream,
            max_tokens: max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
            prefix_key: rendezvous::key(prefix.as_bytes()),
        })
    }
}

/// Appends the text in a prompt or in messages, up to the prefix's bound.
fn append(value: &Value, prefix: &mut String) {
    let rest = PREFIX_BYTES.saturating_sub(prefix.len());
    if rest == 0 {
        return;
    }
    match value {
        Value::String(text) => prefix.push_str(&text[..text.floor_char_boundary(rest)]),
        Value::Array(values) => values.iter().for_each(|v| append(v, prefix)),
        Value::Object(fields) => {
            for field in ["role", "text", "content"] {
                if let Some(value) = fields.get(field) {
                    append(value, prefix);
                }
            }
        }
        _ => {}
    }
}
