//! Limits on the rate of log lines of calls, by kind.

use std::cell::RefCell;
use std::collections::BTreeMap;

use briarbank_core::log_budget::LogLineBudget;

/// Kind of log lines whose rate grows with the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum LineKind {
    /// A call that was served.
    Served,
    /// A call that was refused or failed, or whose caller left.
    Unserved,
    /// An attempt without an answer that can be forwarded.
    Attempt,
    /// A call whose head was not accepted.
    NotAdmitted,
    /// A call that is sent to a second server as well.
    Hedge,
    /// A stream that goes on after it broke off.
    Continued,
    /// What a server said of itself.
    Notice,
    /// A server that turned cold or warm.
    Cold,
    /// A part of prompts that may crash servers.
    Parts,
    /// An entry that names no usable server.
    Entry,
    /// Begin or end of the evacuation of a zone.
    Evacuation,
    /// A path to a server that broke or works again.
    Path,
    /// A caller's connection that the node closed.
    Closed,
    /// A call for whose body there was no room.
    NoRoom,
}

impl LineKind {
    /// Returns the largest number of lines per second.
    ///
    /// With 14,000 calls per second at 390 nodes, a node's share is 36; calls that
    /// were not served may exceed this tenfold.
    fn lines_max(self) -> u32 {
        match self {
            Self::Served | Self::Cold => 100,
            Self::Unserved => 400,
            Self::Attempt | Self::NotAdmitted | Self::Hedge | Self::Continued => 200,
            Self::Notice
            | Self::Parts
            | Self::Entry
            | Self::Evacuation
            | Self::Path
            | Self::Closed
            | Self::NoRoom => 20,
        }
    }
}

/// Counts of log lines in the current second.
#[derive(Debug, Default)]
pub(crate) struct LogLines {
    budgets: RefCell<BTreeMap<LineKind, LogLineBudget>>,
}

impl LogLines {
    /// Counts a line and returns whether it may be written.
    pub(crate) fn take(&self, kind: LineKind) -> bool {
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(kind);
        budget
            .or_insert_with(|| LogLineBudget::new(kind.lines_max()))
            .try_take()
    }

    /// Starts the next second and logs the count of omitted lines.
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
