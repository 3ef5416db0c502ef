//! Carries the core's actions to the tasks that do them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use briarbank_core::call::Dispatch;
use briarbank_core::catalog::Profile;
use briarbank_core::ids::{AttemptId, CallId, HostName, Incarnation, ProfileName};
use briarbank_core::node::{Action, Node};
use briarbank_core::peer::{Envelope, Message};
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

use crate::order::{Attempt, Order, Patience, Targets};
use crate::peer::Links;

/// Longest silence before a stream's first event, as a multiple of the target.
const FIRST_PATIENCE_FACTOR: u64 = 4;

/// Longest silence between a stream's events, as a multiple of the target.
const BETWEEN_PATIENCE_FACTOR: u64 = 20;

/// Least patience with a server.
const PATIENCE_MIN: Duration = Duration::from_secs(2);

/// One call's task.
#[derive(Debug)]
struct CallEntry {
    profile: ProfileName,
    attempt: Option<AttemptId>,
    forwarded: bool,
    orders: mpsc::Sender<Order>,
}

/// Where actions go.
#[derive(Debug)]
pub(crate) struct Actions {
    host: HostName,
    address: SocketAddr,
    incarnation: Incarnation,
    calls: HashMap<CallId, CallEntry>,
    attempts: HashMap<AttemptId, CallId>,
    links: Links,
    watching: watch::Sender<bool>,
    stopped: CancellationToken,
}

impl Actions {
    pub(crate) fn new(
        (host, address): (HostName, SocketAddr),
        incarnation: Incarnation,
        links: Links,
        watching: watch::Sender<bool>,
        stopped: CancellationToken,
    ) -> Self {
        Self {
            host,
            address,
            incarnation,
            calls: HashMap::new(),
            attempts: HashMap::new(),
            links,
            watching,
            stopped,
        }
    }

    /// Number of calls that wait or run.
    pub(crate) fn calls(&self) -> usize {
        self.calls.len()
    }

    /// Takes note of where the orders of a call go.
    pub(crate) fn register(
        &mut self,
        call: CallId,
        profile: &ProfileName,
        orders: mpsc::Sender<Order>,
    ) {
        let entry = CallEntry {
            profile: profile.clone(),
            attempt: None,
            forwarded: false,
            orders,
        };
        self.calls.insert(call, entry);
    }

    /// Carries out one action.
    pub(crate) fn carry_out(&mut self, node: &Node, action: Action) {
        match action {
            Action::Dispatch(dispatch) => self.dispatch(node, dispatch),
            Action::Cancel { attempt, .. } => self.cancel(attempt),
            Action::Refuse { call, refusal } => self.last(call, Order::Refuse(refusal)),
            Action::End { call, .. } => self.last(call, Order::End),
            Action::Replay { call, answer } => self.last(call, Order::Replay(answer)),
            Action::Forward { call, to } => self.forward(node, call, to),
            Action::Send { to, message } => self.send(node, &to, message),
            Action::Watch(wanted) => {
                self.watching.send_replace(wanted);
            }
            Action::Stopped => self.stopped.cancel(),
        }
    }

    fn dispatch(&mut self, node: &Node, dispatch: Dispatch) {
        let Some(entry) = self.calls.get_mut(&dispatch.call) else {
            return;
        };
        let profile = node.catalog().and_then(|c| c.profile(&entry.profile));
        let address = node.fleet().server(&dispatch.server).map(|s| s.address);
        let attempt = Attempt {
            address,
            idempotent: profile.is_some_and(|p| p.idempotent),
            patience: patience(profile),
            targets: profile.map(targets),
            dispatch,
        };
        let id = attempt.dispatch.attempt;
        if let Some(former) = entry.attempt.replace(id) {
            self.attempts.remove(&former);
        }
        self.attempts.insert(id, attempt.dispatch.call);
        order(entry, Order::Dispatch(Box::new(attempt)));
    }

    fn cancel(&mut self, attempt: AttemptId) {
        let call = self.attempts.remove(&attempt);
        if let Some(entry) = call.and_then(|c| self.calls.get_mut(&c)) {
            order(entry, Order::Cancel(attempt));
        }
    }

    fn forward(&mut self, node: &Node, call: CallId, to: HostName) {
        let address = node.hosts().get(&to).map(|h| h.peer_address);
        if let Some(entry) = self.calls.get_mut(&call) {
            entry.forwarded = true;
            order(entry, Order::Forward { to, address });
        }
    }

    /// Forgets a forwarded call that ended without an action of the core.
    pub(crate) fn forwarded_ended(&mut self, call: CallId) {
        if self.calls.get(&call).is_some_and(|e| e.forwarded) {
            self.calls.remove(&call);
        }
    }

    /// Gives the call's task its last order.
    fn last(&mut self, call: CallId, last: Order) {
        let Some(entry) = self.calls.remove(&call) else {
            return;
        };
        if let Some(attempt) = entry.attempt {
            self.attempts.remove(&attempt);
        }
        order(&entry, last);
    }

    fn send(&self, node: &Node, to: &HostName, message: Message) {
        let Some(address) = node.peer_address(to) else {
            return;
        };
        let envelope = Envelope {
            from: self.host.clone(),
            address: self.address,
            incarnation: self.incarnation,
            message,
        };
        self.links.send(to, address, &envelope);
    }
}

fn order(entry: &CallEntry, order: Order) {
    // A task that has ended needs no orders.
    if let Err(mpsc::error::TrySendError::Full(order)) = entry.orders.try_send(order) {
        tracing::error!(?order, "control: call has too many orders");
    }
}

fn targets(profile: &Profile) -> Targets {
    Targets {
        first: Duration::from_millis(profile.first_token_ms),
        between: Duration::from_millis(profile.between_tokens_ms),
        whole: Duration::from_millis(profile.whole_ms),
    }
}

fn patience(profile: Option<&Profile>) -> Patience {
    let scaled = |target_ms: u64, factor| {
        Duration::from_millis(target_ms.saturating_mul(factor)).max(PATIENCE_MIN)
    };
    let first_ms = profile.map_or(0, |p| p.first_token_ms);
    let between_ms = profile.map_or(0, |p| p.between_tokens_ms);
    let whole_ms = profile.map_or(0, |p| p.whole_ms);
    let first = scaled(first_ms, FIRST_PATIENCE_FACTOR);
    Patience {
        first,
        between: scaled(between_ms, BETWEEN_PATIENCE_FACTOR),
        whole: scaled(whole_ms, 1).max(first),
    }
}
