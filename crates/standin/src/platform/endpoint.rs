//! Request handling of the platform stand-in.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use briarbank_core::ids::Revision;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::Serialize;
use tokio::sync::watch;
use tokio::time::Instant;

use super::rate_limit::RateLimit;
use super::switches::PlatformSwitches;
use super::values::{Value, Values};
use crate::backend::{Query, header, locked, merge};
use crate::error::Error;
use crate::http::{Body, Connection, Endpoint, Reply, full, json, read_body, status};

/// Upper bound on the wait that a watch may request.
const WAIT_MAX: Duration = Duration::from_mins(1);
/// Maximum number of readers that are counted by name.
const READERS_MAX: usize = 1_000;

/// Counters that `GET /control/state` returns.
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
    rate_limit: RateLimit,
    counters: Counters,
}

/// Endpoint of the platform stand-in.
#[derive(Debug)]
pub(crate) struct PlatformEndpoint {
    state: std::sync::Mutex<State>,
    changed: watch::Sender<u64>,
}

/// Result of a lookup.
enum Lookup {
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
            rate_limit: RateLimit::new(rate_per_s, Instant::now()),
            counters: Counters::default(),
        };
        Arc::new(Self {
            state: std::sync::Mutex::new(state),
            changed: watch::Sender::new(0),
        })
    }

    fn try_admit(&self, reader: &str) -> bool {
        let mut state = locked(&self.state);
        state.counters.calls += 1;
        let readers = &mut state.counters.readers;
        if let Some(count) = readers.get_mut(reader) {
            *count += 1;
        } else if readers.len() < READERS_MAX {
            readers.insert(Arc::from(reader), 1);
        }
        let admitted = state.rate_limit.try_take(Instant::now());
        if !admitted {
            state.counters.refused += 1;
        }
        admitted
    }

    fn find(&self, key: &str, reader: &str, after: Option<Revision>) -> Lookup {
        let state = locked(&self.state);
        if state.switches.down {
            return Lookup::Down;
        }
        let max_revision = state.switches.max_revision(key, reader);
        match state.values.get(key, max_revision) {
            Some(value) if after.is_some_and(|a| value.revision <= a) => Lookup::NotNewer,
            Some(value) => Lookup::Value(value),
            None if after.is_some() => Lookup::NotNewer,
            None => Lookup::Unknown,
        }
    }

    fn is_cut(&self, reader: &str) -> bool {
        locked(&self.state).switches.is_cut(reader)
    }

    /// Holds the request of a cut-off reader, then closes its connection.
    async fn hold_while_cut(&self, reader: &str) -> Result<(), Error> {
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

    async fn get_value(&self, key: &str, request: &Request<Incoming>) -> Reply {
        let reader = header(request, "briarbank-reader").unwrap_or("").to_owned();
        self.hold_while_cut(&reader).await?;
        if !self.try_admit(&reader) {
            return Ok(status(StatusCode::TOO_MANY_REQUESTS));
        }
        let query = Query::from_uri(request.uri());
        let after = query.number("after").map(Revision);
        let wait = Duration::from_millis(query.number("wait_ms").unwrap_or(0)).min(WAIT_MAX);
        let lookup = self.find_or_wait(key, &reader, after, wait).await;
        self.hold_while_cut(&reader).await?;
        Ok(lookup_response(lookup))
    }

    async fn find_or_wait(
        &self,
        key: &str,
        reader: &str,
        after: Option<Revision>,
        wait: Duration,
    ) -> Lookup {
        let mut changes = self.changed.subscribe();
        let first = self.find(key, reader, after);
        if wait.is_zero() || !matches!(first, Lookup::NotNewer) {
            return first;
        }
        let _waiting = WaitingWatchGuard::new(self);
        let newer = async {
            while changes.changed().await.is_ok() {
                let lookup = self.find(key, reader, after);
                if !matches!(lookup, Lookup::NotNewer) {
                    return lookup;
                }
            }
            Lookup::NotNewer
        };
        tokio::time::timeout(wait, newer)
            .await
            .unwrap_or(Lookup::NotNewer)
    }

    async fn put_value(&self, key: &str, request: Request<Incoming>) -> Reply {
        let revision = Query::from_uri(request.uri())
            .number("revision")
            .map(Revision);
        let body = read_body(request.into_body()).await?;
        let stored = locked(&self.state).values.put(key, revision, body);
        let Some(revision) = stored else {
            return Ok(status(StatusCode::CONFLICT));
        };
        self.notify_watches();
        let mut response = status(StatusCode::OK);
        set_revision(&mut response, revision);
        Ok(response)
    }

    async fn update_switches(&self, request: Request<Incoming>) -> Reply {
        let patch = read_body(request.into_body()).await?;
        let switches = {
            let mut state = locked(&self.state);
            state.switches = merge(&state.switches, &patch)?;
            state.switches.clone()
        };
        self.notify_watches();
        json(StatusCode::OK, &switches)
    }

    fn notify_watches(&self) {
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

/// Guard that counts a watch as waiting until it is dropped.
struct WaitingWatchGuard<'a>(&'a PlatformEndpoint);

impl<'a> WaitingWatchGuard<'a> {
    fn new(endpoint: &'a PlatformEndpoint) -> Self {
        locked(&endpoint.state).counters.waiting += 1;
        Self(endpoint)
    }
}

impl Drop for WaitingWatchGuard<'_> {
    fn drop(&mut self) {
        locked(&self.0.state).counters.waiting -= 1;
    }
}

fn set_revision(response: &mut Response<Body>, revision: Revision) {
    response
        .headers_mut()
        .insert("revision", HeaderValue::from(revision.0));
}

fn lookup_response(lookup: Lookup) -> Response<Body> {
    match lookup {
        Lookup::Down => status(StatusCode::SERVICE_UNAVAILABLE),
        Lookup::Unknown => status(StatusCode::NOT_FOUND),
        Lookup::NotNewer => status(StatusCode::NO_CONTENT),
        Lookup::Value(value) => {
            let mut response = Response::new(full(value.body));
            set_revision(&mut response, value.revision);
            response
        }
    }
}

impl Endpoint for PlatformEndpoint {
    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        _connection: Arc<Connection>,
    ) -> Reply {
        let path = request.uri().path().to_owned();
        let method = request.method().clone();
        if let Some(key) = path.strip_prefix("/v1/values/") {
            return match method {
                Method::GET => self.get_value(key, &request).await,
                _ => Ok(status(StatusCode::METHOD_NOT_ALLOWED)),
            };
        }
        if let Some(key) = path.strip_prefix("/control/values/") {
            return match method {
                Method::PUT => self.put_value(key, request).await,
                _ => Ok(status(StatusCode::METHOD_NOT_ALLOWED)),
            };
        }
        match (method, &*path) {
            (Method::POST, "/control") => self.update_switches(request).await,
            (Method::GET, "/control/state") => json(StatusCode::OK, &self.counters()),
            _ => Ok(status(StatusCode::NOT_FOUND)),
        }
    }
}
