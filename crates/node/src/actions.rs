//! Executes the core's actions by sending them to the tasks concerned.

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

use crate::command::{Attempt, CallCommand, Objectives, SilenceTimeouts};
use crate::peer::Links;

/// Longest silence before a stream's first event, as a multiple of its objective.
const FIRST_EVENT_SILENCE_FACTOR: u64 = 4;

/// Longest silence between a stream's events, as a multiple of its objective.
const BETWEEN_EVENTS_SILENCE_FACTOR: u64 = 20;

/// Shortest silence timeout of a server.
const SILENCE_TIMEOUT_MIN: Duration = Duration::from_secs(2);

/// Command channel and state of one call's task.
#[derive(Debug)]
struct CallEntry {
    profile: ProfileName,
    /// The last attempt, and those that it may still replace.
    attempts: Vec<AttemptId>,
    forwarded: bool,
    commands: mpsc::Sender<CallCommand>,
}

/// Destinations of the core's actions.
#[derive(Debug)]
pub(crate) struct Actions {
    host: HostName,
    address: SocketAddr,
    incarnation: Incarnation,
    calls: HashMap<CallId, CallEntry>,
    attempts: HashMap<AttemptId, CallId>,
    links: Links,
    watch_sender: watch::Sender<bool>,
    stopped: CancellationToken,
}

impl Actions {
    pub(crate) fn new(
        (host, address): (HostName, SocketAddr),
        incarnation: Incarnation,
        links: Links,
        watch_sender: watch::Sender<bool>,
        stopped: CancellationToken,
    ) -> Self {
        Self {
            host,
            address,
            incarnation,
            calls: HashMap::new(),
            attempts: HashMap::new(),
            links,
            watch_sender,
            stopped,
        }
    }

    /// Returns the number of calls that are queued or in flight.
    pub(crate) fn calls(&self) -> usize {
        self.calls.len()
    }

    /// Registers the command channel of a call.
    pub(crate) fn register(
        &mut self,
        call: CallId,
        profile: &ProfileName,
        commands: mpsc::Sender<CallCommand>,
    ) {
        let entry = CallEntry {
            profile: profile.clone(),
            attempts: Vec::new(),
            forwarded: false,
            commands,
        };
        self.calls.insert(call, entry);
    }

    /// Executes one action.
    pub(crate) fn execute(&mut self, node: &Node, action: Action) {
        match action {
            Action::Dispatch(dispatch) => self.dispatch(node, dispatch),
            Action::Cancel { attempt, .. } => self.cancel(attempt),
            Action::Refuse { call, refusal } => self.send_last(call, CallCommand::Refuse(refusal)),
            Action::End { call, .. } => self.send_last(call, CallCommand::End),
            Action::Replay { call, answer } => self.send_last(call, CallCommand::Replay(answer)),
            Action::Forward { call, to } => self.forward(node, call, to),
            Action::Send { to, message } => self.send(node, &to, message),
            Action::Watch(wanted) => {
                self.watch_sender.send_replace(wanted);
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
            silence_timeouts: silence_timeouts(profile),
            objectives: profile.map(objectives),
            dispatch,
        };
        let id = attempt.dispatch.attempt;
        if !attempt.dispatch.trial {
            for previous in entry.attempts.drain(..) {
                self.attempts.remove(&previous);
            }
        }
        entry.attempts.push(id);
        self.attempts.insert(id, attempt.dispatch.call);
        send_command(entry, CallCommand::Dispatch(Box::new(attempt)));
    }

    fn cancel(&mut self, attempt: AttemptId) {
        let call = self.attempts.remove(&attempt);
        if let Some(entry) = call.and_then(|c| self.calls.get_mut(&c)) {
            entry.attempts.retain(|other| *other != attempt);
            send_command(entry, CallCommand::Cancel(attempt));
        }
    }

    fn forward(&mut self, node: &Node, call: CallId, to: HostName) {
        let address = node.hosts().get(&to).map(|h| h.peer_address);
        if let Some(entry) = self.calls.get_mut(&call) {
            entry.forwarded = true;
            send_command(entry, CallCommand::Forward { to, address });
        }
    }

    /// Removes a forwarded call that ended without an action of the core.
    pub(crate) fn remove_forwarded(&mut self, call: CallId) {
        if self.calls.get(&call).is_some_and(|e| e.forwarded) {
            self.calls.remove(&call);
        }
    }

    /// Sends the last command to the call's task.
    fn send_last(&mut self, call: CallId, command: CallCommand) {
        let Some(entry) = self.calls.remove(&call) else {
            return;
        };
        for attempt in &entry.attempts {
            self.attempts.remove(attempt);
        }
        send_command(&entry, command);
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

fn send_command(entry: &CallEntry, command: CallCommand) {
    // A closed channel means that the task has ended and needs no commands.
    if let Err(mpsc::error::TrySendError::Full(command)) = entry.commands.try_send(command) {
        tracing::error!(order = ?command, "control: command queue of a call is full");
    }
}

fn objectives(profile: &Profile) -> Objectives {
    Objectives {
        first: Duration::from_millis(profile.first_token_ms),
        between: Duration::from_millis(profile.between_tokens_ms),
        whole: Duration::from_millis(profile.whole_ms),
    }
}

fn silence_timeouts(profile: Option<&Profile>) -> SilenceTimeouts {
    let scaled = |objective_ms: u64, factor| {
        Duration::from_millis(objective_ms.saturating_mul(factor)).max(SILENCE_TIMEOUT_MIN)
    };
    let first_ms = profile.map_or(0, |p| p.first_token_ms);
    let between_ms = profile.map_or(0, |p| p.between_tokens_ms);
    let whole_ms = profile.map_or(0, |p| p.whole_ms);
    let first = scaled(first_ms, FIRST_EVENT_SILENCE_FACTOR);
    SilenceTimeouts {
        first,
        between: scaled(between_ms, BETWEEN_EVENTS_SILENCE_FACTOR),
        whole: scaled(whole_ms, 1).max(first),
    }
}
