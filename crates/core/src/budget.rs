//! Budget that bounds retries to a part of the first attempts.
//!
//! When most attempts fail, retries would multiply the load on what is left.
//! A token bucket that only first attempts fill keeps them to a fixed part.

/// Fixed choices of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Retries earned by one first attempt.
    pub deposit_ratio: f64,
    /// Most retries saved up, also the number at the start.
    pub burst: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            deposit_ratio: 0.1,
            burst: 20.0,
        }
    }
}

/// Token bucket of retries; see the module's page.
///
/// # Examples
///
/// ```
/// use briarbank_core::budget::{Options, RetryBudget};
///
/// let mut budget = RetryBudget::new(Options { deposit_ratio: 0.5, burst: 1.0 });
/// assert!(budget.withdraw());
/// assert!(!budget.withdraw());
/// budget.deposit();
/// budget.deposit();
/// assert!(budget.withdraw());
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    options: Options,
    tokens: f64,
}

impl RetryBudget {
    /// A full budget.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Self {
            options,
            tokens: options.burst,
        }
    }

    /// Takes note of a first attempt.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.options.deposit_ratio).min(self.options.burst);
    }

    /// Takes one retry out; false when there is none.
    pub fn withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
