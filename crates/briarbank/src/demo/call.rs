//! Calls to a node and their results.

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

/// Result of one call, as the caller received it.
#[derive(Clone, Debug)]
pub(super) struct CallResult {
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

/// Streams a chat completion and prints its tokens as they arrive.
pub(super) async fn chat(
    client: &Client,
    node: &DemoNode,
    out: &mut dyn Write,
) -> Result<CallResult, Error> {
    let body = json!({
        "model": MODEL,
        "stream": true,
        "max_tokens": 24,
        "messages": [{"role": "user", "content": "Which 50 mm lenses are free on Friday?"}],
    });
    let request = build_request(node.caller, "/v1/chat/completions", CHAT, body.to_string());
    let started = Instant::now();
    let mut answer = send_request(client, node, request).await?;
    let mut result = CallResult::new("completion", node, CHAT, &answer);
    let mut events = EventDataDecoder::default();
    while let Some(chunk) = answer
        .chunk()
        .await
        .map_err(|e| Error::Call(node.caller, e))?
    {
        for event in events.push(&chunk) {
            if event == DONE {
                result.outcome = String::from("completed");
                continue;
            }
            if result.tokens == 0 {
                result.first = started.elapsed();
            }
            result.tokens += 1;
            write!(out, "{}", token_text(&event))?;
            out.flush()?;
        }
    }
    writeln!(out)?;
    result.whole = started.elapsed();
    Ok(result)
}

/// Sends a booking slip, which may run only once.
pub(super) async fn slip(
    client: &Client,
    node: &DemoNode,
    id: &str,
    number: u32,
) -> Result<CallResult, Error> {
    let path = format!("/services/{SERVICE}/slips");
    let body = json!({"lens": "50 mm", "house": "recife"}).to_string();
    let mut request = build_request(node.caller, &path, SLIPS, body);
    let headers = request.headers_mut();
    headers.insert("briarbank-try", number.into());
    if let Ok(id) = id.parse() {
        headers.insert("idempotency-key", id);
    }
    let started = Instant::now();
    let answer = send_request(client, node, request).await?;
    let mut result = CallResult::new("slip", node, SLIPS, &answer);
    result.first = started.elapsed();
    result.body = answer
        .bytes()
        .await
        .map_err(|e| Error::Call(node.caller, e))?;
    result.whole = started.elapsed();
    Ok(result)
}

impl CallResult {
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

fn build_request(
    address: SocketAddr,
    path: &str,
    profile: &str,
    body: String,
) -> Request<Full<Bytes>> {
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

async fn send_request(
    client: &Client,
    node: &DemoNode,
    request: Request<Full<Bytes>>,
) -> Result<Answer, Error> {
    let answer = client.send(node.caller, request).await;
    answer.map_err(|e| Error::Call(node.caller, e))
}

const DONE: &str = "[DONE]";

/// Extracts the data of server-sent events from a stream.
#[derive(Debug, Default)]
struct EventDataDecoder {
    pending: Vec<u8>,
}

impl EventDataDecoder {
    fn push(&mut self, chunk: &[u8]) -> Vec<String> {
        self.pending.extend_from_slice(chunk);
        let Some(end) = self.pending.iter().rposition(|b| *b == b'\n') else {
            return Vec::new();
        };
        let complete: Vec<u8> = self.pending.drain(..=end).collect();
        String::from_utf8_lossy(&complete)
            .lines()
            .filter_map(|line| line.strip_prefix("data: "))
            .map(String::from)
            .collect()
    }
}

fn token_text(event: &str) -> String {
    let value: Value = serde_json::from_str(event).unwrap_or_default();
    let text = value.pointer("/choices/0/delta/content");
    text.and_then(Value::as_str).unwrap_or(event).to_owned()
}
