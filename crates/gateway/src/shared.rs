//! State shared by all tasks of a node, on a single thread.

use std::cell::{Cell, OnceCell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use briarbank_core::flow::{
    BrittleServers, Dispatcher, EntryBound, Hedging, LoadDirectory, Options, PeerOptions, Peers,
    PrefillDirectory, RemovalLog, RouteTable, ServedStreams, ServerLimits, ServerPaths, Staleness,
    StreamDirectory, Values,
};
use briarbank_net::Admission;
use tokio::net::UdpSocket;
use tokio::sync::{Mutex, Notify};
use tokio_util::task::TaskTracker;

use crate::caller::CallCount;
use crate::dialect::Dialect;
use crate::freshness::Freshness;
use crate::harmful_prompts::BlamedParts;
use crate::loads::Queries;
use crate::log_lines::LogLines;
use crate::pause::PauseDetector;
use crate::server::Pool;
use crate::settings::Settings;
use crate::stop::Stop;
use crate::streams::StreamQueries;
use crate::sync::AnswerCache;

/// Reports of a server that the store misses in the shortest outage.
///
/// Entries lapse after three intervals without a report, of which one may have passed
/// before the failure. After a shorter failure a missing entry was removed.
const OUTAGE_REPORTS: u32 = 2;

/// Time after a change of the live nodes for which homes of servers may be new.
const STABLE_TIME: Duration = Duration::from_secs(5);

/// Time after its start within which a node meets the others of its fleet.
const START_TIME: Duration = Duration::from_secs(10);

/// State of a node; no borrow lives across an await.
pub(crate) struct SharedState {
    settings: RefCell<Rc<Settings>>,
    pub(crate) dialect: Box<dyn Dialect>,
    /// The configuration in force, `None` before the first one.
    pub(crate) table: RefCell<Option<Rc<RouteTable>>>,
    pub(crate) dispatcher: RefCell<Dispatcher>,
    pub(crate) hedging: RefCell<Hedging>,
    pub(crate) values: RefCell<Values>,
    /// Which entries are kept of all that are published.
    pub(crate) entry_bound: RefCell<EntryBound>,
    /// How old the values may be.
    pub(crate) staleness: RefCell<Staleness>,
    pub(crate) removals: RefCell<RemovalLog>,
    /// Whether changes of entries are seen as they happen.
    pub(crate) freshness: Freshness,
    pub(crate) peers: RefCell<Peers>,
    /// Loads of the servers that this node is the home of.
    pub(crate) directory: RefCell<LoadDirectory>,
    /// Prefill speed and cached parts of the servers that this node is the home of.
    pub(crate) prefills: RefCell<PrefillDirectory>,
    /// Limits that servers have named.
    pub(crate) limits: RefCell<ServerLimits>,
    /// Servers that fall over when they have to reject too many calls.
    pub(crate) brittle: RefCell<BrittleServers>,
    /// Parts that calls were refused for at the last heartbeat.
    pub(crate) blamed_parts: RefCell<BlamedParts>,
    pub(crate) queries: RefCell<Queries>,
    /// Versions of streams that callers may take up.
    pub(crate) streams: RefCell<StreamDirectory>,
    /// Streams whose holders this node tells of them.
    pub(crate) served_streams: RefCell<ServedStreams>,
    pub(crate) stream_queries: StreamQueries,
    /// Number of load reports sent so far.
    reports: Cell<u32>,
    /// Socket of the peer port, once it is served.
    pub(crate) socket: OnceCell<Rc<UdpSocket>>,
    pub(crate) pool: Pool,
    /// Servers that are reached through other nodes only.
    pub(crate) paths: RefCell<ServerPaths>,
    /// Number of connections that are relayed for other nodes.
    pub(crate) relays: Cell<usize>,
    /// Bounds what callers' connections hold.
    pub(crate) admission: Admission,
    pub(crate) stop: Stop,
    pub(crate) pause_detector: RefCell<PauseDetector>,
    /// When the process started.
    started_at: Instant,
    pub(crate) tasks: TaskTracker,
    pub(crate) store: StoreState,
    /// Number of large answers with values that are being sent to peers.
    pub(crate) transfers: Cell<usize>,
    pub(crate) answer_cache: RefCell<Option<AnswerCache>>,
    pub(crate) log_lines: Rc<LogLines>,
    /// Number of callers' calls in flight.
    pub(crate) in_flight: CallCount,
    /// Number of callers' open connections.
    pub(crate) caller_connections: Cell<usize>,
}

/// State of the connection to the store.
#[derive(Default)]
pub(crate) struct StoreState {
    /// Whether this node watches the store itself.
    pub(crate) is_watching: Cell<bool>,
    /// Whether the last request failed.
    pub(crate) is_failing: Cell<bool>,
    /// Time of the first failure since the last success.
    pub(crate) failing_since: Cell<Option<Instant>>,
    /// Time of the last success that followed an outage.
    pub(crate) recovered_at: Cell<Option<Instant>>,
    /// Time at which the store was found to have come back from an earlier copy.
    pub(crate) restored_at: Cell<Option<Instant>>,
    /// Time of the last successful request.
    pub(crate) read_at: Cell<Option<Instant>>,
    /// Whether a request has ended since the start, with an answer or without.
    pub(crate) was_asked: Cell<bool>,
    /// Whether an answer of the store is being received.
    pub(crate) is_receiving: Cell<bool>,
    /// Held while the store is asked to confirm the values, so that one answer serves all.
    pub(crate) confirming: Mutex<()>,
    /// When all entries may be read again, if some that were left out are wanted.
    pub(crate) entries_wanted_at: Cell<Option<Instant>>,
    /// Signals that entries are wanted that were left out.
    pub(crate) entries_wanted: Notify,
    /// Time of the last read of all entries, from the store or a peer.
    pub(crate) entries_read_at: Cell<Option<Instant>>,
    /// Signals that the connection to the store may be dead.
    pub(crate) connection_suspect: Notify,
    /// Signals that peers have had newer values for some heartbeats.
    pub(crate) peers_are_newer: Notify,
}

impl StoreState {
    /// Returns whether requests have failed for so long that entries may lapse of servers
    /// that report at this interval.
    pub(crate) fn is_outage(&self, now: Instant, report_interval: Duration) -> bool {
        let outage_min = report_interval * OUTAGE_REPORTS;
        let is_long = |since: Instant| now.saturating_duration_since(since) >= outage_min;
        self.failing_since.get().is_some_and(is_long)
    }
}

impl SharedState {
    pub(crate) fn new(settings: Settings, dialect: Box<dyn Dialect>) -> Rc<Self> {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let incarnation = now.unwrap_or_default().as_millis() as u64;
        let mut peers = Peers::new(
            settings.addresses.peer,
            incarnation,
            settings.seeds.clone(),
            PeerOptions::default(),
        );
        peers.set_link(settings.link_mbps);
        let options = Options {
            retries: settings.retries,
            cold: settings.cold,
            // The other half is for the time until this node has learned it.
            leaving_use: settings.drain_timeout / 2,
            ..Options::default()
        };
        let mut dispatcher = Dispatcher::new(settings.zone.clone(), options);
        dispatcher.set_zone_regions(settings.zone_regions.clone());
        if settings.is_first_start {
            dispatcher.record_first_start();
        }
        let hedging = Hedging::new(settings.hedge_ratio, settings.retries.window);
        let tasks = TaskTracker::new();
        Rc::new(Self {
            admission: Admission::new(settings.caller_bounds),
            pool: Pool::new(tasks.clone(), settings.connection_shares.servers),
            dispatcher: RefCell::new(dispatcher),
            hedging: RefCell::new(hedging),
            settings: RefCell::new(Rc::new(settings)),
            dialect,
            table: RefCell::new(None),
            values: RefCell::default(),
            entry_bound: RefCell::default(),
            staleness: RefCell::default(),
            removals: RefCell::default(),
            freshness: Freshness::default(),
            peers: RefCell::new(peers),
            directory: RefCell::default(),
            prefills: RefCell::default(),
            limits: RefCell::default(),
            brittle: RefCell::default(),
            blamed_parts: RefCell::default(),
            queries: RefCell::default(),
            streams: RefCell::default(),
            served_streams: RefCell::default(),
            stream_queries: StreamQueries::default(),
            reports: Cell::new(0),
            socket: OnceCell::new(),
            paths: RefCell::default(),
            relays: Cell::new(0),
            stop: Stop::default(),
            pause_detector: RefCell::new(PauseDetector::new()),
            started_at: Instant::now(),
            tasks,
            store: StoreState::default(),
            transfers: Cell::new(0),
            answer_cache: RefCell::default(),
            log_lines: Rc::default(),
            in_flight: CallCount::default(),
            caller_connections: Cell::new(0),
        })
    }

    /// Returns the number of the next load report.
    pub(crate) fn next_report(&self) -> u32 {
        let number = self.reports.get().wrapping_add(1);
        self.reports.set(number);
        number
    }

    /// Returns whether servers that no call was reported of have empty caches.
    ///
    /// That is known while the whole fleet has started for the first time and the homes of
    /// the servers are the same since.
    pub(crate) fn caches_began_empty(&self, now: Instant) -> bool {
        let stable_since = self.peers.borrow().stable_since(now);
        let has_settled = now.saturating_duration_since(stable_since) >= STABLE_TIME;
        let is_first = stable_since < self.started_at + START_TIME;
        has_settled && is_first && self.settings.borrow().is_first_start
    }

    /// Returns the settings in force.
    pub(crate) fn settings(&self) -> Rc<Settings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Replaces the settings in force.
    pub(crate) fn set_settings(&self, settings: Settings) {
        *self.settings.borrow_mut() = Rc::new(settings);
    }

    /// Returns the configuration in force.
    pub(crate) fn table(&self) -> Option<Rc<RouteTable>> {
        self.table.borrow().clone()
    }

    /// Returns whether the balancer should send connections to the node.
    pub(crate) fn is_ready(&self) -> bool {
        // Values of peers may be old; the node's own read shows that, if it is possible.
        let is_checked =
            self.store.was_asked.get() || self.staleness.borrow().age(Instant::now()).is_some();
        let has_config = self.table.borrow().is_some();
        has_config
            && is_checked
            && self.dispatcher.borrow().has_servers()
            && !self.stop.is_stopping()
    }
}
