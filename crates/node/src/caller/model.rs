//! Parsing of model calls, limited to the fields that the router uses.

use std::borrow::Cow;

use briarbank_core::ids::TargetName;
use briarbank_core::rendezvous;
use serde::Deserialize;
use serde_json::Value;

/// Bytes of the prompt whose hash selects the server with the prefix cache.
const PREFIX_BYTES: usize = 1_024;

/// Token limit of an answer whose call sets none.
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

/// Fields of a model call that the router uses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelCall {
    /// Name of the model.
    pub target: TargetName,
    /// Whether the caller wants server-sent events.
    pub streamed: bool,
    /// Token limit of the answer.
    pub max_tokens: u32,
    /// Hash of the prompt's prefix.
    pub prefix_key: u64,
}

impl ModelCall {
    /// Parses the body of a model call.
    ///
    /// # Errors
    ///
    /// The error of `serde_json` for a body that is not a model call.
    pub fn parse(body: &[u8]) -> Result<Self, serde_json::Error> {
        let fields: Fields<'_> = serde_json::from_slice(body)?;
        let max_tokens = fields.max_tokens.or(fields.max_completion_tokens);
        let mut prefix = String::new();
        for part in [&fields.prompt, &fields.messages].into_iter().flatten() {
            append_text(part, &mut prefix);
        }
        Ok(Self {
            target: TargetName::new(&fields.model),
            streamed: fields.stream,
            max_tokens: max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
            prefix_key: rendezvous::key(prefix.as_bytes()),
        })
    }
}

/// Appends the text of a prompt or messages, up to `PREFIX_BYTES`.
fn append_text(value: &Value, prefix: &mut String) {
    let rest = PREFIX_BYTES.saturating_sub(prefix.len());
    if rest == 0 {
        return;
    }
    match value {
        Value::String(text) => prefix.push_str(&text[..text.floor_char_boundary(rest)]),
        Value::Array(values) => values.iter().for_each(|v| append_text(v, prefix)),
        Value::Object(fields) => {
            for field in ["role", "text", "content"] {
                if let Some(value) = fields.get(field) {
                    append_text(value, prefix);
                }
            }
        }
        _ => {}
    }
}
