//! Calls to a node, as a caller sees them.

use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use briarbank_standin::{Answer, Client};
use bytes::Bytes;
use http::header::{CONTENT_TYPE, HOST};
use http::{Request, StatusCode};
use http_body_util::Full;
use serde_json::{Value, json};
use tokio::time::Instant;

use super::documents::{CHAT, MODEL, SERVICE, SLIPS, WORKSPACE};
use super::fleet::DemoNode;
use crate::Error;

/// What a caller sees of one call.
#[derive(Clone, Debug)]
pub(super) struct Seen {
    pub(super) request: &'static str,
    pub(super) host: String,
    pub(super) profile: &'static str,
    pub(super) status: StatusCode,
    pub(super) outcome: String,
    pub(super) tokens: usize,
    pub(super) first: Duration,
    pub(super) whole: Duration,
    pub(super) retry_after: Option<Duration>,
    pub(super) body: Bytes,
}

/// Streams a chat completion and prints its tokens as they come.
pub(super) async fn chat(
    client: &Client,
    node: &DemoNode,
    out: &mut dyn Write,
) -> Result<Seen, Error> {
    let body = json!({
        "model": MODEL,
        "stream": true,
        "max_tokens": 24,
        "messages": [{"role": "user", "content": "Which 50 mm lenses are free on Friday?"}],
    });
    let request = request(node.caller, "/v1/chat/completions", CHAT, body.to_string());
    let begun = Instant::now();
    let mut answer = send(client, node, request).await?;
    let mut seen = Seen::new("completion", node, CHAT, &answer);
    let mut events = EventText::default();
    while let Some(piece) = answer
        .chunk()
        .await
        .map_err(|e| Error::Call(node.caller, e))?
    {
        for event in events.push(&piece) {
            if event == DONE {
                seen.outcome = String::from("completed");
                continue;
            }
            if seen.tokens == 0 {
                seen.first = begun.elapsed();
            }
            seen.tokens += 1;
            write!(out, "{}", token(&event))?;
            out.flush()?;
        }
    }
    writeln!(out)?;
    seen.whole = begun.elapsed();
    Ok(seen)
}

/// Sends a booking slip that may run once.
pub(super) async fn slip(
    client: &Client,
    node: &DemoNode,
    id: &str,
    number: u32,
) -> Result<Seen, Error> {
    let path = format!("/services/{SERVICE}/slips");
    let body = json!({"lens": "50 mm", "house": "recife"}).to_string();
    let mut request = request(node.caller, &path, SLIPS, body);
    let headers = request.headers_mut();
    headers.insert("briarbank-try", number.into());
    if let Ok(id) = id.parse() {
        headers.insert("idempotency-key", id);
    }
    let begun = Instant::now();
    let answer = send(client, node, request).await?;
    let mut seen = Seen::new("slip", node, SLIPS, &answer);
    seen.first = begun.elapsed();
    seen.body = answer
        .bytes()
        .await
        .map_err(|e| Error::Call(node.caller, e))?;
    seen.whole = begun.elapsed();
    Ok(seen)
}

impl Seen {
    fn new(request: &'static str, node: &DemoNode, profile: &'static str, answer: &Answer) -> Self {
        let header = |name| answer.header(name).map(String::from);
        let retry_after = header("retry-after-ms").and_then(|ms| ms.parse().ok());
        Self {
            request,
            host: node.host.to_string(),
            profile,
            status: answer.head.status,
            outcome: header("briarbank-outcome").unwrap_or_else(|| String::from("unknown")),
            tokens: 0,
            first: Duration::ZERO,
            whole: Duration::ZERO,
            retry_after: retry_after.map(Duration::from_millis),
            body: Bytes::new(),
        }
    }

    pub(super) fn is_completed(&self) -> bool {
        self.status.is_success() && self.outcome == "completed"
    }

    pub(super) fn is_not_run(&self) -> bool {
        self.outcome == "not-run"
    }
}

fn request(address: SocketAddr, path: &str, profile: &str, body: String) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::from(body)));
    *request.method_mut() = http::Method::POST;
    *request.uri_mut() = path.parse().unwrap_or_default();
    let headers = [
        (HOST.as_str(), address.to_string()),
        (CONTENT_TYPE.as_str(), String::from("application/json")),
        ("briarbank-workspace", String::from(WORKSPACE)),
        ("briarbank-profile", String::from(profile)),
    ];
    for (name, value) in headers {
        if let (Ok(name), Ok(value)) = (name.parse::<http::HeaderName>(), value.parse()) {
            request.headers_mut().insert(name, value);
        }
    }
    request
}

async fn send(
    client: &Client,
    node: &DemoNode,
    request: Request<Full<Bytes>>,
) -> Result<Answer, Error> {
    let answer = client.send(node.caller, request).await;
    answer.map_err(|e| Error::Call(node.caller, e))
}

const DONE: &str = "[DONE]";

/// Splits a stream of server-sent events into their data.
#[derive(Debug, Default)]
struct EventText {
    pending: Vec<u8>,
}

impl EventText {
    fn push(&mut self, piece: &[u8]) -> Vec<String> {
        self.pending.extend_from_slice(piece);
        let Some(end) = self.pending.iter().rposition(|b| *b == b'\n') else {
            return Vec::new();
        };
        let whole: Vec<u8> = self.pending.drain(..=end).collect();
        String::from_utf8_lossy(&whole)
            .lines()
            .filter_map(|line| line.strip_prefix("data: "))
            .map(String::from)
            .collect()
    }
}

fn token(event: &str) -> String {
    let value: Value = serde_json::from_str(event).unwrap_or_default();
    let text = value.pointer("/choices/0/delta/content");
    text.and_then(Value::as_str).unwrap_or(event).to_owned()
}
