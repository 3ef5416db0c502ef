//! Answers that follow from the prompt, so that anyone can check them.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Median-scale length of answers, in tokens.
const SCALE_TOKENS: f64 = 24.0;
/// Exponent of the Pareto tail; smaller is heavier.
const TAIL_EXPONENT: f64 = 1.2;

/// Hash of a prompt that its answer follows from.
#[must_use]
pub fn prompt_hash(prompt: &str) -> u64 {
    xxh3_64_with_seed(prompt.as_bytes(), 0)
}

/// Token `index` of the answer to the prompt with that hash.
///
/// The last token ends in a full stop, all others in a space.
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

/// Number of tokens of an answer, with a heavy tail bounded by `max_tokens`.
#[must_use]
pub fn answer_length(hash: u64, seed: u64, max_tokens: u32) -> u32 {
    let bits = xxh3_64_with_seed(&hash.to_le_bytes(), seed) >> 11;
    let uniform = (bits + 1) as f64 / (1_u64 << 53) as f64;
    let length = SCALE_TOKENS * uniform.powf(-1.0 / TAIL_EXPONENT);
    // A cast from a float saturates.
    (length as u32).clamp(1, max_tokens.max(1))
}
