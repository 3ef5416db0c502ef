//! Starts and stops the stand-ins and the node under test.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use briarbank_config::{EngineSettings, PlatformSettings, ServiceSettings};
use briarbank_standin::{
    Answer, Client, ClientError, StandinHandle, start_engine, start_platform, start_service,
};
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use quick_error::quick_error;
use tokio::sync::watch;
use uuid::Uuid;

use crate::documents::{Fleet, SLOTS};
use crate::node::{KEY, NodeProcess};

/// Number of engines of each model.
const ENGINES: usize = 4;
/// Time between tokens of the paced engines.
pub(crate) const PACED_TOKEN_US: u64 = 5_000;
/// Seed of the lengths of the engines' answers.
pub(crate) const SEED: u64 = 1;
/// Longest wait for the node to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest wait for the node's graceful shutdown.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between checks whether the node has exited.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(100);

quick_error! {
    /// An error that prevents the benchmark from starting.
    #[derive(Debug)]
    pub enum Error {
        Standin(source: briarbank_standin::Error) {
            source(source)
            from()
            display("stand-in: {source}")
        }
        Node(source: std::io::Error) {
            source(source)
            from()
            display("starting the node failed: {source}")
        }
        Client(source: ClientError) {
            source(source)
            from()
            display("setup request failed: {source}")
        }
        NotReady(source: tokio::time::error::Elapsed) {
            source(source)
            display("node did not become ready: {source}")
        }
    }
}

/// Path and body of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Call<'a> {
    pub(crate) path: &'a str,
    pub(crate) body: &'a str,
}

/// The stand-ins and the node under test.
pub(crate) struct Bench {
    pub(crate) node: NodeProcess,
    pub(crate) service: SocketAddr,
    /// Engines that generate without delay between tokens.
    pub(crate) fast: Vec<SocketAddr>,
    /// Engines with a fixed time between tokens.
    pub(crate) paced: Vec<SocketAddr>,
    standins: Vec<StandinHandle>,
    stop: watch::Sender<bool>,
}

impl Bench {
    pub(crate) async fn start(binary: &str) -> Result<Self, Error> {
        let (stop, stopped) = watch::channel(false);
        let settings = PlatformSettings {
            address: loopback(),
            rate_per_s: 2_000,
        };
        let platform = start_platform(settings, until_stopped(&stopped)).await?;
        let settings = ServiceSettings {
            server: "desk-1".into(),
            service: "slips".into(),
            address: loopback(),
            call_us: 0,
        };
        let service = start_service(settings, until_stopped(&stopped)).await?;
        let fast = start_engines(0, &stopped).await?;
        let paced = start_engines(PACED_TOKEN_US, &stopped).await?;
        let node = NodeProcess::start(binary, platform.address())?;
        let mut bench = Self {
            node,
            service: service.address(),
            fast: fast.iter().map(StandinHandle::address).collect(),
            paced: paced.iter().map(StandinHandle::address).collect(),
            standins: Vec::new(),
            stop,
        };
        bench.publish_documents(platform.address()).await?;
        bench.standins = fast.into_iter().chain(paced).collect();
        bench.standins.extend([platform, service]);
        bench.wait_until_ready().await?;
        bench.wait_until_ids_owned().await?;
        Ok(bench)
    }

    async fn publish_documents(&self, platform: SocketAddr) -> Result<(), Error> {
        let client = Client::default();
        let fleet = Fleet {
            peer: self.node.peer,
            service: self.service,
            fast: &self.fast,
            paced: &self.paced,
        };
        for (key, document) in fleet.documents() {
            let path = format!("/control/values/{key}");
            let body = document.to_string();
            let call = Call {
                path: &path,
                body: &body,
            };
            send(&client, platform, "PUT", call).await?.bytes().await?;
        }
        Ok(())
    }

    async fn wait_until_ready(&self) -> Result<(), Error> {
        let client = Client::default();
        let ready = async {
            let call = Call {
                path: "/ready",
                body: "",
            };
            loop {
                if let Ok(answer) = send(&client, self.node.operator, "GET", call).await
                    && answer.head.status.is_success()
                {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        tokio::time::timeout(READY_TIMEOUT, ready)
            .await
            .map_err(Error::NotReady)
    }

    /// Waits until the node answers calls that are not idempotent.
    ///
    /// This takes longer than readiness, since the node refuses request ids
    /// older than its records.
    async fn wait_until_ids_owned(&self) -> Result<(), Error> {
        let client = Client::default();
        let begin = Instant::now();
        let answered = async {
            let call = Call {
                path: "/services/slips/slip",
                body: "{}",
            };
            loop {
                let id = Uuid::now_v7().to_string();
                let answer = send_as(&client, self.node.caller, "POST", call, "slips", &id).await;
                if answer.is_ok_and(|a| a.head.status.is_success()) {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        tokio::time::timeout(READY_TIMEOUT, answered)
            .await
            .map_err(Error::NotReady)?;
        let waited_s = begin.elapsed().as_secs_f64();
        println!("first call that is not idempotent answered {waited_s:.1} s after readiness");
        Ok(())
    }

    /// Shuts down the node and the stand-ins.
    pub(crate) async fn stop(mut self) {
        let call = Call {
            path: "/drain",
            body: "",
        };
        let drained = send(&Client::default(), self.node.operator, "POST", call).await;
        let pauses = STOP_TIMEOUT.as_millis() / STOP_CHECK_INTERVAL.as_millis();
        for _ in 0..pauses {
            if drained.is_err() || self.node.has_exited() {
                break;
            }
            tokio::time::sleep(STOP_CHECK_INTERVAL).await;
        }
        drop(self.node);
        self.stop.send_replace(true);
        for standin in self.standins {
            standin.join().await;
        }
    }
}

/// Sends a call with the profile `reads` and without a request id.
pub(crate) async fn send(
    client: &Client,
    address: SocketAddr,
    method: &str,
    call: Call<'_>,
) -> Result<Answer, ClientError> {
    send_as(client, address, method, call, "reads", "").await
}

/// Sends a call with a profile and, unless empty, a request id.
pub(crate) async fn send_as(
    client: &Client,
    address: SocketAddr,
    method: &str,
    call: Call<'_>,
    profile: &str,
    id: &str,
) -> Result<Answer, ClientError> {
    let mut request = Request::builder()
        .method(method)
        .uri(call.path)
        .header("host", "localhost")
        .header("content-type", "application/json")
        .header("authorization", format!("Bearer {KEY}"))
        .header("briarbank-workspace", "recife")
        .header("briarbank-profile", profile)
        .header("briarbank-try", 1);
    if !id.is_empty() {
        request = request.header("idempotency-key", id);
    }
    let body = Full::new(Bytes::copy_from_slice(call.body.as_bytes()));
    let request = request.body(body).expect("the parts are valid");
    client.send(address, request).await
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn wait_until_stopped(mut stopped: watch::Receiver<bool>) {
    // A dropped sender counts as a stop.
    let _ = stopped.wait_for(|stopped| *stopped).await;
}

fn until_stopped(stopped: &watch::Receiver<bool>) -> impl Future<Output = ()> + Send + 'static {
    wait_until_stopped(stopped.clone())
}

async fn start_engines(
    token_us: u64,
    stopped: &watch::Receiver<bool>,
) -> Result<Vec<StandinHandle>, Error> {
    let mut standins = Vec::new();
    for number in 0..ENGINES {
        let settings = EngineSettings {
            server: format!("engine-{token_us}-{number}").as_str().into(),
            address: loopback(),
            slots: SLOTS,
            token_us,
            batch_token_us: 0,
            prompt_us: 0,
            cached_prefixes: 16,
            load_lag_ms: 100,
            seed: SEED,
            version: "".into(),
        };
        standins.push(start_engine(settings, until_stopped(stopped)).await?);
    }
    Ok(standins)
}
