//! Requests of one class, fair among its workspaces.

use std::collections::{BTreeSet, HashMap};
use std::time::Instant;

use crate::ids::{ProfileName, WorkspaceName};
use crate::queue::flow::{Flow, Position, QueuedCall};

/// What a class is entitled to.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassOptions {
    /// Name of the profile.
    pub name: ProfileName,
    /// Service tier, 0 is the highest.
    pub tier: u8,
    /// Guaranteed part of the work served, 0 to 1.
    pub share_ratio: f64,
    /// Most requests that wait.
    pub limit: usize,
}

/// Waiting requests of one class.
#[derive(Debug)]
pub(super) struct Class {
    pub(super) options: ClassOptions,
    /// Work that the class is owed.
    pub(super) credit: f64,
    /// Requests that wait.
    pub(super) len: usize,
    /// Cost of the requests that wait.
    pub(super) cost: u64,
    now: u64,
    flows: HashMap<WorkspaceName, Flow>,
    order: BTreeSet<(u64, WorkspaceName)>,
    idle: BTreeSet<(u64, WorkspaceName)>,
    backlog: BTreeSet<(u64, WorkspaceName)>,
}

impl Class {
    pub(super) fn new(options: ClassOptions) -> Self {
        Self {
            options,
            credit: 0.0,
            len: 0,
            cost: 0,
            now: 0,
            flows: HashMap::new(),
            order: BTreeSet::new(),
            idle: BTreeSet::new(),
            backlog: BTreeSet::new(),
        }
    }

    pub(super) fn push(&mut self, position: Position, item: QueuedCall) {
        self.len += 1;
        self.cost += item.cost;
        let workspace = item.workspace.clone();
        let mut flow = self.take(&workspace);
        flow.start = flow.start.max(self.now);
        flow.push(position, item);
        self.put(workspace, flow);
    }

    /// The request that the class serves next.
    pub(super) fn first(&self) -> Option<&QueuedCall> {
        let (_, workspace) = self.order.first()?;
        self.flows.get(workspace)?.first()
    }

    pub(super) fn first_deadline(&self) -> Option<Instant> {
        self.first().map(|item| item.deadline)
    }

    pub(super) fn pop(&mut self) -> Option<QueuedCall> {
        let (start, workspace) = self.order.first().cloned()?;
        self.now = self.now.max(start);
        let mut flow = self.take(&workspace);
        let item = flow.pop();
        self.put(workspace, flow);
        self.count_out(item)
    }

    pub(super) fn remove(
        &mut self,
        workspace: &WorkspaceName,
        position: Position,
    ) -> Option<QueuedCall> {
        let mut flow = self.take(workspace);
        let item = flow.remove(position);
        self.put(workspace.clone(), flow);
        self.count_out(item)
    }

    /// Guaranteed part of the work served.
    pub(super) fn share(&self) -> f64 {
        let share = self.options.share_ratio;
        if share.is_finite() {
            share.clamp(0.0, 1.0)
        } else {
            0.0
        }
    }

    /// Whether the credit pays for the next request.
    pub(super) fn is_owed(&self) -> bool {
        self.first()
            .is_some_and(|item| self.credit >= item.cost as f64)
    }

    /// Removes the request that is due last of the workspace with the most
    /// waiting work for its weight.
    pub(super) fn shed(&mut self) -> Option<QueuedCall> {
        let (_, workspace) = self.backlog.last().cloned()?;
        let position = self.flows.get(&workspace)?.last()?;
        self.remove(&workspace, position)
    }

    fn count_out(&mut self, item: Option<QueuedCall>) -> Option<QueuedCall> {
        let item = item?;
        self.len -= 1;
        self.cost -= item.cost;
        if self.len == 0 {
            self.flows.clear();
            self.idle.clear();
            self.now = 0;
        }
        Some(item)
    }

    /// Takes a flow out of all orders.
    fn take(&mut self, workspace: &WorkspaceName) -> Flow {
        let Some(flow) = self.flows.remove(workspace) else {
            return Flow::default();
        };
        self.order.remove(&(flow.start, workspace.clone()));
        self.idle.remove(&(flow.start, workspace.clone()));
        self.backlog.remove(&(flow.backlog, workspace.clone()));
        flow
    }

    /// Puts a flow back into the orders that it belongs to.
    fn put(&mut self, workspace: WorkspaceName, flow: Flow) {
        if flow.is_empty() {
            self.idle.insert((flow.start, workspace.clone()));
        } else {
            self.order.insert((flow.start, workspace.clone()));
            self.backlog.insert((flow.backlog, workspace.clone()));
        }
        self.flows.insert(workspace, flow);
        self.forget_idle();
    }

    /// Forgets idle workspaces that would begin at the present virtual time anyway.
    fn forget_idle(&mut self) {
        while self
            .idle
            .first()
            .is_some_and(|(start, _)| *start <= self.now)
        {
            if let Some((_, workspace)) = self.idle.pop_first() {
                self.flows.remove(&workspace);
            }
        }
    }
}
