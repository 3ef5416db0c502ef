//! The ownership state machine.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::call::{Call, Outcome, Reason, StoredAnswer};
use crate::hosts::HostView;
use crate::ids::{HostName, Incarnation, RequestId, Revision};
use crate::node::Action;
use crate::owner::message::Message;
use crate::rendezvous;

/// Fixed choices of ownership.
#[derive(Clone, Debug)]
pub struct Options {
    /// When callers refused for want of an owner are asked to come back.
    pub retry_after: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            retry_after: Duration::from_secs(2),
        }
    }
}

/// Where a request id is owned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Place {
    /// At this node.
    Here,
    /// At another node.
    At(HostName),
    /// Nowhere: no host list is known, or it names no live host.
    Nowhere,
}

/// What the owner decides for a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Begin {
    /// Run it; this is the only call with this id that may run.
    Run,
    /// Give the kept answer.
    Replay(StoredAnswer),
    /// Refuse.
    Refuse(Reason, Outcome),
}

/// State machine of ownership; see the module's page.
#[derive(Debug)]
pub struct Owner {
    host: HostName,
    options: Options,
    view: Arc<HostView>,
    table: HashMap<RequestId, Option<StoredAnswer>>,
}

impl Owner {
    /// An owner that knows no host list yet.
    #[must_use]
    pub fn new(
        host: HostName,
        _incarnation: Incarnation,
        options: Options,
        _now: Instant,
        _wall_ms: u64,
    ) -> Self {
        Self {
            host,
            options,
            view: Arc::default(),
            table: HashMap::new(),
        }
    }

    /// The host list in force.
    #[must_use]
    pub fn view(&self) -> &HostView {
        &self.view
    }

    /// When refused callers are asked to come back.
    #[must_use]
    pub fn retry_after(&self) -> Duration {
        self.options.retry_after
    }

    /// Adopts a newer host list.
    pub fn adopt(&mut self, _now: Instant, view: Arc<HostView>) {
        self.view = view;
    }

    /// Takes note that no host of a list older than `revision` runs any more.
    pub fn retire(&mut self, _revision: Revision) {}

    /// Where a request id is owned, by the host list in force.
    #[must_use]
    pub fn place(&self, request: &RequestId) -> Place {
        let key = rendezvous::key(request.as_str().as_bytes());
        match rendezvous::first(key, self.view.live(), |h| h.name.as_str()) {
            None => Place::Nowhere,
            Some(host) if host.name == self.host => Place::Here,
            Some(host) => Place::At(host.name.clone()),
        }
    }

    /// Decides on a call whose id is owned here.
    pub fn begin(&mut self, _now: Instant, call: &Call, _content_key: u64) -> Begin {
        match self.table.get(&call.request) {
            Some(Some(answer)) => Begin::Replay(answer.clone()),
            Some(None) => Begin::Refuse(Reason::Running, Outcome::Unknown),
            None => {
                self.table.insert(call.request.clone(), None);
                Begin::Run
            }
        }
    }

    /// Last check before the call is sent to its server.
    pub fn may_send(&mut self, _now: Instant, request: &RequestId) -> bool {
        self.table.contains_key(request)
    }

    /// The call completed; its answer may be kept for repeats.
    pub fn finish(&mut self, _now: Instant, request: &RequestId, answer: Option<StoredAnswer>) {
        if answer.is_some() {
            self.table.insert(request.clone(), answer);
        }
    }

    /// The call surely did not run.
    pub fn release(&mut self, request: &RequestId) {
        self.table.remove(request);
    }

    /// The call may have run.
    pub fn lose(&mut self, _now: Instant, _request: &RequestId) {}

    /// Takes a message from another node.
    pub fn message(
        &mut self,
        _now: Instant,
        _from: &HostName,
        _incarnation: Incarnation,
        _message: Message,
        _actions: &mut Vec<Action>,
    ) {
    }

    /// Does what is due.
    pub fn tick(&mut self, _now: Instant, _actions: &mut Vec<Action>) {}
}
