//! Random event histories, and checks of the router's actions in them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use briarbank_core::call::{Dispatch, Failure, Outcome, Reason, Refusal, ServerLoad};
use briarbank_core::catalog::{Catalog, Profile, Server, ServerState};
use briarbank_core::ids::{AttemptId, CallId, ServerName};
use briarbank_core::router::{Action, AttemptEvent, Event, Options};
use proptest::prelude::*;

use crate::harness::{Harness, catalog, fleet, server};

const SERVERS: [&str; 4] = ["s0", "s1", "s2", "s3"];
const SLOTS: u32 = 2;
const PROFILES: [&str; 3] = ["top", "mid", "low"];
const CLASS_LIMIT: usize = 3;
const NODE_LIMIT: usize = 6;
const FAILURES: [Failure; 8] = [
    Failure::NotSent,
    Failure::Leaving,
    Failure::Full,
    Failure::Broken,
    Failure::Silent,
    Failure::Malformed,
    Failure::ServerError,
    Failure::Preempted,
];

/// One step; indices select among the calls or attempts that exist at that time.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    Arrive {
        profile: usize,
        slips: bool,
    },
    ArriveAgain(usize),
    Progress {
        attempt: usize,
        tokens: u32,
    },
    Accepted(usize),
    Silent(usize),
    Done(usize),
    Fail {
        attempt: usize,
        failure: usize,
    },
    LateEvent {
        attempt: usize,
        done: bool,
    },
    CallerGone(usize),
    ServerLeaving(usize),
    Fleet {
        leaving: u8,
        listed: u8,
    },
    Load {
        server: usize,
        running: u32,
        age_ms: u64,
    },
    SharingNodes(usize),
    Idempotent(bool),
    Advance(u64),
}

pub(crate) fn steps(steps_max: usize) -> impl Strategy<Value = Vec<Step>> {
    let pick = any::<usize>;
    let step = prop_oneof![
        10 => (0..3_usize, any::<bool>())
            .prop_map(|(profile, slips)| Step::Arrive { profile, slips }),
        1 => pick().prop_map(Step::ArriveAgain),
        6 => (pick(), 1..40_u32)
            .prop_map(|(attempt, tokens)| Step::Progress { attempt, tokens }),
        2 => pick().prop_map(Step::Accepted),
        2 => pick().prop_map(Step::Silent),
        4 => pick().prop_map(Step::Done),
        4 => (pick(), 0..FAILURES.len())
            .prop_map(|(attempt, failure)| Step::Fail { attempt, failure }),
        2 => (pick(), any::<bool>()).prop_map(|(attempt, done)| Step::LateEvent { attempt, done }),
        1 => pick().prop_map(Step::CallerGone),
        1 => (0..4_usize).prop_map(Step::ServerLeaving),
        1 => (0..16_u8, 0..16_u8)
            .prop_map(|(leaving, listed)| Step::Fleet { leaving, listed }),
        1 => (0..4_usize, 0..9_u32, 0..5_000_u64)
            .prop_map(|(server, running, age_ms)| Step::Load { server, running, age_ms }),
        1 => (1..4_usize).prop_map(Step::SharingNodes),
        1 => any::<bool>().prop_map(Step::Idempotent),
        4 => (0..3_000_u64).prop_map(Step::Advance),
    ];
    prop::collection::vec(step, 1..steps_max)
}

/// Returns the version of a server; each one runs on half of them.
fn version_of(server: &str) -> &'static str {
    let index = SERVERS.iter().position(|name| *name == server);
    if index.is_some_and(|index| index % 2 == 0) {
        "v1"
    } else {
        "v2"
    }
}

fn versioned_server(name: &str) -> Server {
    Server {
        version: version_of(name).into(),
        ..server(name, &["model", "slips"], SLOTS)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptState {
    Open,
    ProvenNotRun,
    MayHaveRun,
    Done,
}

#[derive(Debug)]
struct CallState {
    profile: Profile,
    tokens: u32,
    /// Version of the server that delivered the first token.
    version: Option<&'static str>,
    attempts: Vec<(AttemptId, AttemptState)>,
    ended: bool,
}

impl CallState {
    /// Running attempt, and perhaps a trial.
    fn open_attempts(&self) -> impl Iterator<Item = AttemptId> {
        let is_open = |(_, state): &&(AttemptId, AttemptState)| *state == AttemptState::Open;
        self.attempts.iter().filter(is_open).map(|(id, _)| *id)
    }

    fn is_open(&self, attempt: AttemptId) -> bool {
        self.open_attempts().any(|open| open == attempt)
    }

    fn is_queued(&self) -> bool {
        !self.ended && self.open_attempts().next().is_none()
    }

    fn is_done(&self) -> bool {
        let mut states = self.attempts.iter().map(|(_, state)| *state);
        states.any(|state| state == AttemptState::Done)
    }

    fn provably_not_run(&self) -> bool {
        self.attempts
            .iter()
            .all(|(_, state)| *state == AttemptState::ProvenNotRun)
    }

    fn end_attempt(&mut self, attempt: AttemptId, state: AttemptState) {
        for (id, old) in &mut self.attempts {
            if *id == attempt && *old == AttemptState::Open {
                *old = state;
            }
        }
    }
}

/// A router, and a model of its calls as observed from outside.
pub(crate) struct History {
    harness: Harness,
    catalog: Catalog,
    calls: BTreeMap<CallId, CallState>,
    attempts: BTreeMap<AttemptId, (CallId, ServerName)>,
    leaving_servers: BTreeSet<ServerName>,
    listed: Vec<Server>,
    revision: u64,
}

impl History {
    pub(crate) fn new() -> Self {
        let mut catalog = catalog();
        for profile in &mut catalog.profiles {
            profile.queue_limit = CLASS_LIMIT;
        }
        let options = Options {
            queue_limit: NODE_LIMIT,
            ..Options::default()
        };
        let listed: Vec<Server> = SERVERS.iter().map(|name| versioned_server(name)).collect();
        Self {
            harness: Harness::with_options(options, catalog.clone(), listed.clone()),
            catalog,
            calls: BTreeMap::new(),
            attempts: BTreeMap::new(),
            leaving_servers: BTreeSet::new(),
            listed,
            revision: 1,
        }
    }

    pub(crate) fn step(&mut self, step: &Step) {
        match step {
            Step::Arrive { profile, slips } => self.arrive(*profile, *slips),
            Step::ArriveAgain(pick) => self.arrive_again(*pick),
            Step::Progress { attempt, tokens } => {
                if let Some((id, attempt)) = self.pick_open(*attempt) {
                    self.progress(id, attempt, *tokens);
                }
            }
            Step::Accepted(pick) => self.send_open(*pick, AttemptEvent::Accepted),
            Step::Silent(pick) => self.send_open(*pick, AttemptEvent::Silent),
            Step::Done(pick) => {
                if let Some((id, attempt)) = self.pick_open(*pick) {
                    self.end_attempt(id, attempt, AttemptEvent::Done, AttemptState::Done);
                }
            }
            Step::Fail { attempt, failure } => self.fail(*attempt, FAILURES[*failure]),
            Step::LateEvent { attempt, done } => self.send_late_event(*attempt, *done),
            Step::CallerGone(pick) => self.caller_gone(*pick),
            Step::ServerLeaving(server) => {
                let name = ServerName::from(SERVERS[*server]);
                self.leaving_servers.insert(name.clone());
                self.send(Event::ServerLeaving(name));
            }
            Step::Fleet { leaving, listed } => self.relist(*leaving, *listed),
            Step::Load {
                server,
                running,
                age_ms,
            } => {
                let load = ServerLoad {
                    running: *running,
                    waiting: 0,
                    age_ms: *age_ms,
                };
                let server = SERVERS[*server].into();
                self.send(Event::Load { server, load });
            }
            Step::SharingNodes(nodes) => self.send(Event::SharingNodes(*nodes)),
            Step::Idempotent(idempotent) => {
                self.catalog.profiles[1].idempotent = *idempotent;
                self.send(Event::Catalog(Arc::new(self.catalog.clone())));
            }
            Step::Advance(time_ms) => {
                self.harness.now += Duration::from_millis(*time_ms);
                self.send(Event::Tick);
            }
        }
    }

    /// Completes all running attempts; afterwards every call has its final action.
    pub(crate) fn finish(&mut self) {
        for _ in 0..100 {
            while let Some((id, attempt)) = self.pick_open(0) {
                self.end_attempt(id, attempt, AttemptEvent::Done, AttemptState::Done);
            }
            self.harness.now += Duration::from_secs(1);
            self.send(Event::Tick);
        }
        assert!(self.calls.values().all(|c| c.ended), "{:?}", self.calls);
        assert_eq!(self.harness.router.calls(), 0);
        assert_eq!(self.harness.router.waiting(), 0);
    }

    fn arrive(&mut self, profile: usize, slips: bool) {
        let target = if slips { "slips" } else { "model" };
        let call = self.harness.call(PROFILES[profile], target);
        let state = CallState {
            profile: self.catalog.profiles[profile].clone(),
            tokens: 0,
            version: None,
            attempts: Vec::new(),
            ended: false,
        };
        self.calls.insert(call.id, state);
        self.send_from(Event::Arrive(call.clone()), Some(call.id));
    }

    fn arrive_again(&mut self, pick: usize) {
        // Ends the expired calls; the same id would be a new call after that.
        self.send(Event::Tick);
        let waiting: Vec<_> = self.calls.iter().filter(|(_, c)| c.is_queued()).collect();
        let Some((id, _)) = waiting.get(pick % waiting.len().max(1)) else {
            return;
        };
        let id = **id;
        let mut call = self.harness.call("top", "model");
        call.id = id;
        self.send(Event::Arrive(call));
    }

    fn pick_open(&self, pick: usize) -> Option<(CallId, AttemptId)> {
        let open: Vec<_> = self
            .calls
            .iter()
            .filter(|(_, c)| !c.ended)
            .flat_map(|(id, c)| c.open_attempts().map(|attempt| (*id, attempt)))
            .collect();
        open.get(pick % open.len().max(1)).copied()
    }

    fn send_open(&mut self, pick: usize, event: AttemptEvent) {
        if let Some((_, attempt)) = self.pick_open(pick) {
            self.send(Event::Attempt { attempt, event });
        }
    }

    fn progress(&mut self, id: CallId, attempt: AttemptId, tokens: u32) {
        let (_, server) = &self.attempts[&attempt];
        let version = version_of(server.as_str());
        let call = self.calls.get_mut(&id).expect("known call");
        call.tokens += tokens;
        call.version.get_or_insert(version);
        let event = AttemptEvent::Progress {
            tokens: call.tokens,
        };
        self.send(Event::Attempt { attempt, event });
    }

    fn end_attempt(
        &mut self,
        id: CallId,
        attempt: AttemptId,
        event: AttemptEvent,
        state: AttemptState,
    ) {
        let call = self.calls.get_mut(&id).expect("known call");
        call.end_attempt(attempt, state);
        self.send(Event::Attempt { attempt, event });
    }

    fn fail(&mut self, pick: usize, failure: Failure) {
        let Some((id, attempt)) = self.pick_open(pick) else {
            return;
        };
        let has_tokens = self.calls.get(&id).is_some_and(|c| c.tokens > 0);
        let state = if failure.proves_not_run() && !has_tokens {
            AttemptState::ProvenNotRun
        } else {
            AttemptState::MayHaveRun
        };
        if failure == Failure::Leaving {
            let (_, server) = &self.attempts[&attempt];
            self.leaving_servers.insert(server.clone());
        }
        self.end_attempt(id, attempt, AttemptEvent::Failed(failure), state);
    }

    /// Sends an event of an ended attempt, from which no action may result.
    fn send_late_event(&mut self, pick: usize, done: bool) {
        let ended: Vec<_> = self
            .calls
            .values()
            .flat_map(|c| c.attempts.iter())
            .filter(|(_, state)| *state != AttemptState::Open)
            .map(|(attempt, _)| *attempt)
            .collect();
        let Some(attempt) = ended.get(pick % ended.len().max(1)).copied() else {
            return;
        };
        let event = if done {
            AttemptEvent::Done
        } else {
            AttemptEvent::Failed(Failure::NotSent)
        };
        self.send(Event::Attempt { attempt, event });
    }

    fn caller_gone(&mut self, pick: usize) {
        let live: Vec<_> = self.calls.iter().filter(|(_, c)| !c.ended).collect();
        let Some((id, _)) = live.get(pick % live.len().max(1)) else {
            return;
        };
        let id = **id;
        self.send_from(Event::CallerGone(id), Some(id));
    }

    fn relist(&mut self, leaving: u8, listed: u8) {
        let mut servers = Vec::new();
        for (bit, name) in SERVERS.iter().enumerate() {
            let previous = self.listed.iter().find(|s| s.name.as_str() == *name);
            let was_unavailable = previous.is_none_or(|s| s.state == ServerState::Leaving);
            if listed & (1 << bit) == 0 {
                continue;
            }
            let mut entry = versioned_server(name);
            if leaving & (1 << bit) != 0 {
                entry.state = ServerState::Leaving;
            } else if was_unavailable {
                self.leaving_servers.remove(&entry.name);
            }
            servers.push(entry);
        }
        self.revision += 1;
        self.listed.clone_from(&servers);
        self.send(Event::Fleet(Arc::new(fleet(self.revision, servers))));
    }

    fn send(&mut self, event: Event) {
        self.send_from(event, None);
    }

    fn send_from(&mut self, event: Event, cause: Option<CallId>) {
        let is_caller_gone = matches!(event, Event::CallerGone(_));
        let actions = self.harness.send(event);
        for (index, action) in actions.iter().enumerate() {
            match action {
                Action::Dispatch(dispatch) => self.check_dispatch(dispatch),
                Action::Cancel { attempt, .. } => {
                    let (id, server) = self.attempts[attempt].clone();
                    let cancelled = self.calls.get_mut(&id).expect("known call");
                    assert!(cancelled.is_open(*attempt), "{cancelled:?}");
                    cancelled.end_attempt(*attempt, AttemptState::MayHaveRun);
                    let goes_on = cancelled.open_attempts().next().is_some();
                    let may_end = is_caller_gone || cancelled.is_done();
                    let next = actions.get(index + 1);
                    let follows = match next {
                        Some(Action::Dispatch(next)) => {
                            next.call == id || self.may_preempt(next, id, &server)
                        }
                        Some(Action::End { call, .. }) => may_end && *call == id,
                        _ => false,
                    } || goes_on;
                    assert!(follows, "cancelled without a follow-up: {actions:?}");
                }
                Action::Refuse { call, refusal } => self.check_refusal(*call, *refusal, cause),
                Action::End { call, outcome } => self.check_end(*call, *outcome),
            }
        }
    }

    /// Whether a stream may be preempted: only for a higher tier, and only if it can be resumed.
    fn may_preempt(&self, next: &Dispatch, id: CallId, server: &ServerName) -> bool {
        let victim = &self.calls[&id];
        let is_lower_tier = victim.profile.tier > self.calls[&next.call].profile.tier;
        is_lower_tier && victim.profile.idempotent && victim.tokens > 0 && next.server == *server
    }

    fn check_dispatch(&mut self, dispatch: &Dispatch) {
        let listed = self.listed.iter().find(|s| s.name == dispatch.server);
        let listed = listed.expect("dispatched to a server that is not listed");
        assert_eq!(listed.state, ServerState::Live);
        assert!(
            !self.leaving_servers.contains(&dispatch.server),
            "server is leaving"
        );
        let call = self.calls.get_mut(&dispatch.call).expect("known call");
        if dispatch.trial {
            assert_eq!(call.open_attempts().count(), 1, "{call:?}");
            assert!(call.profile.idempotent, "{call:?}");
        } else {
            assert!(call.is_queued(), "dispatched twice: {call:?}");
        }
        assert!(
            call.profile.idempotent || call.provably_not_run(),
            "{call:?}"
        );
        assert_eq!(dispatch.resume, call.tokens > 0);
        let version = version_of(dispatch.server.as_str());
        assert!(call.version.is_none_or(|v| v == version), "{call:?}");
        assert_eq!(dispatch.tier, call.profile.tier);
        call.attempts.push((dispatch.attempt, AttemptState::Open));
        let entry = (dispatch.call, dispatch.server.clone());
        assert!(self.attempts.insert(dispatch.attempt, entry).is_none());
    }

    fn check_refusal(&mut self, id: CallId, refusal: Refusal, cause: Option<CallId>) {
        if refusal.reason == Reason::QueueFull {
            self.check_shed(id, cause);
        }
        assert!(refusal.retry_after >= Duration::from_secs(1));
        self.check_end(id, refusal.outcome);
    }

    /// No call is shed for one of a lower tier.
    fn check_shed(&self, id: CallId, cause: Option<CallId>) {
        let shed = &self.calls[&id].profile;
        if let Some(cause) = cause {
            assert!(shed.tier >= self.calls[&cause].profile.tier);
        }
        let waiting = || self.calls.values().filter(|c| c.is_queued());
        let class = waiting().filter(|c| c.profile.name == shed.name).count();
        let lowest = waiting().all(|c| c.profile.tier <= shed.tier);
        assert!(class > CLASS_LIMIT || lowest, "shed {shed:?}");
    }

    fn check_end(&mut self, id: CallId, outcome: Outcome) {
        let call = self.calls.get_mut(&id).expect("known call");
        assert!(!call.ended, "ended twice: {call:?}");
        assert_eq!(call.open_attempts().next(), None, "{call:?}");
        call.ended = true;
        let done = call.is_done();
        match outcome {
            Outcome::Completed => assert!(done, "{call:?}"),
            Outcome::NotRun => assert!(call.provably_not_run(), "{call:?}"),
            Outcome::Unknown => assert!(!call.provably_not_run(), "{call:?}"),
        }
    }
}
