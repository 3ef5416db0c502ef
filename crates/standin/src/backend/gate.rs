//! Checks before a call runs, and the failure switches.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::{HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::Deserialize;
use tokio::sync::watch;

use super::control::{locked, merge};
use super::crossing::{Crossing, Identity};
use super::fencing::Fencing;
use super::load::LoadReport;
use super::request::header;
use super::switches::{ReportedLoad, Switches};
use crate::error::Error;
use crate::http::{Body, Line, Port, Reply, json, read, status};

/// Front of a backend server: switches, fencing, load report.
pub(crate) struct Gate {
    switches: Mutex<Switches>,
    frozen: watch::Sender<bool>,
    /// Whether a switch bears on single tokens; read for each of them.
    token_faults: AtomicBool,
    port: Arc<Port>,
    crossing: Crossing,
    fencing: Fencing,
    load: LoadReport,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct CrashOrder {
    down_ms: Option<u64>,
}

impl Gate {
    pub(crate) fn new(port: Arc<Port>, load_lag: Duration) -> Self {
        Self {
            switches: Mutex::new(Switches::default()),
            frozen: watch::Sender::new(false),
            token_faults: AtomicBool::new(false),
            port,
            crossing: Crossing::default(),
            fencing: Fencing::default(),
            load: LoadReport::new(load_lag),
        }
    }

    /// The switches as they are now.
    pub(crate) fn switches(&self) -> Switches {
        Switches {
            cross_answers: self.crossing.is_armed(),
            ..locked(&self.switches).clone()
        }
    }

    /// Waits while the server is frozen.
    pub(crate) async fn thawed(&self) {
        let mut frozen = self.frozen.subscribe();
        // The sender lives as long as the gate, so the wait can't fail.
        let _ = frozen.wait_for(|frozen| !frozen).await;
    }

    /// The refusal of a call that won't run, if there is one.
    pub(crate) async fn refusal<B>(&self, request: &Request<B>) -> Option<Response<Body>> {
        self.thawed().await;
        let switches = self.switches();
        if switches.leaving {
            return Some(not_run(StatusCode::SERVICE_UNAVAILABLE, "leaving"));
        }
        let number = header(request, "briarbank-fencing").and_then(|n| n.parse().ok());
        let fenced = number.is_some_and(|n| !self.fencing.observe(n));
        (fenced && switches.checks_fencing).then(|| not_run(StatusCode::CONFLICT, "fencing"))
    }

    /// Identity of the answer: the call's own unless it is crossed.
    pub(crate) async fn identity(&self, own: Identity) -> Identity {
        self.crossing.exchange(own).await
    }

    /// Waits as long as answers are to be late.
    pub(crate) async fn late(&self) {
        let late = Duration::from_millis(self.switches().late_ms);
        if !late.is_zero() {
            tokio::time::sleep(late).await;
        }
    }

    /// Whether the next event is to be malformed.
    pub(crate) fn takes_malformed(&self) -> bool {
        if !self.token_faults.load(Ordering::Relaxed) {
            return false;
        }
        let mut switches = locked(&self.switches);
        let malformed = switches.malformed_events > 0;
        switches.malformed_events = switches.malformed_events.saturating_sub(1);
        malformed
    }

    /// Whether the answer breaks off at this many tokens; also crashes if set so.
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

    /// Adds the headers that each answer carries.
    ///
    /// An answer that carries an attempt id already, as a crossed one, keeps it.
    pub(crate) fn stamp(
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
            .unwrap_or_else(|| self.load.read(running, waiting));
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

    /// Answers requests below `/control`, `None` for paths it doesn't know.
    pub(crate) async fn control(&self, request: Request<Incoming>, line: &Line) -> Option<Reply> {
        line.exempt();
        let path = request.uri().path().to_owned();
        match (request.method(), &*path) {
            (&Method::POST, "/control") => Some(self.switch(request).await),
            (&Method::POST, "/control/silence") => {
                self.port.silence();
                Some(Ok(status(StatusCode::OK)))
            }
            (&Method::POST, "/control/crash") => Some(self.crash(request).await),
            _ => None,
        }
    }

    async fn switch(&self, request: Request<Incoming>) -> Reply {
        let patch = read(request.into_body()).await?;
        let switches = {
            let mut current = locked(&self.switches);
            current.cross_answers = self.crossing.is_armed();
            *current = merge(&*current, &patch)?;
            current.clone()
        };
        self.crossing.arm(switches.cross_answers);
        self.frozen.send_replace(switches.frozen);
        self.token_faults
            .store(switches.has_token_faults(), Ordering::Relaxed);
        json(StatusCode::OK, &switches)
    }

    async fn crash(&self, request: Request<Incoming>) -> Reply {
        let body = read(request.into_body()).await?;
        let order: CrashOrder = if body.is_empty() {
            CrashOrder::default()
        } else {
            serde_json::from_slice(&body).map_err(Error::InvalidJson)?
        };
        let down_ms = order.down_ms.unwrap_or(self.switches().crash_down_ms);
        self.port.crash(Duration::from_millis(down_ms));
        Ok(status(StatusCode::OK))
    }
}

/// A refusal that states that the call did not run.
pub(crate) fn not_run(code: StatusCode, reason: &'static str) -> Response<Body> {
    let mut response = status(code);
    response
        .headers_mut()
        .insert("briarbank-not-run", HeaderValue::from_static(reason));
    response
}
