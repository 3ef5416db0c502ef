//! The parent of all tasks of a node.

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
use crate::call::{CallParts, Calls};
use crate::caller::CallerPort;
use crate::control::Control;
use crate::operator::OperatorPort;
use crate::peer::{Links, PeerPort, Reports, SharedKey};
use crate::platform::{HttpPlatform, Platform};
use crate::recorder;
use crate::server::Pool;

/// Reports of peers that wait for the control actor.
const REPORTS_MAX: usize = 256;

/// Time for the last word to callers whose calls are cut.
const CUT_TIMEOUT: Duration = Duration::from_secs(1);

/// Runs a node until `shutdown` resolves and the planned stop is over.
///
/// # Errors
///
/// A port can't be opened, or the control actor ended.
pub async fn run(settings: NodeSettings, shutdown: impl Future<Output = ()>) -> Result<(), Error> {
    let platform = HttpPlatform::new(settings.host.clone(), settings.platform_addresses.clone());
    run_with_platform(settings, Arc::new(platform), shutdown).await
}

/// Runs a node with another source of the published values.
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
    // The core's state passes through this future: it lives on the heap.
    let daemon = Box::pin(Daemon::start(settings, platform, listeners)).await?;
    daemon.serve(shutdown).await
}

/// Open ports.
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

/// Signs that all tasks watch.
#[derive(Clone, Debug, Default)]
struct Signs {
    /// A planned stop is wanted.
    stopping: CancellationToken,
    /// The planned stop is over.
    stopped: CancellationToken,
    /// Calls that are still in flight are to be cut.
    cut: CancellationToken,
    /// All tasks are to end.
    end: CancellationToken,
}

/// All tasks of a node.
struct Daemon {
    control: Control,
    actor: JoinHandle<()>,
    tasks: TaskTracker,
    /// Tasks that answer callers and other nodes.
    serving: TaskTracker,
    signs: Signs,
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
        let signs = Signs::default();
        let key = SharedKey::new(&settings.shared_key);
        let (reports, receiver) = mpsc::channel(REPORTS_MAX);
        let links = Links::new(
            key.clone(),
            tasks.clone(),
            signs.end.clone(),
            reports.clone(),
        );
        let (watching, wanted) = watch::channel(true);
        let identity = identity(&settings);
        let actions = Actions::new(
            (settings.host.clone(), settings.peer_address),
            identity.incarnation,
            links.clone(),
            watching,
            signs.stopped.clone(),
        );
        let options = Options::default();
        let tick = options.tick;
        let (control, actor) = Control::start(node(identity, options), actions).await?;
        let pool = Pool::new(tasks.clone(), signs.end.clone());
        let background = Background {
            control: control.clone(),
            tasks: tasks.clone(),
            end: signs.end.clone(),
        };
        background.start(tick, pool.clone(), receiver);
        background.watch(&platform, &wanted);
        let ports = Ports {
            control: control.clone(),
            tasks: tasks.clone(),
            serving: serving.clone(),
            signs: signs.clone(),
            key,
        };
        ports.open(&settings, listeners, links, pool, reports);
        tracing::info!(host = %settings.host, "node: started");
        Ok(Self {
            control,
            actor,
            tasks,
            serving,
            signs,
            drain_timeout: Duration::from_millis(settings.drain_timeout_ms),
        })
    }

    async fn serve(mut self, shutdown: impl Future<Output = ()>) -> Result<(), Error> {
        let alive = tokio::select! {
            () = shutdown => true,
            () = self.signs.stopping.cancelled() => true,
            _ = &mut self.actor => false,
        };
        if alive {
            self.stop().await;
        }
        self.signs.cut.cancel();
        self.signs.end.cancel();
        self.control.end();
        self.serving.close();
        self.serving.wait().await;
        self.tasks.close();
        self.tasks.wait().await;
        if !alive {
            return Err(Error::ControlEnded);
        }
        let _ = self.actor.await;
        tracing::info!("node: stopped");
        Ok(())
    }

    /// Lets what is in flight finish, within the bound.
    async fn stop(&self) {
        tracing::info!("node: stopping");
        self.signs.stopping.cancel();
        self.control.event(Event::Stop);
        if timeout(self.drain_timeout, self.finish()).await.is_ok() {
            return;
        }
        tracing::warn!("node: drain timeout reached with calls in flight");
        self.signs.cut.cancel();
        self.serving.close();
        let _ = timeout(CUT_TIMEOUT, self.serving.wait()).await;
    }

    /// Waits until the core has nothing left and all answers are out.
    async fn finish(&self) {
        self.signs.stopped.cancelled().await;
        self.serving.close();
        self.serving.wait().await;
    }
}

/// The ports and what they share.
struct Ports {
    control: Control,
    tasks: TaskTracker,
    serving: TaskTracker,
    signs: Signs,
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
        let calls = Calls::new(CallParts {
            host: settings.host.clone(),
            control: self.control.clone(),
            links,
            pool,
            tasks: self.tasks.clone(),
            cut: self.signs.cut.clone(),
            limits: settings.limits.clone(),
        });
        let operator = OperatorPort {
            control: self.control.clone(),
            key: self.key.clone(),
            metrics: recorder::install(),
            drain: self.signs.stopping.clone(),
            tasks: self.tasks.clone(),
            end: self.signs.end.clone(),
        };
        let peer = PeerPort {
            host: settings.host.clone(),
            key: self.key,
            calls: calls.clone(),
            reports,
            tasks: self.tasks.clone(),
            serving: self.serving.clone(),
            end: self.signs.end.clone(),
        };
        let caller = CallerPort {
            calls,
            control: self.control,
            limits: settings.limits.clone(),
            serving: self.serving,
            stopping: self.signs.stopping,
            end: self.signs.end,
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

fn node(identity: Identity, options: Options) -> Node {
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
