//! Startup, shutdown and task ownership of a node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use briarbank_config::{DocumentDecoder, NodeSettings};
use briarbank_core::ids::Incarnation;
use briarbank_core::node::{Event, Identity, Node, Options};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::Error;
use crate::actions::Actions;
use crate::background::Background;
use crate::call::{CallContext, Calls};
use crate::caller::CallerPort;
use crate::control::Control;
use crate::operator::OperatorPort;
use crate::peer::{Links, PeerPort, Reports, SharedKey};
use crate::platform::{HttpPlatform, Platform};
use crate::recorder;
use crate::server::Pool;

/// Queued reports from peers to the control actor.
const REPORTS_MAX: usize = 256;

/// Longest time to send the refusals of aborted calls.
const ABORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Runs a node until `shutdown` resolves and the graceful shutdown is complete.
///
/// # Errors
///
/// A port can't be opened, or the control actor ended.
pub async fn run(settings: NodeSettings, shutdown: impl Future<Output = ()>) -> Result<(), Error> {
    let platform = HttpPlatform::new(settings.host.clone(), settings.platform_addresses.clone());
    run_with_platform(settings, Arc::new(platform), shutdown).await
}

/// Runs a node with another source of published values.
///
/// # Errors
///
/// As for [`run`].
pub async fn run_with_platform(
    settings: NodeSettings,
    platform: Arc<dyn Platform>,
    shutdown: impl Future<Output = ()>,
) -> Result<(), Error> {
    let listeners = Listeners::bind(&settings).await?;
    // Boxed because the core's state, which this future holds, is large.
    let daemon = Box::pin(Daemon::start(settings, platform, listeners)).await?;
    daemon.serve(shutdown).await
}

/// Bound listeners of the three ports.
struct Listeners {
    caller: TcpListener,
    peer: TcpListener,
    operator: TcpListener,
}

impl Listeners {
    async fn bind(settings: &NodeSettings) -> Result<Self, Error> {
        Ok(Self {
            caller: bind("caller", settings.caller_address).await?,
            peer: bind("peer", settings.peer_address).await?,
            operator: bind("operator", settings.operator_address).await?,
        })
    }
}

async fn bind(port: &'static str, address: SocketAddr) -> Result<TcpListener, Error> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|e| Error::Bind(port, address, e))
}

/// Shutdown signals that all tasks watch.
#[derive(Clone, Debug, Default)]
struct Signals {
    /// A graceful shutdown was requested.
    stopping: CancellationToken,
    /// The core completed the graceful shutdown.
    stopped: CancellationToken,
    /// Calls that are still in flight must be aborted.
    abort: CancellationToken,
    /// All tasks must end.
    end: CancellationToken,
}

/// A running node and its tasks.
struct Daemon {
    control: Control,
    actor: JoinHandle<()>,
    tasks: TaskTracker,
    /// Tasks that serve callers and other nodes.
    serving: TaskTracker,
    signals: Signals,
    drain_timeout: Duration,
}

impl Daemon {
    async fn start(
        settings: NodeSettings,
        platform: Arc<dyn Platform>,
        listeners: Listeners,
    ) -> Result<Self, Error> {
        let tasks = TaskTracker::new();
        let serving = TaskTracker::new();
        let signals = Signals::default();
        let key = SharedKey::new(&settings.shared_key);
        let (reports, receiver) = mpsc::channel(REPORTS_MAX);
        let links = Links::new(
            key.clone(),
            tasks.clone(),
            signals.end.clone(),
            reports.clone(),
        );
        let (watch_sender, watch_wanted) = watch::channel(true);
        let identity = identity(&settings);
        let actions = Actions::new(
            (settings.host.clone(), settings.peer_address),
            identity.incarnation,
            links.clone(),
            watch_sender,
            signals.stopped.clone(),
        );
        let options = Options::default();
        let tick = options.tick;
        let (control, actor) = Control::start(new_node(identity, options), actions).await?;
        let pool = Pool::new(tasks.clone(), signals.end.clone());
        let background = Background {
            control: control.clone(),
            tasks: tasks.clone(),
            end: signals.end.clone(),
        };
        background.start(tick, pool.clone(), receiver);
        background.watch(&platform, &watch_wanted);
        let ports = Ports {
            control: control.clone(),
            tasks: tasks.clone(),
            serving: serving.clone(),
            signals: signals.clone(),
            key,
        };
        ports.open(&settings, listeners, links, pool, reports);
        tracing::info!(host = %settings.host, "node: started");
        Ok(Self {
            control,
            actor,
            tasks,
            serving,
            signals,
            drain_timeout: Duration::from_millis(settings.drain_timeout_ms),
        })
    }

    async fn serve(mut self, shutdown: impl Future<Output = ()>) -> Result<(), Error> {
        let control_alive = tokio::select! {
            () = shutdown => true,
            () = self.signals.stopping.cancelled() => true,
            _ = &mut self.actor => false,
        };
        if control_alive {
            self.drain_calls().await;
        }
        self.signals.abort.cancel();
        self.signals.end.cancel();
        self.control.end();
        self.serving.close();
        self.serving.wait().await;
        self.tasks.close();
        self.tasks.wait().await;
        if !control_alive {
            return Err(Error::ControlEnded);
        }
        let _ = self.actor.await;
        tracing::info!("node: stopped");
        Ok(())
    }

    /// Waits for calls in flight, up to the drain timeout, then aborts the rest.
    async fn drain_calls(&self) {
        tracing::info!("node: stopping");
        self.signals.stopping.cancel();
        self.control.send_event(Event::Stop);
        if timeout(self.drain_timeout, self.wait_until_drained())
            .await
            .is_ok()
        {
            return;
        }
        tracing::warn!("node: drain timeout reached with calls in flight");
        self.signals.abort.cancel();
        self.serving.close();
        let _ = timeout(ABORT_TIMEOUT, self.serving.wait()).await;
    }

    /// Waits until the core has no calls left and all answers were sent.
    async fn wait_until_drained(&self) {
        self.signals.stopped.cancelled().await;
        self.serving.close();
        self.serving.wait().await;
    }
}

/// State that the ports share.
struct Ports {
    control: Control,
    tasks: TaskTracker,
    serving: TaskTracker,
    signals: Signals,
    key: SharedKey,
}

impl Ports {
    fn open(
        self,
        settings: &NodeSettings,
        listeners: Listeners,
        links: Links,
        pool: Pool,
        reports: Reports,
    ) {
        let calls = Calls::new(CallContext {
            host: settings.host.clone(),
            control: self.control.clone(),
            links,
            pool,
            tasks: self.tasks.clone(),
            abort: self.signals.abort.clone(),
            limits: settings.limits.clone(),
        });
        let operator = OperatorPort {
            control: self.control.clone(),
            key: self.key.clone(),
            metrics: recorder::install(),
            drain: self.signals.stopping.clone(),
            tasks: self.tasks.clone(),
            end: self.signals.end.clone(),
        };
        let peer = PeerPort {
            host: settings.host.clone(),
            key: self.key,
            calls: calls.clone(),
            reports,
            tasks: self.tasks.clone(),
            serving: self.serving.clone(),
            end: self.signals.end.clone(),
        };
        let caller = CallerPort {
            calls,
            control: self.control,
            limits: settings.limits.clone(),
            serving: self.serving,
            stopping: self.signals.stopping,
            end: self.signals.end,
        };
        self.tasks.spawn(operator.run(listeners.operator));
        self.tasks.spawn(peer.run(listeners.peer));
        let serving = caller.serving.clone();
        serving.spawn(caller.run(listeners.caller));
    }
}

fn identity(settings: &NodeSettings) -> Identity {
    Identity {
        host: settings.host.clone(),
        zone: settings.zone.clone(),
        incarnation: Incarnation(rand::random()),
    }
}

fn new_node(identity: Identity, options: Options) -> Node {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH);
    let wall_ms = wall.map_or(0, |w| w.as_millis() as u64);
    Node::new(
        identity,
        options,
        Box::new(DocumentDecoder),
        Instant::now(),
        wall_ms,
        rand::random(),
    )
}
