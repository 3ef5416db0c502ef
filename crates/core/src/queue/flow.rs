//! Queued calls of one workspace within a class.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::ids::{CallId, WorkspaceName};

/// A queued call.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedCall {
    /// Identifier of the call.
    pub id: CallId,
    /// Workspace of the call.
    pub workspace: WorkspaceName,
    /// Weight of the workspace, above 0.
    pub weight: f64,
    /// When the whole answer is due.
    pub deadline: Instant,
    /// Predicted work, in a unit common to all calls; at least 1.
    pub cost: u64,
}

/// Order within a flow: by deadline, then by arrival.
pub(super) type Position = (Instant, u64);

/// Queued calls of one workspace, and its position in the fair order.
#[derive(Debug, Default)]
pub(super) struct Flow {
    /// Virtual start time of its next call.
    pub(super) start: u64,
    /// Queued work divided by weight.
    pub(super) backlog: u64,
    calls: BTreeMap<Position, QueuedCall>,
}

impl Flow {
    pub(super) fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    pub(super) fn push(&mut self, position: Position, call: QueuedCall) {
        self.backlog = self.backlog.saturating_add(virtual_duration(&call));
        self.calls.insert(position, call);
    }

    pub(super) fn first(&self) -> Option<&QueuedCall> {
        self.calls.first_key_value().map(|(_, call)| call)
    }

    pub(super) fn last(&self) -> Option<Position> {
        self.calls.last_key_value().map(|(position, _)| *position)
    }

    pub(super) fn pop(&mut self) -> Option<QueuedCall> {
        let (_, call) = self.calls.pop_first()?;
        self.backlog = self.backlog.saturating_sub(virtual_duration(&call));
        self.start = self.start.saturating_add(virtual_duration(&call));
        Some(call)
    }

    pub(super) fn remove(&mut self, position: Position) -> Option<QueuedCall> {
        let call = self.calls.remove(&position)?;
        self.backlog = self.backlog.saturating_sub(virtual_duration(&call));
        Some(call)
    }
}

const WEIGHT_MIN: f64 = 1e-3;
const COST_MAX: u64 = 1 << 32;
/// Virtual time of one unit of cost at weight 1.
const VIRTUAL_TIME_SCALE: f64 = 1024.0;

/// Virtual time that serving a call adds to its workspace.
fn virtual_duration(call: &QueuedCall) -> u64 {
    let weight = if call.weight.is_finite() {
        call.weight.max(WEIGHT_MIN)
    } else {
        1.0
    };
    (call.cost.clamp(1, COST_MAX) as f64 * VIRTUAL_TIME_SCALE / weight).ceil() as u64
}
