//! Callers and the calls that they make.

use super::*;

impl Fleet {
    pub(super) fn send_new_request(&mut self, host: usize, v7: bool, skew_ms: i64) {
        let random: [u8; 10] = self.rng.random();
        let id = if v7 {
            let small = self.rng.random_range(-250..250);
            let created_ms = self.wall_ms().saturating_add_signed(skew_ms + small);
            uuid::Builder::from_unix_timestamp_millis(created_ms, &random)
                .into_uuid()
                .to_string()
        } else {
            format!("{random:02x?}")
        };
        let marks_first_try = self.rng.random();
        self.requests.push(Request {
            id: id.as_str().into(),
            first_used: None,
            marks_first_try,
        });
        self.send_call(host, self.requests.len() - 1);
    }

    pub(super) fn repeat_request(&mut self, host: usize, request: usize) {
        if self.requests.is_empty() {
            return;
        }
        let request = self.requests.len() - 1 - request % self.requests.len().min(4);
        if self.requests[request].marks_first_try {
            self.checker.close_calls(request);
        }
        let first = self.requests[request].first_used;
        if first.is_some_and(|first| self.now < first + REPEAT_WINDOW) {
            self.send_call(host, request);
        }
    }

    pub(super) fn send_call(&mut self, host: usize, request: usize) {
        let host = host % self.hosts.len();
        if self.hosts[host].paused_until > self.now {
            return;
        }
        self.next_caller_call += 1;
        let caller_call = self.next_caller_call;
        let is_first = self.requests[request].first_used.is_none();
        self.requests[request].first_used.get_or_insert(self.now);
        let marks_first_try = is_first && self.requests[request].marks_first_try;
        self.checker.record_call(caller_call, request);
        let incoming = IncomingCall {
            request,
            caller_call,
            from: None,
        };
        self.receive_call(host, incoming, marks_first_try);
    }

    pub(super) fn receive_call(&mut self, host: usize, incoming: IncomingCall, first_try: bool) {
        let request = self.requests[incoming.request].id.clone();
        let sim_host = &mut self.hosts[host];
        self.next_call += 1;
        let id = CallId(self.next_call);
        let origin = match incoming.from {
            None => Origin::Caller,
            Some((from, _)) => Origin::Peer(host_name(from)),
        };
        sim_host.calls.insert(id, incoming);
        let call = Call {
            id,
            request,
            profile: "slips".into(),
            workspace: "desk".into(),
            target: "slips".into(),
            prefix_key: 0,
            max_tokens: 0,
            received: self.now,
            first_try,
        };
        self.handle(
            host,
            Event::Call {
                call,
                origin,
                content_key: 1,
            },
        );
    }

    pub(super) fn is_open(&self, host: usize, call: CallId) -> bool {
        self.hosts[host].calls.contains_key(&call)
    }
}
