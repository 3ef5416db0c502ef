//! Number of runs of each request id.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

use serde::Serialize;

/// Maximum number of request ids kept; the oldest is dropped first.
const REQUEST_IDS_MAX: usize = 1 << 20;

/// Counts how often each request id ran.
#[derive(Debug, Default)]
pub(crate) struct RunCounts {
    counts: HashMap<Arc<str>, u32>,
    order: VecDeque<Arc<str>>,
    total: u64,
    without_id: u64,
}

/// Totals, and the request ids that ran more than once.
#[derive(Debug, Serialize)]
pub(crate) struct RunSummary {
    pub(crate) total: u64,
    pub(crate) without_id: u64,
    pub(crate) distinct: usize,
    pub(crate) doubled: BTreeMap<Arc<str>, u32>,
}

/// Runs of every request id, and of those that ran more than once.
#[derive(Debug, Serialize)]
pub(crate) struct RunList {
    pub(crate) total: u64,
    pub(crate) runs: BTreeMap<Arc<str>, u32>,
    pub(crate) doubled: BTreeMap<Arc<str>, u32>,
}

impl RunCounts {
    /// Records a run and returns the number of runs of its id, including this one.
    pub(crate) fn record_run(&mut self, id: Option<&str>) -> u32 {
        self.total += 1;
        let Some(id) = id else {
            self.without_id += 1;
            return 1;
        };
        if let Some(count) = self.counts.get_mut(id) {
            *count += 1;
            return *count;
        }
        if self.order.len() >= REQUEST_IDS_MAX
            && let Some(oldest) = self.order.pop_front()
        {
            self.counts.remove(&oldest);
        }
        let id: Arc<str> = Arc::from(id);
        self.order.push_back(Arc::clone(&id));
        self.counts.insert(id, 1);
        1
    }

    pub(crate) fn summary(&self) -> RunSummary {
        RunSummary {
            total: self.total,
            without_id: self.without_id,
            distinct: self.counts.len(),
            doubled: self.ids_run_more_than(1),
        }
    }

    pub(crate) fn list(&self) -> RunList {
        RunList {
            total: self.total,
            runs: self.ids_run_more_than(0),
            doubled: self.ids_run_more_than(1),
        }
    }

    fn ids_run_more_than(&self, bound: u32) -> BTreeMap<Arc<str>, u32> {
        self.counts
            .iter()
            .filter(|(_, count)| **count > bound)
            .map(|(id, count)| (Arc::clone(id), *count))
            .collect()
    }
}
