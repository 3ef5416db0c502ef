//! Budget of log lines of one kind.

/// Log lines of one kind in the current period; the caller ends each period.
///
/// # Examples
///
/// ```
/// use briarbank_core::log_budget::LogLineBudget;
///
/// let mut budget = LogLineBudget::new(1);
/// assert!(budget.try_take());
/// assert!(!budget.try_take());
/// assert_eq!(budget.end_period(), 1);
/// assert!(budget.try_take());
/// ```
#[derive(Clone, Debug)]
pub struct LogLineBudget {
    lines_max: u32,
    written: u32,
    left_out: u32,
}

impl LogLineBudget {
    /// Creates a budget of `lines_max` lines per period.
    #[must_use]
    pub fn new(lines_max: u32) -> Self {
        Self {
            lines_max,
            written: 0,
            left_out: 0,
        }
    }

    /// Returns whether one more line may be written, and counts it either way.
    pub fn try_take(&mut self) -> bool {
        let has_room = self.written < self.lines_max;
        if has_room {
            self.written += 1;
        } else {
            self.left_out = self.left_out.saturating_add(1);
        }
        has_room
    }

    /// Starts the next period and returns the number of lines left out.
    pub fn end_period(&mut self) -> u32 {
        self.written = 0;
        std::mem::take(&mut self.left_out)
    }
}
