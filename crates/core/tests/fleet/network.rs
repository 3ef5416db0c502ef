//! Execution of node actions: connections, messages and the service.

use super::*;

impl Fleet {
    pub(super) fn execute(&mut self, host: usize, action: Action) {
        let incarnation = self.hosts[host].incarnation;
        match action {
            Action::Dispatch(dispatch) => {
                let delay = self.random_delay();
                self.queue.push(
                    self.now + delay,
                    Scheduled::Send {
                        host,
                        incarnation,
                        dispatch,
                    },
                );
            }
            Action::Forward { call, to } => self.forward_call(host, call, &to),
            Action::Send { to, message } => {
                let Some(to) = self.hosts.iter().position(|h| h.name == to) else {
                    return;
                };
                let from = self.hosts[host].name.clone();
                let envelope = Envelope {
                    from,
                    address: ([127, 0, 0, 1], 1).into(),
                    incarnation,
                    message,
                };
                let scheduled = Scheduled::Message { to, envelope };
                self.transmit(host, to, scheduled);
            }
            Action::Refuse { call, refusal } => {
                self.last_reason = Some(refusal.reason);
                self.end_call(host, call, refusal.outcome);
            }
            Action::End { call, outcome } => self.end_call(host, call, outcome),
            Action::Replay { call, answer } => {
                if let Some(incoming) = self.hosts[host].calls.get(&call) {
                    let id = self.requests[incoming.request].id.as_str().as_bytes();
                    assert_eq!(&answer.body[..], id, "answer of another request");
                }
                self.end_call(host, call, Outcome::Completed);
            }
            Action::Watch(on) => self.hosts[host].watches_platform = on,
            Action::Cancel { .. } | Action::Stopped => {}
        }
    }

    pub(super) fn forward_call(&mut self, host: usize, call: CallId, to: &HostName) {
        let Some(incoming) = self.hosts[host].calls.get(&call).cloned() else {
            return;
        };
        let Some(to) = self.hosts.iter().position(|h| h.name == *to) else {
            return;
        };
        let incarnation = self.hosts[host].incarnation;
        if self.cut_links.contains(&(host, to)) && self.rng.random() {
            let refused = Event::ForwardFailed { call, sent: false };
            self.handle(host, refused);
            return;
        }
        let first_try = self.requests[incoming.request].marks_first_try
            && self.checker.is_only_call(incoming.caller_call);
        let forwarded = IncomingCall {
            from: Some((host, call)),
            ..incoming
        };
        let scheduled = Scheduled::Forwarded {
            to,
            incoming: forwarded,
            first_try,
        };
        self.transmit_once(host, to, scheduled);
        let timeout = Scheduled::ForwardTimeout {
            host,
            incarnation,
            call,
        };
        self.queue.push(self.now + FORWARD_TIMEOUT, timeout);
    }

    pub(super) fn end_call(&mut self, host: usize, call: CallId, outcome: Outcome) {
        let Some(incoming) = self.hosts[host].calls.remove(&call) else {
            return;
        };
        match incoming.from {
            None => self
                .checker
                .record_answer(incoming.caller_call, incoming.request, outcome),
            Some((to, to_call)) => {
                let reply = Scheduled::Reply {
                    to,
                    call: to_call,
                    outcome,
                };
                self.transmit_once(host, to, reply);
            }
        }
    }

    pub(super) fn receive_reply(&mut self, host: usize, call: CallId, outcome: Outcome) {
        if self.is_open(host, call) {
            self.handle(host, Event::ForwardDone(call));
            self.end_call(host, call, outcome);
        }
    }

    /// Hands an attempt to the connection if the node's last check allows it.
    pub(super) fn send_attempt(
        &mut self,
        host: usize,
        incarnation: Incarnation,
        dispatch: &Dispatch,
    ) {
        if self.hosts[host].incarnation != incarnation {
            return;
        }
        let (call, attempt) = (dispatch.call, dispatch.attempt);
        let Some(incoming) = self.hosts[host].calls.get(&call).cloned() else {
            return;
        };
        let now = self.now;
        let may_send = self.hosts[host].node.claim_send(now, call, attempt);
        if !may_send {
            self.fail_attempt(host, attempt, Failure::NotSent);
            return;
        }
        if self.service_faults && self.rng.random_ratio(1, 10) {
            self.fail_attempt(host, attempt, Failure::Full);
            return;
        }
        self.checker
            .record_send(incoming.caller_call, incoming.request);
        let is_slow = self.service_faults && self.rng.random_ratio(1, 6);
        let pause = if is_slow { 4000 } else { 20 };
        let delay = Duration::from_millis(self.rng.random_range(0..pause));
        let run = Scheduled::Run {
            host,
            incarnation,
            attempt,
            request: incoming.request,
        };
        self.queue.push(now + delay, run);
    }

    pub(super) fn fail_attempt(&mut self, host: usize, attempt: AttemptId, failure: Failure) {
        let event = AttemptEvent::Failed(failure);
        self.handle(host, Event::Attempt { attempt, event });
    }

    pub(super) fn random_delay(&mut self) -> Duration {
        Duration::from_millis(self.rng.random_range(1..=self.delay_ms))
    }

    /// Sends a message that may be lost, duplicated, delayed and reordered.
    pub(super) fn transmit(&mut self, from: usize, to: usize, scheduled: Scheduled) {
        if self.rng.random_ratio(self.duplicate_percent, 100) {
            let late = self.random_delay() * 4;
            if !self.cut_links.contains(&(from, to)) {
                self.queue.push(self.now + late, scheduled.clone());
            }
        }
        self.transmit_once(from, to, scheduled);
    }

    /// Sends a message that may be lost, delayed and reordered.
    pub(super) fn transmit_once(&mut self, from: usize, to: usize, scheduled: Scheduled) {
        let is_lost = self.rng.random_ratio(self.loss_percent, 100);
        if is_lost || self.cut_links.contains(&(from, to)) {
            return;
        }
        let delay = self.random_delay();
        self.queue.push(self.now + delay, scheduled);
    }
}
