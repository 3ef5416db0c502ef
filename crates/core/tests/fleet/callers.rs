//! Callers and the calls that they make.

use super::*;

impl Fleet {
    pub(super) fn call_new(&mut self, at: usize, dated: bool, skew_ms: i64) {
        let random: [u8; 10] = self.rng.random();
        let id = if dated {
            let small = self.rng.random_range(-250..250);
            let born_ms = self.wall_ms().saturating_add_signed(skew_ms + small);
            uuid::Builder::from_unix_timestamp_millis(born_ms, &random)
                .into_uuid()
                .to_string()
        } else {
            format!("{random:02x?}")
        };
        let tells_first = self.rng.random();
        self.requests.push(Request {
            id: id.as_str().into(),
            first_used: None,
            tells_first,
        });
        self.call(at, self.requests.len() - 1);
    }

    pub(super) fn repeat(&mut self, at: usize, request: usize) {
        if self.requests.is_empty() {
            return;
        }
        let request = self.requests.len() - 1 - request % self.requests.len().min(4);
        if self.requests[request].tells_first {
            self.checker.give_up(request);
        }
        let first = self.requests[request].first_used;
        if first.is_some_and(|first| self.now < first + REPEAT_FOR) {
            self.call(at, request);
        }
    }

    pub(super) fn call(&mut self, at: usize, request: usize) {
        let at = at % self.places.len();
        if self.places[at].paused_until > self.now {
            return;
        }
        self.next_caller_call += 1;
        let caller_call = self.next_caller_call;
        let is_first = self.requests[request].first_used.is_none();
        self.requests[request].first_used.get_or_insert(self.now);
        let tells_first = is_first && self.requests[request].tells_first;
        self.checker.called(caller_call, request);
        let arrived = Arrived {
            request,
            caller_call,
            from: None,
        };
        self.arrive(at, arrived, tells_first);
    }

    pub(super) fn arrive(&mut self, at: usize, arrived: Arrived, first_try: bool) {
        let request = self.requests[arrived.request].id.clone();
        let place = &mut self.places[at];
        self.next_call += 1;
        let id = CallId(self.next_call);
        let origin = match arrived.from {
            None => Origin::Caller,
            Some((from, _)) => Origin::Peer(host_name(from)),
        };
        place.calls.insert(id, arrived);
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
            at,
            Event::Call {
                call,
                origin,
                content_key: 1,
            },
        );
    }

    pub(super) fn is_open(&self, at: usize, call: CallId) -> bool {
        self.places[at].calls.contains_key(&call)
    }
}
