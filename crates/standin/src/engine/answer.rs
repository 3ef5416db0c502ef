//! Deterministic answers, which a client can verify from the prompt alone.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Scale of the Pareto distribution of answer lengths, which is its minimum.
const ANSWER_SCALE_TOKENS: f64 = 24.0;
/// Exponent of the Pareto tail; a smaller exponent gives a heavier tail.
const TAIL_EXPONENT: f64 = 1.2;

/// Returns the hash of a prompt, from which its answer is derived.
#[must_use]
pub fn prompt_hash(prompt: &str) -> u64 {
    xxh3_64_with_seed(prompt.as_bytes(), 0)
}

/// Returns the hash from which an engine of that version derives its answer to a prompt.
///
/// Engines without a version all give the same answer.
#[must_use]
pub fn answer_hash(prompt_hash: u64, version: &str) -> u64 {
    if version.is_empty() {
        return prompt_hash;
    }
    xxh3_64_with_seed(version.as_bytes(), prompt_hash)
}

/// Returns token `index` of the answer to the prompt with this hash.
///
/// The last token ends with a full stop, all others with a space.
///
/// ```
/// use briarbank_standin::{answer_token, prompt_hash};
/// let hash = prompt_hash("Which lenses are free?");
/// assert_eq!(answer_token(hash, 0, false).len(), 9);
/// assert!(answer_token(hash, 1, true).ends_with('.'));
/// ```
#[must_use]
pub fn answer_token(hash: u64, index: u32, last: bool) -> String {
    let word = xxh3_64_with_seed(&index.to_le_bytes(), hash) as u32;
    let end = if last { '.' } else { ' ' };
    format!("{word:08x}{end}")
}

/// Returns the length of an answer in tokens, at most `max_tokens`.
///
/// Lengths follow a Pareto distribution, which has a heavy tail.
#[must_use]
pub fn answer_length(hash: u64, seed: u64, max_tokens: u32) -> u32 {
    let bits = xxh3_64_with_seed(&hash.to_le_bytes(), seed) >> 11;
    let uniform = (bits + 1) as f64 / (1_u64 << 53) as f64;
    let length = ANSWER_SCALE_TOKENS * uniform.powf(-1.0 / TAIL_EXPONENT);
    // Casts from floats to integers saturate.
    (length as u32).clamp(1, max_tokens.max(1))
}
