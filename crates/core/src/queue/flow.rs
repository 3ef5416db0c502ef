//! Requests of one workspace within a class.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::ids::{CallId, WorkspaceName};

/// One request that waits.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedCall {
    /// The call.
    pub call: CallId,
    /// Workspace that it belongs to.
    pub workspace: WorkspaceName,
    /// Weight of the workspace, above 0.
    pub weight: f64,
    /// When its answer is due.
    pub deadline: Instant,
    /// Expected work, in any unit that is the same for all; at least 1.
    pub cost: u64,
}

/// Order within a flow: by deadline, then by arrival.
pub(super) type Position = (Instant, u64);

/// Requests of one workspace, with its place in the fair order.
#[derive(Debug, Default)]
pub(super) struct Flow {
    /// Virtual time at which its next request starts.
    pub(super) start: u64,
    /// Waiting work over weight.
    pub(super) backlog: u64,
    items: BTreeMap<Position, QueuedCall>,
}

impl Flow {
    pub(super) fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    pub(super) fn push(&mut self, position: Position, item: QueuedCall) {
        self.backlog = self.backlog.saturating_add(span(&item));
        self.items.insert(position, item);
    }

    pub(super) fn first(&self) -> Option<&QueuedCall> {
        self.items.first_key_value().map(|(_, item)| item)
    }

    pub(super) fn last(&self) -> Option<Position> {
        self.items.last_key_value().map(|(position, _)| *position)
    }

    pub(super) fn pop(&mut self) -> Option<QueuedCall> {
        let (_, item) = self.items.pop_first()?;
        self.backlog = self.backlog.saturating_sub(span(&item));
        self.start = self.start.saturating_add(span(&item));
        Some(item)
    }

    pub(super) fn remove(&mut self, position: Position) -> Option<QueuedCall> {
        let item = self.items.remove(&position)?;
        self.backlog = self.backlog.saturating_sub(span(&item));
        Some(item)
    }
}

const WEIGHT_MIN: f64 = 1e-3;
const COST_MAX: u64 = 1 << 32;
/// Virtual time of a unit of cost at weight 1.
const SPAN_SCALE: f64 = 1024.0;

/// Virtual time that serving an item takes of its workspace.
fn span(item: &QueuedCall) -> u64 {
    let weight = if item.weight.is_finite() {
        item.weight.max(WEIGHT_MIN)
    } else {
        1.0
    };
    (item.cost.clamp(1, COST_MAX) as f64 * SPAN_SCALE / weight).ceil() as u64
}
