//! State that all tasks of a node share, on its one thread.

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

/// State of a node; borrows never live across an await.
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
    /// Calls from callers that are not answered yet.
    pub(crate) in_flight: Cell<usize>,
}

/// What is believed of the store.
#[derive(Default)]
pub(crate) struct StoreState {
    /// Whether this node follows the store itself.
    pub(crate) is_watching: Cell<bool>,
    /// Whether the last call failed.
    pub(crate) is_lost: Cell<bool>,
    /// When a call succeeded again after a failed one.
    pub(crate) regained_at: Cell<Option<Instant>>,
    /// Last successful call.
    pub(crate) read_at: Cell<Option<Instant>>,
    /// Tells the follower that its connection is deaf.
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

    /// The settings in force.
    pub(crate) fn settings(&self) -> Rc<Settings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Takes over other settings.
    pub(crate) fn set_settings(&self, settings: Settings) {
        *self.settings.borrow_mut() = Rc::new(settings);
    }

    /// The configuration in force.
    pub(crate) fn table(&self) -> Option<Rc<RouteTable>> {
        self.table.borrow().clone()
    }

    /// Whether the balancer should give the node connections.
    pub(crate) fn is_ready(&self) -> bool {
        let has_config = self.table.borrow().is_some();
        has_config && self.dispatcher.borrow().has_servers() && !self.stop.is_stopping()
    }
}
