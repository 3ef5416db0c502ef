//! Parsing of the head of a server's answer.

use std::sync::Arc;

use briarbank_core::call::ServerLoad;
use http::HeaderMap;
use http::header::CONTENT_TYPE;

/// Content type of an answer without one.
const DEFAULT_CONTENT_TYPE: &str = "application/octet-stream";

/// Reason why a server did not run a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRun {
    /// The server is leaving.
    Leaving,
    /// The server is full.
    Full,
}

/// Head of a server's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerHead {
    /// Attempt that the answer belongs to.
    pub attempt: Option<Arc<str>>,
    /// Load that the server reports.
    pub load: Option<ServerLoad>,
    /// Whether the server is leaving.
    pub leaving: bool,
    /// Reason when the call did not run.
    pub not_run: Option<NotRun>,
    /// Content type of the body.
    pub content_type: Arc<str>,
}

impl ServerHead {
    /// Parses the headers; invalid values count as absent.
    #[must_use]
    pub fn parse(headers: &HeaderMap) -> Self {
        let text = |name: &str| headers.get(name)?.to_str().ok();
        let content_type = text(CONTENT_TYPE.as_str());
        Self {
            attempt: text("briarbank-attempt").map(Arc::from),
            load: text("briarbank-load").and_then(parse_load),
            leaving: text("briarbank-server-state") == Some("leaving"),
            not_run: text("briarbank-not-run").and_then(parse_not_run),
            content_type: Arc::from(content_type.unwrap_or(DEFAULT_CONTENT_TYPE)),
        }
    }
}

fn parse_not_run(text: &str) -> Option<NotRun> {
    match text {
        "leaving" => Some(NotRun::Leaving),
        "full" => Some(NotRun::Full),
        _ => None,
    }
}

/// Parses `running=N,waiting=N,age_ms=N`.
fn parse_load(text: &str) -> Option<ServerLoad> {
    let mut load = ServerLoad::default();
    for part in text.split(',') {
        let (name, value) = part.trim().split_once('=')?;
        match name {
            "running" => load.running = value.parse().ok()?,
            "waiting" => load.waiting = value.parse().ok()?,
            "age_ms" => load.age_ms = value.parse().ok()?,
            _ => {}
        }
    }
    Some(load)
}
