//! Requests to the platform stand-in.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use briarbank_core::ids::Revision;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::Serialize;
use tokio::sync::watch;
use tokio::time::Instant;

use super::control::PlatformSwitches;
use super::rate::RateLimit;
use super::values::{Value, Values};
use crate::backend::{Query, header, locked, merge};
use crate::error::Error;
use crate::http::{Body, Endpoint, Line, Reply, full, json, read, status};

/// Longest wait of a watch.
const WAIT_LIMIT: Duration = Duration::from_mins(1);
/// Most readers that are counted by name.
const READER_LIMIT: usize = 1_000;

/// Counters that `GET /control/state` tells.
#[derive(Clone, Debug, Default, Serialize)]
struct Counters {
    calls: u64,
    refused: u64,
    waiting: u64,
    readers: BTreeMap<Arc<str>, u64>,
    revisions: BTreeMap<Arc<str>, Revision>,
    switches: PlatformSwitches,
}

#[derive(Debug)]
struct State {
    values: Values,
    switches: PlatformSwitches,
    rate: RateLimit,
    counters: Counters,
}

/// The platform's port.
#[derive(Debug)]
pub(crate) struct PlatformEndpoint {
    state: std::sync::Mutex<State>,
    changed: watch::Sender<u64>,
}

/// What a read finds.
enum Found {
    Value(Value),
    Down,
    Unknown,
    NotNewer,
}

impl PlatformEndpoint {
    pub(crate) fn new(rate_per_s: u32) -> Arc<Self> {
        let state = State {
            values: Values::default(),
            switches: PlatformSwitches::default(),
            rate: RateLimit::new(rate_per_s, Instant::now()),
            counters: Counters::default(),
        };
        Arc::new(Self {
            state: std::sync::Mutex::new(state),
            changed: watch::Sender::new(0),
        })
    }

    fn admits(&self, reader: &str) -> bool {
        let mut state = locked(&self.state);
        state.counters.calls += 1;
        let readers = &mut state.counters.readers;
        if let Some(count) = readers.get_mut(reader) {
            *count += 1;
        } else if readers.len() < READER_LIMIT {
            readers.insert(Arc::from(reader), 1);
        }
        let admitted = state.rate.admits(Instant::now());
        if !admitted {
            state.counters.refused += 1;
        }
        admitted
    }

    fn find(&self, key: &str, reader: &str, after: Option<Revision>) -> Found {
        let state = locked(&self.state);
        if state.switches.down {
            return Found::Down;
        }
        let bound = state.switches.bound(key, reader);
        match state.values.get(key, bound) {
            Some(value) if after.is_some_and(|a| value.revision <= a) => Found::NotNewer,
            Some(value) => Found::Value(value),
            None if after.is_some() => Found::NotNewer,
            None => Found::Unknown,
        }
    }

    fn is_cut(&self, reader: &str) -> bool {
        locked(&self.state).switches.cuts(reader)
    }

    /// Waits as long as the reader is cut off, then closes its connection.
    async fn hold_cut(&self, reader: &str) -> Result<(), Error> {
        let mut changes = self.changed.subscribe();
        if !self.is_cut(reader) {
            return Ok(());
        }
        while self.is_cut(reader) {
            if changes.changed().await.is_err() {
                break;
            }
        }
        Err(Error::Cut)
    }

    async fn get(&self, key: &str, request: &Request<Incoming>) -> Reply {
        let reader = header(request, "briarbank-reader").unwrap_or("").to_owned();
        self.hold_cut(&reader).await?;
        if !self.admits(&reader) {
            return Ok(status(StatusCode::TOO_MANY_REQUESTS));
        }
        let query = Query::of(request.uri());
        let after = query.number("after").map(Revision);
        let wait = Duration::from_millis(query.number("wait_ms").unwrap_or(0)).min(WAIT_LIMIT);
        let found = self.watch(key, &reader, after, wait).await;
        self.hold_cut(&reader).await?;
        Ok(answer(found))
    }

    async fn watch(
        &self,
        key: &str,
        reader: &str,
        after: Option<Revision>,
        wait: Duration,
    ) -> Found {
        let mut changes = self.changed.subscribe();
        let first = self.find(key, reader, after);
        if wait.is_zero() || !matches!(first, Found::NotNewer) {
            return first;
        }
        let _waiting = Waiting::new(self);
        let newer = async {
            while changes.changed().await.is_ok() {
                let found = self.find(key, reader, after);
                if !matches!(found, Found::NotNewer) {
                    return found;
                }
            }
            Found::NotNewer
        };
        tokio::time::timeout(wait, newer)
            .await
            .unwrap_or(Found::NotNewer)
    }

    async fn put(&self, key: &str, request: Request<Incoming>) -> Reply {
        let revision = Query::of(request.uri()).number("revision").map(Revision);
        let body = read(request.into_body()).await?;
        let put = locked(&self.state).values.put(key, revision, body);
        let Some(revision) = put else {
            return Ok(status(StatusCode::CONFLICT));
        };
        self.announce();
        let mut response = status(StatusCode::OK);
        set_revision(&mut response, revision);
        Ok(response)
    }

    async fn switch(&self, request: Request<Incoming>) -> Reply {
        let patch = read(request.into_body()).await?;
        let switches = {
            let mut state = locked(&self.state);
            state.switches = merge(&state.switches, &patch)?;
            state.switches.clone()
        };
        self.announce();
        json(StatusCode::OK, &switches)
    }

    fn announce(&self) {
        self.changed.send_modify(|n| *n += 1);
    }

    fn counters(&self) -> Counters {
        let state = locked(&self.state);
        Counters {
            revisions: state.values.revisions(),
            switches: state.switches.clone(),
            ..state.counters.clone()
        }
    }
}

/// Counts a waiting watch for as long as it lives.
struct Waiting<'a>(&'a PlatformEndpoint);

impl<'a> Waiting<'a> {
    fn new(endpoint: &'a PlatformEndpoint) -> Self {
        locked(&endpoint.state).counters.waiting += 1;
        Self(endpoint)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        locked(&self.0.state).counters.waiting -= 1;
    }
}

fn set_revision(response: &mut Response<Body>, revision: Revision) {
    response
        .headers_mut()
        .insert("revision", HeaderValue::from(revision.0));
}

fn answer(found: Found) -> Response<Body> {
    match found {
        Found::Down => status(StatusCode::SERVICE_UNAVAILABLE),
        Found::Unknown => status(StatusCode::NOT_FOUND),
        Found::NotNewer => status(StatusCode::NO_CONTENT),
        Found::Value(value) => {
            let mut response = Response::new(full(value.body));
            set_revision(&mut response, value.revision);
            response
        }
    }
}

impl Endpoint for PlatformEndpoint {
    async fn answer(self: Arc<Self>, request: Request<Incoming>, _line: Arc<Line>) -> Reply {
        let path = request.uri().path().to_owned();
        let method = request.method().clone();
        if let Some(key) = path.strip_prefix("/v1/values/") {
            return match method {
                Method::GET => self.get(key, &request).await,
                _ => Ok(status(StatusCode::METHOD_NOT_ALLOWED)),
            };
        }
        if let Some(key) = path.strip_prefix("/control/values/") {
            return match method {
                Method::PUT => self.put(key, request).await,
                _ => Ok(status(StatusCode::METHOD_NOT_ALLOWED)),
            };
        }
        match (method, &*path) {
            (Method::POST, "/control") => self.switch(request).await,
            (Method::GET, "/control/state") => json(StatusCode::OK, &self.counters()),
            _ => Ok(status(StatusCode::NOT_FOUND)),
        }
    }
}
