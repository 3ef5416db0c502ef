//! Handling of calls.

use std::time::Instant;

use crate::call::{Call, Outcome, Reason, Refusal};
use crate::ids::{AttemptId, CallId, HostName};
use crate::member::Status;
use crate::node::event::{Action, Origin};
use crate::node::state::Node;
use crate::owner::{Decision, OwnerLocation};
use crate::router::{self, AttemptEvent};

/// A call that was forwarded to another node.
#[derive(Debug)]
pub(crate) struct Forwarded {
    first_try: bool,
}

impl Node {
    pub(crate) fn handle_call(
        &mut self,
        now: Instant,
        call: Call,
        origin: &Origin,
        content_key: u64,
        actions: &mut Vec<Action>,
    ) {
        let profile = self.catalog.as_ref().and_then(|c| c.profile(&call.profile));
        if profile.is_none_or(|p| p.idempotent) {
            self.route_call(now, call, actions);
            return;
        }
        match (self.owner.locate(&call.request), origin) {
            (OwnerLocation::Local, _) => self.handle_owned_call(now, call, content_key, actions),
            (OwnerLocation::Remote(to), Origin::Caller) if !self.is_dead(&to) => {
                self.forwarded.insert(
                    call.id,
                    Forwarded {
                        first_try: call.first_try,
                    },
                );
                actions.push(Action::Forward { call: call.id, to });
            }
            (OwnerLocation::Remote(_) | OwnerLocation::Unowned, _) => {
                let outcome = call.unproven_outcome();
                self.refuse(call.id, Reason::NoOwner, outcome, actions);
            }
        }
    }

    fn handle_owned_call(
        &mut self,
        now: Instant,
        call: Call,
        content_key: u64,
        actions: &mut Vec<Action>,
    ) {
        match self.owner.decide(now, &call, content_key) {
            Decision::Run => {
                self.owned.insert(call.id, call.request.clone());
                self.route_event(now, router::Event::Arrive(call), actions);
            }
            Decision::Replay(answer) => actions.push(Action::Replay {
                call: call.id,
                answer,
            }),
            Decision::Refuse(reason, outcome) => self.refuse(call.id, reason, outcome, actions),
        }
    }

    /// Passes an idempotent call to the router.
    fn route_call(&mut self, now: Instant, call: Call, actions: &mut Vec<Action>) {
        if !call.first_try {
            self.retried_calls.insert(call.id);
        }
        self.route_event(now, router::Event::Arrive(call), actions);
    }

    pub(crate) fn handle_forward_failed(
        &mut self,
        call: CallId,
        sent: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(forwarded) = self.forwarded.remove(&call) else {
            return;
        };
        let is_first = forwarded.first_try && !sent;
        let outcome = if is_first {
            Outcome::NotRun
        } else {
            Outcome::Unknown
        };
        self.refuse(call, Reason::NoOwner, outcome, actions);
    }

    /// Cancels the call of a disconnected caller; a sent call owned here continues.
    pub(crate) fn handle_caller_gone(
        &mut self,
        now: Instant,
        call: CallId,
        actions: &mut Vec<Action>,
    ) {
        self.forwarded.remove(&call);
        if self
            .owned
            .get(call)
            .is_some_and(|owned| owned.sent.is_some())
        {
            return;
        }
        self.route_event(now, router::Event::CallerGone(call), actions);
    }

    /// Releases an attempt's send if the event proves that it did not run.
    pub(crate) fn record_proof(&mut self, attempt: AttemptId, event: AttemptEvent) {
        let AttemptEvent::Failed(failure) = event else {
            return;
        };
        if !failure.proves_not_run() {
            return;
        }
        if let Some(request) = self.owned.release_send(attempt) {
            self.owner.release_send(&request);
        }
    }

    /// Passes an event to the router and records the calls that end.
    pub(crate) fn route_event(
        &mut self,
        now: Instant,
        event: router::Event,
        actions: &mut Vec<Action>,
    ) {
        let mut router_actions = Vec::new();
        self.router.handle(now, event, &mut router_actions);
        for action in router_actions {
            let action = self.convert_action(now, action, actions);
            actions.push(action);
        }
    }

    fn convert_action(
        &mut self,
        now: Instant,
        action: router::Action,
        actions: &mut Vec<Action>,
    ) -> Action {
        match action {
            router::Action::Dispatch(dispatch) => Action::Dispatch(dispatch),
            router::Action::Cancel { attempt, server } => Action::Cancel { attempt, server },
            router::Action::Refuse { call, refusal } => {
                let outcome = self.record_end(now, call, refusal.outcome, actions);
                Action::Refuse {
                    call,
                    refusal: Refusal { outcome, ..refusal },
                }
            }
            router::Action::End { call, outcome } => {
                let outcome = self.record_end(now, call, outcome, actions);
                Action::End { call, outcome }
            }
        }
    }

    /// Records the end of a call and returns the outcome for the caller.
    fn record_end(
        &mut self,
        now: Instant,
        call: CallId,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) -> Outcome {
        if self.retried_calls.remove(&call) && outcome == Outcome::NotRun {
            return Outcome::Unknown;
        }
        let owned = self.owned.remove(call, outcome == Outcome::Completed);
        let Some((request, state, outcome)) = owned else {
            return outcome;
        };
        self.owner.record_end(now, &request, state, actions);
        outcome
    }

    fn refuse(&self, call: CallId, reason: Reason, outcome: Outcome, actions: &mut Vec<Action>) {
        let retry_after = self.owner.retry_after();
        actions.push(Action::Refuse {
            call,
            refusal: Refusal {
                reason,
                outcome,
                retry_after,
            },
        });
    }

    fn is_dead(&self, host: &HostName) -> bool {
        let status = self.members.status(host);
        status.is_some_and(|(_, status)| status == Status::Dead)
    }
}
