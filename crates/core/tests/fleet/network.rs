//! What carries out actions: connections, messages and the service.

use super::*;

impl Fleet {
    pub(super) fn carry_out(&mut self, at: usize, action: Action) {
        let incarnation = self.places[at].incarnation;
        match action {
            Action::Dispatch(dispatch) => {
                let delay = self.delay();
                self.queue.push(
                    self.now + delay,
                    Due::Send {
                        at,
                        incarnation,
                        dispatch,
                    },
                );
            }
            Action::Forward { call, to } => self.forward(at, call, &to),
            Action::Send { to, message } => {
                let Some(to) = self.places.iter().position(|p| p.name == to) else {
                    return;
                };
                let from = self.places[at].name.clone();
                let envelope = Envelope {
                    from,
                    address: ([127, 0, 0, 1], 1).into(),
                    incarnation,
                    message,
                };
                let due = Due::Message { at: to, envelope };
                self.transmit(at, to, due);
            }
            Action::Refuse { call, refusal } => {
                self.last_reason = Some(refusal.reason);
                self.end(at, call, refusal.outcome);
            }
            Action::End { call, outcome } => self.end(at, call, outcome),
            Action::Replay { call, answer } => {
                if let Some(arrived) = self.places[at].calls.get(&call) {
                    let id = self.requests[arrived.request].id.as_str().as_bytes();
                    assert_eq!(&answer.body[..], id, "answer of another request");
                }
                self.end(at, call, Outcome::Completed);
            }
            Action::Watch(on) => self.places[at].watches = on,
            Action::Cancel { .. } | Action::Stopped => {}
        }
    }

    pub(super) fn forward(&mut self, at: usize, call: CallId, to: &HostName) {
        let Some(arrived) = self.places[at].calls.get(&call).cloned() else {
            return;
        };
        let Some(to) = self.places.iter().position(|p| p.name == *to) else {
            return;
        };
        let incarnation = self.places[at].incarnation;
        if self.cuts.contains(&(at, to)) && self.rng.random() {
            let refused = Event::ForwardFailed { call, sent: false };
            self.handle(at, refused);
            return;
        }
        let first_try = self.requests[arrived.request].tells_first
            && self.checker.is_only_call(arrived.caller_call);
        let forwarded = Arrived {
            from: Some((at, call)),
            ..arrived
        };
        let due = Due::Forwarded {
            at: to,
            arrived: forwarded,
            call: first_try,
        };
        self.transmit_once(at, to, due);
        let timeout = Due::ForwardTimeout {
            at,
            incarnation,
            call,
        };
        self.queue.push(self.now + FORWARD_TIMEOUT, timeout);
    }

    pub(super) fn end(&mut self, at: usize, call: CallId, outcome: Outcome) {
        let Some(arrived) = self.places[at].calls.remove(&call) else {
            return;
        };
        match arrived.from {
            None => self
                .checker
                .told(arrived.caller_call, arrived.request, outcome),
            Some((to, to_call)) => {
                let reply = Due::Reply {
                    at: to,
                    call: to_call,
                    outcome,
                };
                self.transmit_once(at, to, reply);
            }
        }
    }

    pub(super) fn reply(&mut self, at: usize, call: CallId, outcome: Outcome) {
        if self.is_open(at, call) {
            self.handle(at, Event::ForwardDone(call));
            self.end(at, call, outcome);
        }
    }

    /// Hands an attempt to the connection, after the last check.
    pub(super) fn send(&mut self, at: usize, incarnation: Incarnation, dispatch: &Dispatch) {
        if self.places[at].incarnation != incarnation {
            return;
        }
        let (call, attempt) = (dispatch.call, dispatch.attempt);
        let Some(arrived) = self.places[at].calls.get(&call).cloned() else {
            return;
        };
        let now = self.now;
        let may_send = self.places[at].node.claim_send(now, call, attempt);
        if !may_send {
            self.fail(at, attempt, Failure::NotSent);
            return;
        }
        if self.service_faults && self.rng.random_ratio(1, 10) {
            self.fail(at, attempt, Failure::Full);
            return;
        }
        self.checker.sent(arrived.caller_call, arrived.request);
        let is_slow = self.service_faults && self.rng.random_ratio(1, 6);
        let pause = if is_slow { 4000 } else { 20 };
        let delay = Duration::from_millis(self.rng.random_range(0..pause));
        let run = Due::Run {
            at,
            incarnation,
            attempt,
            request: arrived.request,
        };
        self.queue.push(now + delay, run);
    }

    pub(super) fn fail(&mut self, at: usize, attempt: AttemptId, failure: Failure) {
        let event = AttemptEvent::Failed(failure);
        self.handle(at, Event::Attempt { attempt, event });
    }

    pub(super) fn delay(&mut self) -> Duration {
        Duration::from_millis(self.rng.random_range(1..=self.delay_ms))
    }

    /// Sends a message that may be lost, doubled, delayed and reordered.
    pub(super) fn transmit(&mut self, from: usize, to: usize, due: Due) {
        if self.rng.random_ratio(self.double_percent, 100) {
            let late = self.delay() * 4;
            if !self.cuts.contains(&(from, to)) {
                self.queue.push(self.now + late, due.clone());
            }
        }
        self.transmit_once(from, to, due);
    }

    /// Sends a message that may be lost, delayed and reordered.
    pub(super) fn transmit_once(&mut self, from: usize, to: usize, due: Due) {
        let is_lost = self.rng.random_ratio(self.loss_percent, 100);
        if is_lost || self.cuts.contains(&(from, to)) {
            return;
        }
        let delay = self.delay();
        self.queue.push(self.now + delay, due);
    }
}
