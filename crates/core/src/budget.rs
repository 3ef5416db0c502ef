//! Retry budget: bounds retries to a fraction of the first attempts.
//!
//! When most attempts fail, retries would multiply the load on the remaining servers.
//! A token bucket that only first attempts refill limits them to a fixed fraction.

/// Options of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Retries that one first attempt adds to the budget.
    pub deposit_ratio: f64,
    /// Capacity of the bucket in retries, which is also its initial level.
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

/// Token bucket of retries; see the module documentation.
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
    /// Creates a full budget.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Self {
            options,
            tokens: options.burst,
        }
    }

    /// Records a first attempt, which adds to the budget.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.options.deposit_ratio).min(self.options.burst);
    }

    /// Returns a withdrawn retry that was not used.
    pub fn refund(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.options.burst);
    }

    /// Withdraws one retry; returns false if the budget is used up.
    pub fn withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
