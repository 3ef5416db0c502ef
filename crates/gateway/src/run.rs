//! Starts, supervises and stops all tasks of a node.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use briarbank_meter::PrometheusHandle;
use tokio::net::{TcpListener, UdpSocket};
use tokio::task::{JoinSet, LocalSet};
use tokio::time::{Instant, interval, sleep, sleep_until};

use crate::caller::CallerPort;
use crate::dialect::Dialect;
use crate::error::Error;
use crate::settings::{Settings, SettingsSource};
use crate::shared::SharedState;
use crate::{gossip, operator, reload, store, streams, sync};

/// Time before the kill at which calls still in flight are cut.
const KILL_MARGIN: Duration = Duration::from_millis(300);

/// Time between two checks for calls in flight while stopping.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two sweeps of idle connections, and period of the log line limits.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Upper bounds of the latency histogram's buckets, in seconds.
const SECONDS_BUCKETS: [f64; 10] = [0.01, 0.03, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 15.0];

/// Open sockets of a node.
struct Ports {
    caller: TcpListener,
    ready: TcpListener,
    operator: Option<TcpListener>,
    peer: TcpListener,
    heartbeats: UdpSocket,
}

impl Ports {
    async fn open(settings: &Settings) -> Result<Self, Error> {
        let addresses = settings.addresses;
        let operator = match addresses.operator {
            Some(address) => Some(listen("operator", address).await?),
            None => None,
        };
        let peer = SocketAddr::V4(addresses.peer);
        let heartbeats = UdpSocket::bind(peer).await;
        Ok(Self {
            caller: listen("caller", addresses.caller).await?,
            ready: listen("readiness", addresses.ready).await?,
            operator,
            peer: listen("peer", peer).await?,
            heartbeats: heartbeats.map_err(|error| Error::Bind("peer", peer, error))?,
        })
    }
}

async fn listen(port: &'static str, address: SocketAddr) -> Result<TcpListener, Error> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|error| Error::Bind(port, address, error))
}

/// Runs a node until `shutdown` completes, then shuts it down gracefully.
///
/// # Errors
///
/// A port cannot be opened.
pub async fn run(
    settings: Settings,
    source: Box<dyn SettingsSource>,
    dialect: Box<dyn Dialect>,
    shutdown: impl Future<Output = ()>,
) -> Result<(), Error> {
    let ports = Ports::open(&settings).await?;
    let metrics = briarbank_meter::install(&SECONDS_BUCKETS);
    tracing::info!(host = %settings.host, zone = %settings.zone, caller = %settings.addresses.caller, "node: started");
    let shared = SharedState::new(settings, dialect);
    let local = LocalSet::new();
    let served = local.run_until(async {
        let mut tasks = JoinSet::new();
        spawn_tasks(&mut tasks, &shared, ports, &metrics);
        tasks.spawn_local(reload::run(Rc::clone(&shared), source));
        tokio::select! {
            () = shutdown => {}
            ended = tasks.join_next() => {
                tracing::error!(?ended, "node: task ended unexpectedly");
            }
        }
        drain_calls(&shared).await;
        streams::hand_over(&shared);
        tasks.shutdown().await;
        shared.pool.clear();
    });
    served.await;
    tracing::info!(in_flight = shared.in_flight.get(), "node: stopped");
    Ok(())
}

fn spawn_tasks(
    tasks: &mut JoinSet<()>,
    shared: &Rc<SharedState>,
    ports: Ports,
    metrics: &PrometheusHandle,
) {
    let caller = CallerPort {
        shared: Rc::clone(shared),
    };
    tasks.spawn_local(store::follow(Rc::clone(shared)));
    tasks.spawn_local(gossip::run(Rc::clone(shared), ports.heartbeats));
    tasks.spawn_local(sync::serve(Rc::clone(shared), ports.peer));
    tasks.spawn_local(caller.run(ports.caller));
    tasks.spawn_local(operator::run(
        Rc::clone(shared),
        ports.ready,
        metrics.clone(),
    ));
    if let Some(listener) = ports.operator {
        tasks.spawn_local(operator::run(Rc::clone(shared), listener, metrics.clone()));
    }
    let sweeping = Rc::clone(shared);
    tasks.spawn_local(async move {
        let mut ticks = interval(SWEEP_INTERVAL);
        loop {
            ticks.tick().await;
            sweeping.pool.sweep();
            sweeping.log_lines.end_second();
        }
    });
}

/// Waits until new calls are refused and callers have all of their answers.
///
/// Connections close when the last answer is written: the end of a stream may still wait
/// for a slow caller when its call is over.
///
/// Gives up shortly before the process is killed.
async fn drain_calls(shared: &SharedState) {
    let killed_at = Instant::now() + shared.settings().stop_timeout;
    tracing::info!(in_flight = shared.in_flight.get(), "node: planned stop");
    shared.stop.begin();
    shared.peers.borrow_mut().leave();
    let finished = async {
        shared.stop.closed().await;
        let is_busy = || {
            let relays = shared.relays.get();
            relays > 0 || shared.in_flight.get() > 0 || shared.caller_connections.get() > 0
        };
        while is_busy() {
            sleep(STOP_POLL_INTERVAL).await;
        }
        // Lets the last answers leave the process.
        sleep(STOP_POLL_INTERVAL).await;
    };
    tokio::select! {
        () = finished => {}
        () = sleep_until(killed_at - KILL_MARGIN) => {
            tracing::warn!(in_flight = shared.in_flight.get(), "node: calls in flight cut by the stop");
        }
    }
}
