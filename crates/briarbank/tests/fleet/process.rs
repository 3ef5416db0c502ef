//! One process of the binary.

use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, ExitStatus};
use std::time::Duration;

use briarbank_standin::Client;
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use serde_json::Value;
use tokio::time::sleep;

use super::KEY;

/// Pause between two looks at something that takes time.
pub const POLL: Duration = Duration::from_millis(20);

/// A running process; it is killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// Address of its port, for a node that of operators.
    pub address: SocketAddr,
}

impl Process {
    pub(super) fn start(
        folder: &Path,
        name: &str,
        arguments: &[&str],
        settings: &Value,
        address: SocketAddr,
    ) -> Self {
        let path = folder.join(format!("{name}.json"));
        fs::write(&path, settings.to_string()).expect("settings are written");
        let log = File::create(folder.join(format!("{name}.log"))).expect("a log file");
        let child = Command::new(env!("CARGO_BIN_EXE_briarbank"))
            .args(["--log", "briarbank_node=debug,info"])
            .args(arguments)
            .arg(&path)
            .stdout(log.try_clone().expect("a second handle"))
            .stderr(log)
            .spawn()
            .expect("the binary runs");
        Self { child, address }
    }

    /// Asks for a planned stop, as an init system does.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Sends a signal to this process.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let signal = format!("-{name}");
        let status = Command::new("kill").args([&signal, &id]).status();
        assert!(status.expect("kill runs").success());
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for its end.
    pub async fn ended(&mut self) -> ExitStatus {
        loop {
            if let Some(status) = self.child.try_wait().expect("the child can be waited for") {
                return status;
            }
            sleep(POLL).await;
        }
    }

    /// Waits until it listens.
    pub async fn listening(&self) {
        while tokio::net::TcpStream::connect(self.address).await.is_err() {
            sleep(POLL).await;
        }
    }

    /// Waits until a node says that it serves callers.
    pub async fn ready(&self) {
        self.listening().await;
        while self.call(Method::GET, "/ready", Bytes::new()).await.0 != StatusCode::OK {
            sleep(POLL).await;
        }
    }

    /// Waits until a node holds all ids that the host list gives to it.
    pub async fn owning(&self) {
        loop {
            let owner = &self.get("/dump").await["owner"];
            if owner["owned_slots"] != 0 && owner["held_slots"] == owner["owned_slots"] {
                return;
            }
            sleep(POLL).await;
        }
    }

    /// JSON behind a path.
    pub async fn get(&self, path: &str) -> Value {
        let (status, body) = self.call(Method::GET, path, Bytes::new()).await;
        assert_eq!(status, StatusCode::OK, "{path}");
        serde_json::from_slice(&body).expect("JSON")
    }

    /// Posts JSON, as to set failure switches.
    pub async fn post(&self, path: &str, body: &Value) {
        let body = Bytes::from(body.to_string());
        let (status, _) = self.call(Method::POST, path, body).await;
        assert!(status.is_success(), "{path}: {status}");
    }

    pub(super) async fn put(&self, path: &str, body: &Value) {
        let body = Bytes::from(body.to_string());
        let (status, _) = self.call(Method::PUT, path, body).await;
        assert!(status.is_success(), "{path}: {status}");
    }

    /// Value of a metric on the operator port, 0 without it.
    pub async fn metric(&self, name: &str) -> f64 {
        let (_, body) = self.call(Method::GET, "/metrics", Bytes::new()).await;
        let text = String::from_utf8(body.to_vec()).expect("text");
        let lines = text.lines().filter(|l| l.starts_with(name));
        lines
            .filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok())
            .sum()
    }

    /// One call of its port.
    pub async fn call(&self, method: Method, path: &str, body: Bytes) -> (StatusCode, Bytes) {
        self.call_with_key(method, path, body, KEY).await
    }

    /// Status of a call with another key.
    pub async fn status_without_key(&self, path: &str) -> StatusCode {
        let other = "another key";
        let answer = self.call_with_key(Method::GET, path, Bytes::new(), other);
        answer.await.0
    }

    async fn call_with_key(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        key: &str,
    ) -> (StatusCode, Bytes) {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", self.address.to_string())
            .header("authorization", format!("Bearer {key}"))
            .body(Full::new(body))
            .expect("a request");
        let client = Client::default();
        let Ok(answer) = client.send(self.address, request).await else {
            return (StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
        };
        let status = answer.head.status;
        let body = answer.bytes().await.unwrap_or_default();
        client.close().await;
        (status, body)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
