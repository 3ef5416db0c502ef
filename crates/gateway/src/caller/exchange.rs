//! Sends a call to servers until one answers or no attempt is left.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use briarbank_core::flow::{Call, CallKind, Fault, Instance, Refusal, TierRank, VersionKey};
use briarbank_core::ids::{ServerName, ServiceName};
use briarbank_core::rendezvous;
use briarbank_net::{HeldBytes, Place};
use http::{Response, StatusCode, Version, request};
use tokio::time::{Instant, timeout_at};

use crate::caller::answer_buffer::{BufferError, collect, into_pieces};
use crate::caller::attempt_guard::{Execution, StartedAnswer, keep_connection};
use crate::caller::body::AnswerBody;
use crate::caller::call_record::CallRecord;
use crate::caller::in_flight::InFlight;
use crate::caller::outcome::{Outcome, means_not_run};
use crate::caller::received::Received;
use crate::caller::request::{Admitted, time_left};
use crate::caller::stream::EventStream;
use crate::dialect::AnswerKind;
use crate::shared::SharedState;

/// Number of attempts per call that may fail before anything is sent.
const UNSENT_ATTEMPTS_MAX: u32 = 4;

/// Delay after which callers may retry a call that no server accepted.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(150);

/// Delay after which callers may retry a call whose servers are all in evacuated zones.
///
/// Operators end evacuations by hand, so that nothing is gained by retries at a higher rate.
const EVACUATED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Returns a hash of a call's host, path, caller and body.
fn identity(head: &request::Parts, admitted: &Admitted, body: &HeldBytes) -> u64 {
    let path = head.uri.path_and_query().map_or("", |path| path.as_str());
    let workspace = admitted.workspace.as_ref().map(|w| w.name.as_str());
    let caller = workspace.or(admitted.head.key.as_deref()).unwrap_or("");
    let fields = [
        head.method.as_str().as_bytes(),
        admitted.route.host.as_bytes(),
        path.as_bytes(),
        caller.as_bytes(),
    ];
    let body = rendezvous::key_of_parts(body.pieces());
    let keys = fields.map(rendezvous::key).into_iter().chain([body]);
    let hashes: Vec<u8> = keys.flat_map(u64::to_le_bytes).collect();
    rendezvous::key(&hashes)
}

/// A call and its attempts so far.
pub(crate) struct Exchange {
    pub(crate) shared: Rc<SharedState>,
    pub(crate) record: CallRecord,
    pub(crate) head: request::Parts,
    pub(crate) admitted: Admitted,
    pub(crate) service: ServiceName,
    /// Urgency, 0 is the most urgent.
    pub(crate) urgency: u8,
    tier_rank: TierRank,
    /// Held until the call cannot be sent again.
    pub(crate) body: Rc<HeldBytes>,
    /// Place of the caller's connection, which holds the answer as well.
    pub(crate) place: Arc<Place>,
    /// Kind by which the call is hedged, `None` if it is not.
    pub(crate) hedge_kind: Option<CallKind>,
    pub(crate) has_hedged: bool,
    /// Hash by which a call that comes again is known, once its body is.
    identity: Option<u64>,
    pub(crate) began_at: Instant,
    pub(crate) deadline: Instant,
    pub(crate) tried: Vec<ServerName>,
    /// When the call was last sent to a server.
    pub(crate) sent_at: Rc<Cell<Instant>>,
    /// Server of a stream that is silent while another one is asked.
    pub(crate) silent_server: Option<ServerName>,
    /// Silent server that counts as an attempt once another one is asked.
    pub(crate) uncounted: Option<Arc<Instance>>,
    unsent_attempts: u32,
    pub(crate) may_have_run: bool,
    pub(crate) last_event: Option<Arc<str>>,
    /// Version at which the stream goes on, once it has begun.
    pub(crate) version: Option<VersionKey>,
    /// Whether the head of the stream that has begun names a media type.
    pub(crate) is_typed: bool,
    /// `None` once the answer keeps it.
    in_flight: Option<InFlight>,
}

impl Exchange {
    pub(crate) fn new(
        shared: &Rc<SharedState>,
        head: request::Parts,
        admitted: Admitted,
        began_at: Instant,
        in_flight: InFlight,
        place: Arc<Place>,
    ) -> Self {
        let workspace_tier = admitted.workspace.as_ref().and_then(|w| w.tier);
        let urgency = admitted.table.urgency(admitted.route.tier, workspace_tier);
        let (random, view) = {
            let mut peers = shared.peers.borrow_mut();
            (peers.random(), peers.view(began_at.into_std()))
        };
        let service = admitted.route.pick_service(random).cloned();
        let service = service.unwrap_or_else(|| "".into());
        let tier = admitted.route.tier;
        let tier_rank = admitted.table.tier_rank(&service, tier);
        Self {
            shared: Rc::clone(shared),
            record: CallRecord::new(
                &admitted,
                urgency,
                view,
                began_at.into_std(),
                &shared.log_lines,
            ),
            service,
            deadline: began_at + time_left(&admitted),
            head,
            admitted,
            urgency,
            tier_rank,
            body: Rc::default(),
            place,
            hedge_kind: None,
            has_hedged: false,
            identity: None,
            began_at,
            tried: Vec::new(),
            sent_at: Rc::new(Cell::new(began_at)),
            silent_server: None,
            uncounted: None,
            unsent_attempts: 0,
            may_have_run: false,
            last_event: None,
            version: None,
            is_typed: false,
            in_flight: Some(in_flight),
        }
    }

    /// Ends the call without a server's answer.
    pub(crate) fn refuse(mut self, outcome: Outcome) -> Response<AnswerBody> {
        self.record.status = outcome.status().as_u16();
        outcome.answer(&self.shared)
    }

    /// Forwards the call and returns its answer.
    pub(crate) async fn answer(mut self, body: HeldBytes) -> Response<AnswerBody> {
        self.identity = Some(identity(&self.head, &self.admitted, &body));
        self.body = Rc::new(body);
        self.record_arrival();
        self.record_hedgeable();
        if self.admitted.route.is_stream() {
            if let Err(outcome) = self.bind_taken_up().await {
                return self.refuse(outcome);
            }
            return match self.start_answer().await {
                Ok(started) if started.head.status.is_success() => {
                    self.release_body();
                    EventStream::answer(self, started).await
                }
                Ok(started) => self.collect_or_refuse(started).await,
                Err(outcome) => self.refuse(outcome),
            };
        }
        // Forwarded if no other server takes the call.
        let mut error: Option<StartedAnswer> = None;
        loop {
            let started = match (self.start_answer().await, error.take()) {
                (Ok(started), earlier) => {
                    if let Some(earlier) = earlier {
                        earlier.guard.record_failure(Fault::Failed);
                    }
                    started
                }
                (Err(_), Some(earlier)) => return self.collect_or_refuse(earlier).await,
                (Err(outcome), None) => return self.refuse(outcome),
            };
            let status = started.head.status;
            if (status.is_server_error() || status == StatusCode::MISDIRECTED_REQUEST)
                && self.may_retry_server_error(Execution::Unknown, &started)
            {
                error = Some(started);
                continue;
            }
            self.release_body();
            match self.collect_answer(started).await {
                Ok(response) => return response,
                Err(should_retry) if should_retry => {}
                Err(_) => {
                    let outcome = self.final_outcome();
                    return self.refuse(outcome);
                }
            }
        }
    }

    /// Drops the body once a server answers a call that may not be sent again.
    pub(crate) fn release_body(&mut self) {
        if !self.has_attempt_left() {
            self.body = Rc::default();
        }
    }

    fn record_arrival(&self) {
        let now = Instant::now();
        let call = self.call_to_dispatch(now);
        let mut dispatcher = self.shared.dispatcher.borrow_mut();
        dispatcher.record_arrival(now.into_std(), &call);
    }

    async fn collect_or_refuse(mut self, started: StartedAnswer) -> Response<AnswerBody> {
        let Ok(response) = self.collect_answer(started).await else {
            let outcome = self.final_outcome();
            return self.refuse(outcome);
        };
        response
    }

    /// Reads a plain answer to its end; an error holds whether to retry.
    async fn collect_answer(
        &mut self,
        mut started: StartedAnswer,
    ) -> Result<Response<AnswerBody>, bool> {
        let is_whole = started.has_own_end();
        let failure_reason = match timeout_at(self.deadline, self.read_whole(&mut started)).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(error)) => Err((error.fault(), error.to_string())),
            Err(_) => Err((Fault::Silent, "answer did not end in time".to_owned())),
        };
        let answer = match failure_reason {
            Ok(answer) => answer,
            Err((fault, failure_reason)) => {
                let instance = Arc::clone(&started.guard.instance);
                started.guard.record_failure(fault);
                self.set_failure_reason(&failure_reason);
                return Err(self.may_retry(Execution::Unknown, &instance));
            }
        };
        let mut head = started.head;
        head.version = Version::HTTP_11;
        if started.answer_head.kind == AnswerKind::Verified && head.status.is_server_error() {
            started.guard.record_server_error(
                &self.shared,
                started.connection,
                &started.answer_head,
            );
        } else {
            let instance = Arc::clone(&started.guard.instance);
            started.guard.record_success(is_whole);
            keep_connection(
                &self.shared,
                &instance,
                started.connection,
                &started.answer_head,
            );
        }
        if means_not_run(head.status) && !self.admitted.route.is_repeatable() {
            // The server did not say that it will never run the call.
            metrics::counter!("briarbank_unproven_refusals_total").increment(1);
            self.may_have_run = true;
            self.set_failure_reason("server's refusal does not prove that the call did not run");
            return Err(false);
        }
        self.shared.dialect.caller_headers(&mut head.headers);
        self.record.status = head.status.as_u16();
        self.record.is_whole = true;
        self.record.first();
        Ok(Response::from_parts(
            head,
            AnswerBody::from(into_pieces(answer, self.in_flight.take())),
        ))
    }

    /// Reads a plain answer to its end, unless that was done before it was chosen.
    async fn read_whole(&self, started: &mut StartedAnswer) -> Result<HeldBytes, BufferError> {
        let received = std::mem::replace(&mut started.received, Received::Nothing);
        if let Received::Whole(answer) = received {
            return Ok(answer);
        }
        let (status, framing) = (started.head.status, started.framing);
        collect(&mut started.body, status, framing, &self.place).await
    }

    pub(crate) fn call_to_dispatch(&self, now: Instant) -> Call {
        let target = Duration::from_millis(u64::from(self.admitted.route.target_ms));
        Call {
            service: self.service.clone(),
            tier_rank: self.tier_rank,
            objective: target.saturating_sub(now - self.began_at),
            time_left: self.deadline - now,
            version: self.version,
            key_version: self.key_version(),
            identity: self.identity,
            prompt: self.admitted.head.prompt.clone(),
            allowed_regions: self.admitted.allowed_regions(),
        }
    }

    pub(crate) fn refusal_outcome(&mut self, refusal: Refusal) -> Outcome {
        self.record.failure_reason = Some(format!("{refusal:?}"));
        if refusal == Refusal::HarmfulPrompt {
            metrics::counter!("briarbank_harmful_calls_refused_total").increment(1);
        }
        if refusal == Refusal::NoServerInRegion {
            metrics::counter!("briarbank_calls_without_region_total").increment(1);
        }
        if self.may_have_run {
            return Outcome::Unknown;
        }
        match refusal {
            Refusal::Busy { retry_after, .. } => {
                // Answers that nobody reads keep their places at servers as well.
                self.shared.admission.relieve();
                Outcome::NotRun(retry_after)
            }
            Refusal::HarmfulPrompt => Outcome::NotRepeatable,
            Refusal::ZonesEvacuated => Outcome::NotRun(EVACUATED_RETRY_AFTER),
            Refusal::NoServer
            | Refusal::NoServerOfVersion
            | Refusal::NoServerInRegion
            | Refusal::RepeatBudget => Outcome::NotRun(REFUSED_RETRY_AFTER),
        }
    }

    /// Returns the outcome of a call without further attempts.
    pub(crate) fn final_outcome(&self) -> Outcome {
        match (self.may_have_run, Instant::now() >= self.deadline) {
            (true, true) => Outcome::TimedOut,
            (true, false) => Outcome::Unknown,
            (false, _) => Outcome::NotRun(REFUSED_RETRY_AFTER),
        }
    }

    /// Counts a failed attempt and returns whether another one is allowed.
    pub(crate) fn may_retry(&mut self, execution: Execution, instance: &Instance) -> bool {
        self.tried.push(instance.id.clone());
        if execution == Execution::NotSent {
            self.unsent_attempts += 1;
            return self.unsent_attempts < UNSENT_ATTEMPTS_MAX;
        }
        self.record.sends += 1;
        if execution == Execution::Unknown {
            self.may_have_run = true;
        }
        let is_allowed = !self.may_have_run || self.admitted.route.is_repeatable();
        if !is_allowed || self.record.sends >= self.admitted.route.attempts_max {
            return false;
        }
        let now = std::time::Instant::now();
        let service = self.service.clone();
        let mut dispatcher = self.shared.dispatcher.borrow_mut();
        let is_in_budget = dispatcher.withdraw_retry(now, &service);
        drop(dispatcher);
        if !is_in_budget {
            self.set_failure_reason("retry budget used up");
        }
        is_in_budget
    }

    fn may_retry_server_error(&mut self, execution: Execution, started: &StartedAnswer) -> bool {
        self.set_failure_reason("server error");
        let instance = Arc::clone(&started.guard.instance);
        let route = &self.admitted.route;
        if !route.is_repeatable() || self.record.sends + 1 >= route.attempts_max {
            return false;
        }
        self.may_retry(execution, &instance)
    }

    /// Sends the call to another service of its route.
    pub(crate) fn set_service(&mut self, service: ServiceName) {
        let tier = self.admitted.route.tier;
        self.tier_rank = self.admitted.table.tier_rank(&service, tier);
        self.service = service;
    }

    pub(crate) fn set_failure_reason(&mut self, text: &str) {
        self.record.failure_reason = Some(text.to_owned());
    }

    /// Returns whether the stream may resume at another server after `event`.
    pub(crate) fn may_resume(&mut self, instance: &Instance, event: Option<Arc<str>>) -> bool {
        if event.is_some() {
            self.last_event = event;
        }
        self.admitted.route.is_repeatable() && self.may_retry(Execution::Unknown, instance)
    }
}
