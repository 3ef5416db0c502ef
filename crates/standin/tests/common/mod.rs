//! Stand-ins and calls shared by the tests.
#![expect(dead_code, reason = "each test binary uses a subset")]

use std::net::SocketAddr;

use briarbank_config::{EngineSettings, PlatformSettings, ServiceSettings};
use briarbank_standin::{Answer, Client, ClientError, StandinHandle};
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use serde_json::{Value, json};
use tokio::sync::oneshot;

/// Loopback address with a port that the system assigns.
fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Running stand-in that can be stopped.
pub(crate) struct TestServer {
    pub(crate) address: SocketAddr,
    running: StandinHandle,
    stop: oneshot::Sender<()>,
}

impl TestServer {
    pub(crate) async fn stop(self) {
        self.stop.send(()).expect("still serving");
        self.running.join().await;
    }
}

async fn wait_for_stop(stopped: oneshot::Receiver<()>) {
    let _ = stopped.await;
}

pub(crate) async fn start_platform(rate_per_s: u32) -> TestServer {
    let (stop, stopped) = oneshot::channel();
    let settings = PlatformSettings {
        address: loopback(),
        rate_per_s,
    };
    let running = briarbank_standin::start_platform(settings, wait_for_stop(stopped))
        .await
        .expect("bind");
    TestServer {
        address: running.address(),
        running,
        stop,
    }
}

pub(crate) async fn start_engine(slots: u32, token_us: u64) -> TestServer {
    let (stop, stopped) = oneshot::channel();
    let settings = EngineSettings {
        server: "engine-1".into(),
        address: loopback(),
        slots,
        token_us,
        batch_token_us: 0,
        prompt_us: 0,
        cached_prefixes: 4,
        load_lag_ms: 0,
        seed: 7,
        version: "".into(),
    };
    let running = briarbank_standin::start_engine(settings, wait_for_stop(stopped))
        .await
        .expect("bind");
    TestServer {
        address: running.address(),
        running,
        stop,
    }
}

pub(crate) async fn start_service() -> TestServer {
    let (stop, stopped) = oneshot::channel();
    let settings = ServiceSettings {
        server: "desk-1".into(),
        service: "slips".into(),
        address: loopback(),
        call_us: 0,
    };
    let running = briarbank_standin::start_service(settings, wait_for_stop(stopped))
        .await
        .expect("bind");
    TestServer {
        address: running.address(),
        running,
        stop,
    }
}

pub(crate) async fn send(
    client: &Client,
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<Answer, ClientError> {
    let mut request = Request::builder().method(method).uri(path);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let body = Full::new(Bytes::copy_from_slice(body.as_bytes()));
    client
        .send(address, request.body(body).expect("request"))
        .await
}

/// Sets failure switches and asserts that the request succeeds.
pub(crate) async fn set_switches(client: &Client, address: SocketAddr, switches: &Value) {
    let body = switches.to_string();
    let answer = send(client, address, "POST", "/control", &[], &body)
        .await
        .expect("control");
    assert_eq!(answer.head.status, 200);
    answer.bytes().await.expect("switches");
}

pub(crate) async fn get_json(client: &Client, address: SocketAddr, path: &str) -> Value {
    let answer = send(client, address, "GET", path, &[], "")
        .await
        .expect("answer");
    let body = answer.bytes().await.expect("body");
    serde_json::from_slice(&body).expect("JSON")
}

/// Returns the request body of a model call.
pub(crate) fn model_call(prompt: &str, stream: bool, max_tokens: u32) -> String {
    json!({"model": "catalogue", "prompt": prompt, "stream": stream, "max_tokens": max_tokens})
        .to_string()
}
