//! Bounds on log lines of calls, by kind.

use std::cell::RefCell;
use std::collections::BTreeMap;

use briarbank_core::log_budget::LogLineBudget;

/// Kinds of lines that grow with the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum LineKind {
    /// A call that was served.
    Served,
    /// A call that was refused, failed or was left by its caller.
    Unserved,
    /// An attempt that gave nothing to pass on.
    Attempt,
    /// A call whose head was not accepted.
    NotAdmitted,
}

impl LineKind {
    /// Lines a second. A node's part of 14,000 calls a second at 390 nodes is 36;
    /// calls that were not served have room for ten times that.
    fn lines_max(self) -> u32 {
        match self {
            Self::Served => 100,
            Self::Unserved => 400,
            Self::Attempt | Self::NotAdmitted => 200,
        }
    }
}

/// Lines of the current second.
#[derive(Debug, Default)]
pub(crate) struct LogLines {
    budgets: RefCell<BTreeMap<LineKind, LogLineBudget>>,
}

impl LogLines {
    /// Whether one more line of the kind may be written.
    pub(crate) fn take(&self, kind: LineKind) -> bool {
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(kind);
        budget
            .or_insert_with(|| LogLineBudget::new(kind.lines_max()))
            .try_take()
    }

    /// Begins the next second and tells what was left out of the last one.
    pub(crate) fn end_second(&self) {
        for (kind, budget) in self.budgets.borrow_mut().iter_mut() {
            let count = budget.end_period();
            if count > 0 {
                tracing::info!(?kind, count, "log: lines left out");
                metrics::counter!("briarbank_log_lines_left_out_total").increment(u64::from(count));
            }
        }
    }
}
