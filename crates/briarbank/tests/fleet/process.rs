//! Process of the binary under test.

use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use briarbank_standin::Client;
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::KEY;

/// Interval between polls.
pub const POLL: Duration = Duration::from_millis(20);

/// Held while a process is started, and by who needs a listener to be closed at once.
///
/// Between fork and exec a new process holds copies of all descriptors.
pub(super) static SPAWNING: Mutex<()> = Mutex::new(());

/// Maximum time until a process is ready.
const START_TIMEOUT: Duration = Duration::from_mins(2);

/// Maximum time for an answer of an operator or control port.
const CALL_TIMEOUT: Duration = Duration::from_mins(1);

/// Running process, killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Mutex<Child>,
    log: PathBuf,
    /// Address of its port; of a node, the operator port.
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
        let log_path = folder.join(format!("{name}.log"));
        let log = File::create(&log_path).expect("a log file");
        let spawning = SPAWNING.lock().unwrap_or_else(PoisonError::into_inner);
        let child = Command::new(env!("CARGO_BIN_EXE_briarbank"))
            .args(["--log", "briarbank_node=debug,info"])
            .args(arguments)
            .arg(&path)
            .stdout(log.try_clone().expect("a second handle"))
            .stderr(log)
            .spawn()
            .expect("the binary runs");
        drop(spawning);
        Self {
            child: Mutex::new(child),
            log: log_path,
            address,
        }
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child().id()
    }

    /// Requests a graceful shutdown, as an init system does.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        let id = self.id().to_string();
        let signal = format!("-{name}");
        let spawning = SPAWNING.lock().unwrap_or_else(PoisonError::into_inner);
        let kill = Command::new("kill").args([&signal, &id]).spawn();
        drop(spawning);
        let status = kill.expect("kill runs").wait();
        assert!(status.expect("kill ends").success());
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let mut child = self.child();
        let _ = child.kill();
        let _ = child.wait();
    }

    /// Waits until the process exits.
    pub async fn wait_exit(&mut self) -> ExitStatus {
        loop {
            if let Some(status) = self.exit_status() {
                return status;
            }
            sleep(POLL).await;
        }
    }

    /// Waits until the process listens.
    pub async fn wait_listening(&self) {
        let is_listening = async || TcpStream::connect(self.address).await.is_ok();
        self.wait_until("listening", is_listening).await;
    }

    /// Waits until a node reports that it is ready.
    pub async fn wait_ready(&self) {
        let is_ready = async || {
            let answer = self.call(Method::GET, "/ready", Bytes::new()).await;
            answer.0 == StatusCode::OK
        };
        self.wait_until("ready", is_ready).await;
    }

    /// Waits until a node holds all slots that the host list assigns to it.
    pub async fn wait_owning(&self) {
        let is_owning = async || {
            let owner = &self.get("/dump").await["owner"];
            owner["owned_slots"] != 0 && owner["held_slots"] == owner["owned_slots"]
        };
        self.wait_until("holding its slots", is_owning).await;
    }

    /// Waits for a state of a process that starts.
    ///
    /// # Panics
    ///
    /// Panics with the process's log if it has exited or the state takes too long.
    async fn wait_until(&self, state: &str, holds: impl AsyncFn() -> bool) {
        let deadline = Instant::now() + START_TIMEOUT;
        while !holds().await {
            let status = self.exit_status();
            let is_late = Instant::now() > deadline;
            assert!(
                status.is_none() && !is_late,
                "{} is not {state}, {status:?}: {}",
                self.address,
                fs::read_to_string(&self.log).unwrap_or_default()
            );
            sleep(POLL).await;
        }
    }

    fn exit_status(&self) -> Option<ExitStatus> {
        self.child()
            .try_wait()
            .expect("the child can be waited for")
    }

    fn child(&self) -> MutexGuard<'_, Child> {
        self.child.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Gets JSON from a path.
    pub async fn get(&self, path: &str) -> Value {
        let (status, body) = self.call(Method::GET, path, Bytes::new()).await;
        assert_eq!(status, StatusCode::OK, "{path}");
        serde_json::from_slice(&body).expect("JSON")
    }

    /// Posts JSON, for example to set failure switches.
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

    /// Returns the sum of a metric over its labels, 0 if it is missing.
    pub async fn metric(&self, name: &str) -> f64 {
        let (_, body) = self.call(Method::GET, "/metrics", Bytes::new()).await;
        let text = String::from_utf8(body.to_vec()).expect("text");
        let lines = text.lines().filter(|l| l.starts_with(name));
        lines
            .filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok())
            .sum()
    }

    /// Calls the port with the shared key.
    pub async fn call(&self, method: Method, path: &str, body: Bytes) -> (StatusCode, Bytes) {
        self.call_with_key(method, path, body, KEY).await
    }

    /// Returns the status of a call with a wrong key.
    pub async fn status_with_wrong_key(&self, path: &str) -> StatusCode {
        let wrong_key = "another key";
        let answer = self.call_with_key(Method::GET, path, Bytes::new(), wrong_key);
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
        let exchange = async {
            let Ok(answer) = client.send(self.address, request).await else {
                return (StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
            };
            (answer.head.status, answer.bytes().await.unwrap_or_default())
        };
        let answer = timeout(CALL_TIMEOUT, exchange).await;
        client.close().await;
        answer.unwrap_or_else(|_elapsed| panic!("{} does not answer {path}", self.address))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
