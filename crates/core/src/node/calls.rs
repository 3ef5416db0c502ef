//! The way of a call through a node.

use std::time::Instant;

use crate::call::{Call, Outcome, Reason, Refusal};
use crate::ids::{AttemptId, CallId, HostName};
use crate::member::Status;
use crate::node::event::{Action, Origin};
use crate::node::state::Node;
use crate::owner::{Decision, OwnerLocation};
use crate::router::{self, AttemptEvent};

/// A call that another node answers.
#[derive(Debug)]
pub(crate) struct Forwarded {
    first_try: bool,
}

impl Node {
    pub(crate) fn call(
        &mut self,
        now: Instant,
        call: Call,
        origin: &Origin,
        content_key: u64,
        actions: &mut Vec<Action>,
    ) {
        let profile = self.catalog.as_ref().and_then(|c| c.profile(&call.profile));
        if profile.is_none_or(|p| p.idempotent) {
            self.arrive(now, call, actions);
            return;
        }
        match (self.owner.locate(&call.request), origin) {
            (OwnerLocation::Local, _) => self.own(now, call, content_key, actions),
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

    fn own(&mut self, now: Instant, call: Call, content_key: u64, actions: &mut Vec<Action>) {
        match self.owner.decide(now, &call, content_key) {
            Decision::Run => {
                self.owned.begin(call.id, call.request.clone());
                self.route(now, router::Event::Arrive(call), actions);
            }
            Decision::Replay(answer) => actions.push(Action::Replay {
                call: call.id,
                answer,
            }),
            Decision::Refuse(reason, outcome) => self.refuse(call.id, reason, outcome, actions),
        }
    }

    /// Passes a call that may be repeated to the router.
    fn arrive(&mut self, now: Instant, call: Call, actions: &mut Vec<Action>) {
        if !call.first_try {
            self.repeats.insert(call.id);
        }
        self.route(now, router::Event::Arrive(call), actions);
    }

    pub(crate) fn forward_failed(&mut self, call: CallId, sent: bool, actions: &mut Vec<Action>) {
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

    /// A sent call that may not be repeated goes on without its caller.
    pub(crate) fn caller_gone(&mut self, now: Instant, call: CallId, actions: &mut Vec<Action>) {
        self.forwarded.remove(&call);
        if self
            .owned
            .get(call)
            .is_some_and(|owned| owned.sent.is_some())
        {
            return;
        }
        self.route(now, router::Event::CallerGone(call), actions);
    }

    /// Takes note of a proof that a sent attempt did not run.
    pub(crate) fn take_proof(&mut self, attempt: AttemptId, event: AttemptEvent) {
        let AttemptEvent::Failed(failure) = event else {
            return;
        };
        if !failure.proves_not_run() {
            return;
        }
        if let Some(request) = self.owned.unsend(attempt) {
            self.owner.release_send(&request);
        }
    }

    /// Passes an event to the router and takes note of how calls end.
    pub(crate) fn route(&mut self, now: Instant, event: router::Event, actions: &mut Vec<Action>) {
        let mut routed = Vec::new();
        self.router.handle(now, event, &mut routed);
        for action in routed {
            let action = self.routed(now, action, actions);
            actions.push(action);
        }
    }

    fn routed(
        &mut self,
        now: Instant,
        action: router::Action,
        actions: &mut Vec<Action>,
    ) -> Action {
        match action {
            router::Action::Dispatch(dispatch) => Action::Dispatch(dispatch),
            router::Action::Cancel { attempt, server } => Action::Cancel { attempt, server },
            router::Action::Refuse { call, refusal } => {
                let outcome = self.ended(now, call, refusal.outcome, actions);
                Action::Refuse {
                    call,
                    refusal: Refusal { outcome, ..refusal },
                }
            }
            router::Action::End { call, outcome } => {
                let outcome = self.ended(now, call, outcome, actions);
                Action::End { call, outcome }
            }
        }
    }

    /// Records the end of a call and returns what may be said of it.
    fn ended(
        &mut self,
        now: Instant,
        call: CallId,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) -> Outcome {
        if self.repeats.remove(&call) && outcome == Outcome::NotRun {
            return Outcome::Unknown;
        }
        let ended = self.owned.end(call, outcome == Outcome::Completed);
        let Some((request, state, outcome)) = ended else {
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
