//! State shared by all tasks of a node, on a single thread.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use briarbank_core::flow::{Dispatcher, Mirror, Options, PeerOptions, Peers, RouteTable};
use tokio::sync::Notify;
use tokio_util::task::TaskTracker;

use crate::dialect::Dialect;
use crate::log_lines::LogLines;
use crate::server::Pool;
use crate::settings::Settings;
use crate::stop::Stop;

/// State of a node; no borrow lives across an await.
pub(crate) struct SharedState {
    settings: RefCell<Rc<Settings>>,
    pub(crate) dialect: Box<dyn Dialect>,
    /// The configuration in force, `None` before the first one.
    pub(crate) table: RefCell<Option<Rc<RouteTable>>>,
    pub(crate) dispatcher: RefCell<Dispatcher>,
    pub(crate) mirror: RefCell<Mirror>,
    pub(crate) peers: RefCell<Peers>,
    pub(crate) pool: Pool,
    pub(crate) stop: Stop,
    pub(crate) tasks: TaskTracker,
    pub(crate) store: StoreState,
    pub(crate) log_lines: Rc<LogLines>,
    /// Number of callers' calls in flight.
    pub(crate) in_flight: Cell<usize>,
}

/// State of the connection to the store.
#[derive(Default)]
pub(crate) struct StoreState {
    /// Whether this node watches the store itself.
    pub(crate) is_watching: Cell<bool>,
    /// Whether the last request failed.
    pub(crate) is_failing: Cell<bool>,
    /// Time of the last success that followed a failure.
    pub(crate) recovered_at: Cell<Option<Instant>>,
    /// Time of the last successful request.
    pub(crate) read_at: Cell<Option<Instant>>,
    /// Signals that the connection to the store may be dead.
    pub(crate) connection_suspect: Notify,
}

impl SharedState {
    pub(crate) fn new(settings: Settings, dialect: Box<dyn Dialect>) -> Rc<Self> {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let incarnation = now.unwrap_or_default().as_millis() as u64;
        let peers = Peers::new(
            settings.addresses.peer,
            incarnation,
            settings.seeds.clone(),
            PeerOptions::default(),
        );
        let options = Options {
            retries: settings.retries,
            ..Options::default()
        };
        let tasks = TaskTracker::new();
        Rc::new(Self {
            dispatcher: RefCell::new(Dispatcher::new(settings.zone.clone(), options)),
            settings: RefCell::new(Rc::new(settings)),
            dialect,
            table: RefCell::new(None),
            mirror: RefCell::new(Mirror::default()),
            peers: RefCell::new(peers),
            pool: Pool::new(tasks.clone()),
            stop: Stop::default(),
            tasks,
            store: StoreState::default(),
            log_lines: Rc::default(),
            in_flight: Cell::new(0),
        })
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
        let has_config = self.table.borrow().is_some();
        has_config && self.dispatcher.borrow().has_servers() && !self.stop.is_stopping()
    }
}
