//! Admission checks and failure switches of a backend server.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::{HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::Deserialize;
use tokio::sync::watch;

use super::answer_swap::{AnswerSwap, Identity};
use super::control::{locked, merge};
use super::fencing::Fencing;
use super::lagged_load::LaggedLoad;
use super::request::header;
use super::switches::{ReportedLoad, Switches};
use crate::error::Error;
use crate::http::{Body, Connection, Port, Reply, json, read_body, status};

/// Failure switches, fencing check and load report of a backend server.
pub(crate) struct Gate {
    switches: Mutex<Switches>,
    frozen: watch::Sender<bool>,
    /// Whether a switch affects single tokens; avoids a lock for each token.
    token_faults: AtomicBool,
    port: Arc<Port>,
    answer_swap: AnswerSwap,
    fencing: Fencing,
    load: LaggedLoad,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct CrashRequest {
    down_ms: Option<u64>,
}

impl Gate {
    pub(crate) fn new(port: Arc<Port>, load_lag: Duration) -> Self {
        Self {
            switches: Mutex::new(Switches::default()),
            frozen: watch::Sender::new(false),
            token_faults: AtomicBool::new(false),
            port,
            answer_swap: AnswerSwap::default(),
            fencing: Fencing::default(),
            load: LaggedLoad::new(load_lag),
        }
    }

    /// Returns the current switches.
    pub(crate) fn switches(&self) -> Switches {
        Switches {
            cross_answers: self.answer_swap.is_armed(),
            ..locked(&self.switches).clone()
        }
    }

    /// Waits while the server is frozen.
    pub(crate) async fn wait_while_frozen(&self) {
        let mut frozen = self.frozen.subscribe();
        // The gate owns the sender, so the wait cannot fail.
        let _ = frozen.wait_for(|frozen| !frozen).await;
    }

    /// Returns the refusal of a call, or `None` if the call may run.
    pub(crate) async fn refusal<B>(&self, request: &Request<B>) -> Option<Response<Body>> {
        self.wait_while_frozen().await;
        let switches = self.switches();
        if switches.leaving {
            return Some(not_run(StatusCode::SERVICE_UNAVAILABLE, "leaving"));
        }
        let number = header(request, "briarbank-fencing").and_then(|n| n.parse().ok());
        let is_outdated = number.is_some_and(|n| !self.fencing.observe(n));
        (is_outdated && switches.checks_fencing).then(|| not_run(StatusCode::CONFLICT, "fencing"))
    }

    /// Returns the identity to answer with: the call's own unless swapped.
    pub(crate) async fn answer_identity(&self, own: Identity) -> Identity {
        self.answer_swap.swap_answers(own).await
    }

    /// Waits for the delay that the switch `late_ms` sets.
    pub(crate) async fn delay_answer(&self) {
        let delay = Duration::from_millis(self.switches().late_ms);
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
    }

    /// Consumes one malformed event and returns whether one was pending.
    pub(crate) fn take_malformed_event(&self) -> bool {
        if !self.token_faults.load(Ordering::Relaxed) {
            return false;
        }
        let mut switches = locked(&self.switches);
        let malformed = switches.malformed_events > 0;
        switches.malformed_events = switches.malformed_events.saturating_sub(1);
        malformed
    }

    /// Returns whether the answer breaks off after this many tokens.
    ///
    /// Triggers a crash when the count reaches the switch `crash_after_tokens`.
    pub(crate) fn breaks_at(&self, tokens: u32) -> bool {
        if !self.token_faults.load(Ordering::Relaxed) {
            return false;
        }
        let mut switches = locked(&self.switches);
        if switches.crash_after_tokens.is_some_and(|n| n <= tokens) {
            switches.crash_after_tokens = None;
            self.port
                .crash(Duration::from_millis(switches.crash_down_ms));
            return true;
        }
        if switches.cut_after_tokens.is_some_and(|n| n <= tokens) {
            switches.cut_after_tokens = None;
            return true;
        }
        false
    }

    /// Adds the headers that every answer carries.
    ///
    /// An attempt id that is already present, as in a swapped answer, stays.
    pub(crate) fn add_headers(
        &self,
        response: &mut Response<Body>,
        attempt: &str,
        running: u32,
        waiting: u32,
    ) {
        if let Ok(attempt) = HeaderValue::from_str(attempt) {
            let headers = response.headers_mut();
            headers.entry("briarbank-attempt").or_insert(attempt);
        }
        let switches = self.switches();
        let load = switches
            .false_load
            .unwrap_or_else(|| self.load.report(running, waiting));
        let ReportedLoad {
            running,
            waiting,
            age_ms,
        } = load;
        let text = format!("running={running},waiting={waiting},age_ms={age_ms}");
        let headers = response.headers_mut();
        if let Ok(value) = HeaderValue::try_from(text) {
            headers.insert("briarbank-load", value);
        }
        if switches.leaving {
            headers.insert(
                "briarbank-server-state",
                HeaderValue::from_static("leaving"),
            );
        }
    }

    /// Handles a request under `/control`; returns `None` for unknown paths.
    pub(crate) async fn handle_control(
        &self,
        request: Request<Incoming>,
        connection: &Connection,
    ) -> Option<Reply> {
        connection.exempt_from_silence();
        let path = request.uri().path().to_owned();
        match (request.method(), &*path) {
            (&Method::POST, "/control") => Some(self.update_switches(request).await),
            (&Method::POST, "/control/silence") => {
                self.port.silence();
                Some(Ok(status(StatusCode::OK)))
            }
            (&Method::POST, "/control/crash") => Some(self.crash(request).await),
            _ => None,
        }
    }

    async fn update_switches(&self, request: Request<Incoming>) -> Reply {
        let patch = read_body(request.into_body()).await?;
        let switches = {
            let mut current = locked(&self.switches);
            current.cross_answers = self.answer_swap.is_armed();
            *current = merge(&*current, &patch)?;
            current.clone()
        };
        self.answer_swap.set_armed(switches.cross_answers);
        self.frozen.send_replace(switches.frozen);
        self.token_faults
            .store(switches.has_token_faults(), Ordering::Relaxed);
        json(StatusCode::OK, &switches)
    }

    async fn crash(&self, request: Request<Incoming>) -> Reply {
        let body = read_body(request.into_body()).await?;
        let crash_request: CrashRequest = if body.is_empty() {
            CrashRequest::default()
        } else {
            serde_json::from_slice(&body).map_err(Error::InvalidJson)?
        };
        let down_ms = crash_request
            .down_ms
            .unwrap_or(self.switches().crash_down_ms);
        self.port.crash(Duration::from_millis(down_ms));
        Ok(status(StatusCode::OK))
    }
}

/// Creates a refusal which states that the call did not run.
pub(crate) fn not_run(code: StatusCode, reason: &'static str) -> Response<Body> {
    let mut response = status(code);
    response
        .headers_mut()
        .insert("briarbank-not-run", HeaderValue::from_static(reason));
    response
}
