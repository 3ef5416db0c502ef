//! Queued calls of one class, served fairly among its workspaces.

use std::collections::{BTreeSet, HashMap};
use std::time::Instant;

use crate::ids::{ProfileName, WorkspaceName};
use crate::queue::flow::{Flow, Position, QueuedCall};

/// Share, tier and limit of a class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassOptions {
    /// Name of the profile.
    pub name: ProfileName,
    /// Service tier, 0 is the highest.
    pub tier: u8,
    /// Guaranteed share of the work served, 0 to 1.
    pub share_ratio: f64,
    /// Maximum number of queued calls.
    pub limit: usize,
}

/// Queued calls of one class.
#[derive(Debug)]
pub(super) struct Class {
    pub(super) options: ClassOptions,
    /// Work that the class is entitled to beyond what it was served.
    pub(super) credit: f64,
    /// Number of queued calls.
    pub(super) len: usize,
    /// Total cost of the queued calls.
    pub(super) cost: u64,
    virtual_time: u64,
    flows: HashMap<WorkspaceName, Flow>,
    /// Flows with queued calls, by virtual start time.
    by_start: BTreeSet<(u64, WorkspaceName)>,
    /// Flows without queued calls, by virtual start time.
    idle: BTreeSet<(u64, WorkspaceName)>,
    /// Flows with queued calls, by backlog.
    by_backlog: BTreeSet<(u64, WorkspaceName)>,
}

impl Class {
    pub(super) fn new(options: ClassOptions) -> Self {
        Self {
            options,
            credit: 0.0,
            len: 0,
            cost: 0,
            virtual_time: 0,
            flows: HashMap::new(),
            by_start: BTreeSet::new(),
            idle: BTreeSet::new(),
            by_backlog: BTreeSet::new(),
        }
    }

    pub(super) fn push(&mut self, position: Position, call: QueuedCall) {
        self.len += 1;
        self.cost += call.cost;
        let workspace = call.workspace.clone();
        let mut flow = self.take(&workspace);
        flow.start = flow.start.max(self.virtual_time);
        flow.push(position, call);
        self.attach(workspace, flow);
    }

    /// The call that the class serves next.
    pub(super) fn first(&self) -> Option<&QueuedCall> {
        let (_, workspace) = self.by_start.first()?;
        self.flows.get(workspace)?.first()
    }

    pub(super) fn first_deadline(&self) -> Option<Instant> {
        self.first().map(|call| call.deadline)
    }

    pub(super) fn pop(&mut self) -> Option<QueuedCall> {
        let (start, workspace) = self.by_start.first().cloned()?;
        self.virtual_time = self.virtual_time.max(start);
        let mut flow = self.take(&workspace);
        let call = flow.pop();
        self.attach(workspace, flow);
        self.record_removed(call)
    }

    pub(super) fn remove(
        &mut self,
        workspace: &WorkspaceName,
        position: Position,
    ) -> Option<QueuedCall> {
        let mut flow = self.take(workspace);
        let call = flow.remove(position);
        self.attach(workspace.clone(), flow);
        self.record_removed(call)
    }

    /// Guaranteed share of the work served.
    pub(super) fn share(&self) -> f64 {
        let share = self.options.share_ratio;
        if share.is_finite() {
            share.clamp(0.0, 1.0)
        } else {
            0.0
        }
    }

    /// Whether the credit covers the next call.
    pub(super) fn has_credit(&self) -> bool {
        self.first()
            .is_some_and(|call| self.credit >= call.cost as f64)
    }

    /// Removes the latest-deadline call of the workspace with the largest backlog.
    pub(super) fn shed(&mut self) -> Option<QueuedCall> {
        let (_, workspace) = self.by_backlog.last().cloned()?;
        let position = self.flows.get(&workspace)?.last()?;
        self.remove(&workspace, position)
    }

    fn record_removed(&mut self, call: Option<QueuedCall>) -> Option<QueuedCall> {
        let call = call?;
        self.len -= 1;
        self.cost -= call.cost;
        if self.len == 0 {
            self.flows.clear();
            self.idle.clear();
            self.virtual_time = 0;
        }
        Some(call)
    }

    /// Detaches a flow from the class, to be modified.
    fn take(&mut self, workspace: &WorkspaceName) -> Flow {
        let Some(flow) = self.flows.remove(workspace) else {
            return Flow::default();
        };
        self.by_start.remove(&(flow.start, workspace.clone()));
        self.idle.remove(&(flow.start, workspace.clone()));
        self.by_backlog.remove(&(flow.backlog, workspace.clone()));
        flow
    }

    /// Attaches a modified flow to the class.
    fn attach(&mut self, workspace: WorkspaceName, flow: Flow) {
        if flow.is_empty() {
            self.idle.insert((flow.start, workspace.clone()));
        } else {
            self.by_start.insert((flow.start, workspace.clone()));
            self.by_backlog.insert((flow.backlog, workspace.clone()));
        }
        self.flows.insert(workspace, flow);
        self.remove_idle();
    }

    /// Removes idle flows that would start at the current virtual time anyway.
    fn remove_idle(&mut self) {
        while self
            .idle
            .first()
            .is_some_and(|(start, _)| *start <= self.virtual_time)
        {
            if let Some((_, workspace)) = self.idle.pop_first() {
                self.flows.remove(&workspace);
            }
        }
    }
}
