//! Test harness of the router, with builders of configuration and calls.

use std::sync::Arc;
use std::time::{Duration, Instant};

use briarbank_core::call::{Call, Dispatch, Refusal};
use briarbank_core::catalog::{
    Catalog, Fleet, Profile, Server, ServerState, Target, TargetKind, Workspace,
};
use briarbank_core::ids::{AttemptId, CallId, Incarnation, Revision};
use briarbank_core::router::{Action, AttemptEvent, Event, Options, Router};

pub(crate) fn profile(name: &str, tier: u8, idempotent: bool) -> Profile {
    Profile {
        name: name.into(),
        tier,
        idempotent,
        first_token_ms: 1_000,
        between_tokens_ms: 50,
        whole_ms: 10_000,
        share_ratio: 0.1,
        queue_limit: 8,
    }
}

/// Profiles `top` (tier 0, not idempotent), `mid` (2) and `low` (5).
pub(crate) fn catalog() -> Catalog {
    let workspace = |name: &str, weight| Workspace {
        name: name.into(),
        weight,
        in_flight_limit: 1_000,
    };
    let target = |name: &str, kind| Target {
        name: name.into(),
        kind,
    };
    Catalog {
        revision: Revision(1),
        profiles: vec![
            profile("top", 0, false),
            profile("mid", 2, true),
            profile("low", 5, true),
        ],
        workspaces: vec![workspace("a", 1.0), workspace("b", 2.0)],
        targets: vec![
            target("model", TargetKind::Model),
            target("slips", TargetKind::Service),
        ],
        retired_hosts_revision: Revision(0),
    }
}

pub(crate) fn server(name: &str, targets: &[&str], slots: u32) -> Server {
    Server {
        name: name.into(),
        zone: "recife".into(),
        address: ([127, 0, 0, 1], 1).into(),
        targets: targets.iter().map(|t| (*t).into()).collect(),
        slots,
        version: "".into(),
        checks_fencing: false,
        state: ServerState::Live,
    }
}

pub(crate) fn fleet(revision: u64, servers: Vec<Server>) -> Fleet {
    Fleet {
        revision: Revision(revision),
        servers,
    }
}

/// A router with a simulated clock.
pub(crate) struct Harness {
    pub(crate) router: Router,
    pub(crate) now: Instant,
    last_id: u64,
}

impl Harness {
    pub(crate) fn new(catalog: Catalog, servers: Vec<Server>) -> Self {
        Self::with_options(Options::default(), catalog, servers)
    }

    pub(crate) fn with_options(options: Options, catalog: Catalog, servers: Vec<Server>) -> Self {
        let mut harness = Self {
            router: Router::new(options, Incarnation(1), 7),
            now: Instant::now(),
            last_id: 0,
        };
        harness.send(Event::Catalog(Arc::new(catalog)));
        harness.send(Event::Fleet(Arc::new(fleet(1, servers))));
        harness
    }

    pub(crate) fn send(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        actions
    }

    pub(crate) fn advance(&mut self, time: Duration) -> Vec<Action> {
        self.now += time;
        self.send(Event::Tick)
    }

    pub(crate) fn call(&mut self, profile: &str, target: &str) -> Call {
        self.last_id += 1;
        Call {
            id: CallId(self.last_id),
            request: format!("r{}", self.last_id).as_str().into(),
            profile: profile.into(),
            workspace: "a".into(),
            target: target.into(),
            prefix_key: 0,
            max_tokens: if target == "slips" { 0 } else { 200 },
            received: self.now,
            first_try: true,
        }
    }

    pub(crate) fn arrive(&mut self, profile: &str, target: &str) -> (CallId, Vec<Action>) {
        let call = self.call(profile, target);
        let id = call.id;
        (id, self.send(Event::Arrive(call)))
    }

    pub(crate) fn send_attempt(&mut self, attempt: AttemptId, event: AttemptEvent) -> Vec<Action> {
        self.send(Event::Attempt { attempt, event })
    }

    /// Runs one stream of `tokens`, the first after `first` and the others `between` apart.
    pub(crate) fn run_stream(
        &mut self,
        profile: &str,
        first: Duration,
        between: Duration,
        tokens: u32,
    ) {
        let (_, actions) = self.arrive(profile, "model");
        let attempt = only_dispatch(&actions).attempt;
        self.now += first;
        for done in 1..=tokens {
            self.send_attempt(attempt, AttemptEvent::Progress { tokens: done });
            self.now += between;
        }
        self.send_attempt(attempt, AttemptEvent::Done);
    }
}

pub(crate) fn dispatches(actions: &[Action]) -> Vec<&Dispatch> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Dispatch(dispatch) => Some(dispatch),
            _ => None,
        })
        .collect()
}

pub(crate) fn only_dispatch(actions: &[Action]) -> Dispatch {
    let all = dispatches(actions);
    assert_eq!(all.len(), 1, "{actions:?}");
    all[0].clone()
}

pub(crate) fn refusals(actions: &[Action]) -> Vec<(CallId, Refusal)> {
    let refusal = |action: &Action| match action {
        Action::Refuse { call, refusal } => Some((*call, *refusal)),
        _ => None,
    };
    actions.iter().filter_map(refusal).collect()
}
