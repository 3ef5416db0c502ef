//! Prefill time of a service's engines, estimated from their answers.

/// Factor by which the weight of earlier samples decays with each new one.
const DECAY: f64 = 0.99;

/// Bounds of the time per token, in milliseconds.
pub(crate) const MS_PER_TOKEN_RANGE: (f64, f64) = (0.001, 0.2);

/// Initial estimate of the time to the first event of an empty prompt, in milliseconds.
const INITIAL_BASE_MS: f64 = 40.0;

/// Initial estimate of the time per token, in milliseconds.
const INITIAL_TOKEN_MS: f64 = 0.01;

/// Weighted linear fit of the time to the first event over prompt tokens.
///
/// # Examples
///
/// ```
/// use briarbank_core::flow::PromptTime;
///
/// let mut time = PromptTime::default();
/// for tokens in (0..400).map(|i| f64::from(i % 20) * 500.0) {
///     time.record(tokens, 30.0 + tokens / 50.0);
/// }
/// assert!((time.ms_per_token() - 0.02).abs() < 0.002);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct PromptTime {
    weight: f64,
    tokens: f64,
    times: f64,
    tokens_squared: f64,
    products: f64,
}

impl Default for PromptTime {
    fn default() -> Self {
        let mut time = Self {
            weight: 0.0,
            tokens: 0.0,
            times: 0.0,
            tokens_squared: 0.0,
            products: 0.0,
        };
        // Pseudo-samples, whose weight decays as real samples arrive.
        for tokens in [0.0, 5_000.0, 10_000.0] {
            time.record(tokens, INITIAL_BASE_MS + INITIAL_TOKEN_MS * tokens);
        }
        time
    }
}

impl PromptTime {
    /// Records the time to a first event, in milliseconds, by prefilled tokens.
    ///
    /// Tokens that were queued at the engine before the call's own are included.
    pub fn record(&mut self, tokens: f64, time_ms: f64) {
        self.weight = self.weight * DECAY + 1.0;
        self.tokens = self.tokens * DECAY + tokens;
        self.times = self.times * DECAY + time_ms;
        self.tokens_squared = self.tokens_squared * DECAY + tokens * tokens;
        self.products = self.products * DECAY + tokens * time_ms;
    }

    /// Returns the time per token, in milliseconds.
    #[must_use]
    pub fn ms_per_token(&self) -> f64 {
        let spread = self.weight * self.tokens_squared - self.tokens * self.tokens;
        if spread <= 0.0 {
            return INITIAL_TOKEN_MS;
        }
        let slope = (self.weight * self.products - self.tokens * self.times) / spread;
        slope.clamp(MS_PER_TOKEN_RANGE.0, MS_PER_TOKEN_RANGE.1)
    }

    /// Returns the time to the first event of an empty prompt, in milliseconds.
    #[must_use]
    pub fn base_ms(&self) -> f64 {
        self.base_ms_at(self.ms_per_token())
    }

    /// Returns the same if the time per token is known to be that.
    #[must_use]
    pub fn base_ms_at(&self, ms_per_token: f64) -> f64 {
        let base = (self.times - ms_per_token * self.tokens) / self.weight.max(1e-9);
        base.max(0.0)
    }
}
