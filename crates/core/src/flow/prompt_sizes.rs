//! Sizes of short and long prompts, learned from calls.

/// Typical sizes of short and long prompts before any was seen, in tokens: a question
/// of a page or less, and a document.
const INITIAL_TOKENS: (f64, f64) = (700.0, 6_000.0);

/// Number of prompts that each initial size counts as.
const INITIAL_WEIGHT: u32 = 10;

/// Least weight of one prompt in a running mean.
const WEIGHT_MIN: f64 = 0.02;

/// Two clusters of prompt sizes, by their geometric means.
///
/// Every prompt moves the mean of the cluster that it belongs to, so that the limit
/// between them falls into the gap between two kinds of prompts, whatever their rates.
///
/// Source: Lloyd, "Least squares quantization in PCM", 1982 (k-means, here for one value
/// and two clusters).
#[derive(Clone, Copy, Debug)]
pub(crate) struct PromptSizes {
    short: Cluster,
    long: Cluster,
}

#[derive(Clone, Copy, Debug)]
struct Cluster {
    mean_log_tokens: f64,
    count: u32,
}

impl Cluster {
    fn new(tokens: f64) -> Self {
        Self {
            mean_log_tokens: tokens.ln(),
            count: INITIAL_WEIGHT,
        }
    }

    fn record(&mut self, log_tokens: f64) {
        self.count = self.count.saturating_add(1);
        let weight = WEIGHT_MIN.max(1.0 / f64::from(self.count));
        self.mean_log_tokens += weight * (log_tokens - self.mean_log_tokens);
    }
}

impl Default for PromptSizes {
    fn default() -> Self {
        Self {
            short: Cluster::new(INITIAL_TOKENS.0),
            long: Cluster::new(INITIAL_TOKENS.1),
        }
    }
}

impl PromptSizes {
    /// Records a prompt with that many tokens.
    pub(crate) fn record(&mut self, tokens: u32) {
        let log_tokens = f64::from(tokens).max(1.0).ln();
        if self.is_short(tokens) {
            self.short.record(log_tokens);
        } else {
            self.long.record(log_tokens);
        }
    }

    /// Returns whether a prompt with that many tokens is short.
    pub(crate) fn is_short(&self, tokens: u32) -> bool {
        let limit = f64::midpoint(self.short.mean_log_tokens, self.long.mean_log_tokens);
        f64::from(tokens).max(1.0).ln() < limit
    }
}
