//! Fleet of separate processes on a loopback address of its own.

#![allow(
    dead_code,
    unused_imports,
    reason = "each test file uses some of the items"
)]
#![expect(unreachable_pub, reason = "shared by test files as a module")]

mod caller;
mod process;
mod published;

use caller::ENGINE_SEED;
pub use caller::{Answer, Call, Caller, long_prompt};
use process::SPAWNING;
pub use process::{POLL, Process};
use published::NodeAddresses;
pub use published::Published;

use std::collections::BTreeMap;
use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::ExitStatus;
use std::sync::PoisonError;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::sleep;

/// Key that the nodes share.
pub const KEY: &str = "key-of-the-tests";

/// Maximum time from polling a node's slots to the start of its records.
const SLOT_POLL_DELAY: Duration = Duration::from_millis(100);

/// Port whose listener reserves an address; below the ports that processes use.
const RESERVED_PORT: u16 = 19_999;

/// Last byte of the first address that a process tries.
const FIRST_HOST: u8 = 1;

/// Next port, below the range that the system assigns to outgoing connections.
static PORTS: AtomicU16 = AtomicU16::new(20_000);

/// Processes of one test, killed when dropped.
#[derive(Debug)]
pub struct Fleet {
    ip: IpAddr,
    /// Holds the address for this fleet.
    _reservation: TcpListener,
    folder: PathBuf,
    limits: Value,
    /// Drain timeout of the nodes that are started next.
    pub drain_timeout_ms: u64,
    pub published: Published,
    pub platform: Process,
    pub engines: Vec<Process>,
    pub services: Vec<Process>,
    pub nodes: Vec<Process>,
}

/// Number of processes of a fleet and the speed of its servers.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub nodes: usize,
    pub engines: usize,
    pub services: usize,
    /// Time of an engine for one token.
    pub token_us: u64,
    /// Time of a service for one call.
    pub call_us: u64,
}

impl Default for Size {
    fn default() -> Self {
        Self {
            nodes: 2,
            engines: 1,
            services: 1,
            token_us: 500,
            call_us: 500,
        }
    }
}

impl Fleet {
    /// Starts all processes and waits until the nodes are ready.
    pub async fn start(size: Size) -> Self {
        Self::start_with_limits(size, json!({})).await
    }

    /// Starts all processes; the versions of the engines take turns.
    pub async fn start_with_versions(size: Size, versions: &[&str]) -> Self {
        Self::start_with(size, json!({}), versions).await
    }

    /// Starts all processes, with node limits that override the defaults.
    pub async fn start_with_limits(size: Size, limits: Value) -> Self {
        Self::start_with(size, limits, &[""]).await
    }

    async fn start_with(size: Size, limits: Value, versions: &[&str]) -> Self {
        let (ip, reservation) = reserve_address();
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("fleet-{ip}"));
        fs::create_dir_all(&folder).expect("a scratch folder");
        let platform_address = free_port(ip);
        let platform = Process::start(
            &folder,
            "platform",
            &["standin", "platform"],
            &json!({"address": platform_address, "rate_per_s": 2000}),
            platform_address,
        );
        let mut fleet = Self {
            ip,
            _reservation: reservation,
            folder,
            limits,
            drain_timeout_ms: 60_000,
            published: Published::default(),
            platform,
            engines: Vec::new(),
            services: Vec::new(),
            nodes: Vec::new(),
        };
        for version in versions.iter().cycle().take(size.engines) {
            fleet.start_engine(size.token_us, version);
        }
        for _ in 0..size.services {
            fleet.start_service(size.call_us);
        }
        for _ in 0..size.nodes {
            fleet.add_node();
        }
        fleet.platform.wait_listening().await;
        fleet.publish_all().await;
        for index in 0..size.nodes {
            fleet.start_node(index);
        }
        // A node is ready with the first answer of the platform; servers may start later.
        for server in fleet.engines.iter().chain(&fleet.services) {
            server.wait_listening().await;
        }
        for node in &fleet.nodes {
            node.wait_ready().await;
        }
        if size.services > 0 {
            fleet.wait_ids_owned().await;
        }
        fleet
    }

    /// Waits until all nodes accept calls that may run only once.
    ///
    /// Ids created before the start of their owner's records are refused.
    pub async fn wait_ids_owned(&self) {
        for node in &self.nodes {
            node.wait_owning().await;
        }
        let margin = briarbank_core::owner::Options::default().creation_margin();
        sleep(margin + SLOT_POLL_DELAY).await;
    }

    fn start_engine(&mut self, token_us: u64, version: &str) {
        let name = format!("engine-{}", self.engines.len());
        let address = free_port(self.ip);
        let settings = json!({
            "server": name, "address": address, "slots": 32, "token_us": token_us,
            "batch_token_us": 1, "prompt_us": 10, "cached_prefixes": 100,
            "load_lag_ms": 0, "seed": ENGINE_SEED, "version": version,
        });
        let arguments = ["standin", "engine"];
        let process = Process::start(&self.folder, &name, &arguments, &settings, address);
        self.engines.push(process);
        self.published
            .add_server(&name, address, "lens-model", version);
    }

    fn start_service(&mut self, call_us: u64) {
        let name = format!("service-{}", self.services.len());
        let address = free_port(self.ip);
        let settings = json!({
            "server": name, "service": "slips", "address": address, "call_us": call_us,
        });
        let arguments = ["standin", "service"];
        let process = Process::start(&self.folder, &name, &arguments, &settings, address);
        self.services.push(process);
        self.published.add_server(&name, address, "slips", "");
    }

    fn add_node(&mut self) {
        let addresses = NodeAddresses {
            caller: free_port(self.ip),
            peer: free_port(self.ip),
            operator: free_port(self.ip),
        };
        self.published.add_node(addresses);
    }

    /// Starts the process of a published node, or starts it again.
    pub fn start_node(&mut self, index: usize) {
        let name = Published::host_name(index);
        let addresses = self.published.nodes[index];
        let settings = json!({
            "host": name, "zone": "zone-a",
            "caller_address": addresses.caller,
            "peer_address": addresses.peer,
            "operator_address": addresses.operator,
            "platform_addresses": [self.platform.address],
            "shared_key": KEY,
            "limits": self.limits,
            "drain_timeout_ms": self.drain_timeout_ms,
        });
        let process = Process::start(
            &self.folder,
            &name,
            &["node"],
            &settings,
            addresses.operator,
        );
        if index < self.nodes.len() {
            self.nodes[index] = process;
        } else {
            self.nodes.push(process);
        }
    }

    /// Shuts a node down gracefully and waits until it exits.
    pub async fn stop_node(&mut self, index: usize) -> ExitStatus {
        self.nodes[index].terminate();
        self.published.leaving.insert(index);
        self.publish_all().await;
        self.nodes[index].wait_exit().await
    }

    /// Starts a stopped node again and waits until it is ready.
    pub async fn restart_node(&mut self, index: usize) {
        self.start_node(index);
        self.published.leaving.remove(&index);
        self.publish_all().await;
        self.nodes[index].wait_ready().await;
        self.nodes[index].wait_owning().await;
    }

    /// Publishes a further server, which the test itself runs.
    pub async fn publish_server(&mut self, address: SocketAddr, target: &str) {
        let name = format!("server-{}", address.port());
        self.published.add_server(&name, address, target, "");
        self.publish_all().await;
    }

    /// Publishes all documents.
    pub async fn publish_all(&self) {
        for (key, document) in self.published.documents() {
            self.publish(key, &document).await;
        }
    }

    /// Publishes one document.
    pub async fn publish(&self, key: &str, document: &Value) {
        let path = format!("/control/values/{key}");
        self.platform.put(&path, document).await;
    }

    /// Returns a caller of the node.
    pub fn caller(&self, node: usize) -> Caller {
        Caller::new(self.published.nodes[node])
    }

    /// Returns how often a request id ran, over all services.
    pub async fn runs(&self, id: &str) -> u64 {
        self.all_runs().await.get(id).copied().unwrap_or(0)
    }

    /// Returns how often each request id ran, over all services.
    pub async fn all_runs(&self) -> BTreeMap<String, u64> {
        let mut runs = BTreeMap::new();
        for service in &self.services {
            let list = service.get("/control/runs").await;
            let Some(list) = list["runs"].as_object() else {
                continue;
            };
            for (id, count) in list {
                *runs.entry(id.clone()).or_default() += count.as_u64().unwrap_or(0);
            }
        }
        runs
    }
}

/// Reserves a loopback address that no other test in any process uses.
///
/// The address is free again when the listener is dropped.
fn reserve_address() -> (IpAddr, TcpListener) {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    // 127.0.0.x stays free for other programs.
    let first = u32::from(high) << 16 | u32::from(low) << 8 | u32::from(FIRST_HOST);
    let mut candidates = (0_u32..).map(|index| {
        let [_, second, third, fourth] = (first + index).to_be_bytes();
        Ipv4Addr::new(127, second.max(1), third, fourth)
    });
    let reserve = |ip| TcpListener::bind((ip, RESERVED_PORT)).map(|l| (IpAddr::V4(ip), l));
    candidates
        .find_map(|ip| reserve(ip).ok())
        .expect("a free address")
}

/// Returns a free port of the address, and each port only once.
///
/// The process that gets the port binds it later; a search for free ports alone
/// could return the same port twice.
fn free_port(ip: IpAddr) -> SocketAddr {
    loop {
        let port = PORTS.fetch_add(1, Ordering::Relaxed);
        let address = SocketAddr::new(ip, port);
        let _spawning = SPAWNING.lock().unwrap_or_else(PoisonError::into_inner);
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}
