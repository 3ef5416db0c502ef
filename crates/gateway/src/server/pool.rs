//! Connections to servers that are kept for the next call.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use briarbank_core::flow::Instance;
use briarbank_core::ids::ServerName;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use quick_error::quick_error;
use tokio_util::task::TaskTracker;

use crate::server::Connection;

/// Time to connect to a server; within a region the way takes about 2 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Idle time of servers that state none.
const IDLE_USUAL: Duration = Duration::from_secs(5);

/// Time before a server's own limit at which a connection is no longer used.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// Part of the connections that a server admits which the nodes use together.
const CONNECTIONS_RATIO: f64 = 0.8;

quick_error! {
    /// Why a call has no answer.
    #[derive(Debug)]
    pub enum SendError {
        /// Nothing was sent: no connection.
        Connect(error: io::Error) { display("no connection: {error}") }
        /// Nothing was sent: this node has its part of the server's connections.
        Full { display("all connections to the server are in use") }
        /// The call may have run.
        Broken(error: hyper::Error) { display("connection broke: {error}") }
    }
}

impl SendError {
    /// Whether the server can't have seen the call.
    pub(crate) fn is_not_sent(&self) -> bool {
        !matches!(self, Self::Broken(_))
    }
}

/// An answer whose body is still to come, and its connection.
#[derive(Debug)]
pub(crate) struct Sent {
    pub(crate) response: Response<Incoming>,
    pub(crate) connection: Connection,
}

#[derive(Debug, Default)]
struct Slot {
    born_ms: u64,
    open: Rc<Cell<u32>>,
    idle: Vec<Connection>,
}

/// Connections by server.
#[derive(Debug)]
pub(crate) struct Pool {
    tasks: TaskTracker,
    slots: RefCell<HashMap<ServerName, Slot>>,
}

impl Pool {
    pub(crate) fn new(tasks: TaskTracker) -> Self {
        let slots = RefCell::new(HashMap::new());
        Self { tasks, slots }
    }

    /// Sends a call to a server that admits `connections_max`, shared by `sharing_nodes` nodes.
    pub(crate) async fn send(
        &self,
        instance: &Instance,
        mut request: Request<Full<Bytes>>,
        connections_max: u32,
        sharing_nodes: usize,
    ) -> Result<Sent, SendError> {
        let part = f64::from(connections_max) * CONNECTIONS_RATIO / sharing_nodes.max(1) as f64;
        loop {
            let kept = self.take(instance);
            let is_kept = kept.is_some();
            let mut connection = match kept {
                Some(connection) => connection,
                None => self.connect(instance, part.max(1.0) as u32).await?,
            };
            let error = match connection.sender.try_send_request(request).await {
                Ok(response) => {
                    return Ok(Sent {
                        response,
                        connection,
                    });
                }
                Err(error) => error,
            };
            let mut error = error;
            match error.take_message() {
                // The server had closed a kept connection; nothing was written.
                Some(unsent) if is_kept => request = unsent,
                Some(_) => {
                    let error = io::Error::new(io::ErrorKind::NotConnected, error.into_error());
                    return Err(SendError::Connect(error));
                }
                None => return Err(SendError::Broken(error.into_error())),
            }
        }
    }

    fn take(&self, instance: &Instance) -> Option<Connection> {
        let mut slots = self.slots.borrow_mut();
        let slot = slots.get_mut(&instance.id)?;
        if slot.born_ms != instance.born_ms {
            slot.idle.clear();
            slot.born_ms = instance.born_ms;
        }
        let now = Instant::now();
        let is_fresh = |c: &Connection| {
            let age = now.saturating_duration_since(c.idle_since);
            age < c.idle_max && !c.sender.is_closed()
        };
        slot.idle.retain(is_fresh);
        let index = slot.idle.iter().rposition(|c| c.sender.is_ready())?;
        Some(slot.idle.swap_remove(index))
    }

    async fn connect(&self, instance: &Instance, most: u32) -> Result<Connection, SendError> {
        let open = {
            let mut slots = self.slots.borrow_mut();
            let slot = slots.entry(instance.id.clone()).or_insert_with(|| Slot {
                born_ms: instance.born_ms,
                ..Slot::default()
            });
            Rc::clone(&slot.open)
        };
        if open.get() >= most {
            return Err(SendError::Full);
        }
        metrics::counter!("briarbank_server_connections_total").increment(1);
        let stream = briarbank_net::connect(instance.address, CONNECT_TIMEOUT).await;
        let stream = stream.map_err(SendError::Connect)?;
        let connection = Connection::start(stream, &self.tasks, open).await;
        connection
            .map_err(|error| SendError::Connect(io::Error::new(io::ErrorKind::NotConnected, error)))
    }

    /// Keeps a connection whose answer was read to its end.
    pub(crate) fn keep(
        &self,
        instance: &Instance,
        mut connection: Connection,
        idle: Option<Duration>,
    ) {
        connection.idle_since = Instant::now();
        connection.idle_max = idle.map_or(IDLE_USUAL, |idle| idle.saturating_sub(IDLE_MARGIN));
        let mut slots = self.slots.borrow_mut();
        if let Some(slot) = slots.get_mut(&instance.id)
            && slot.born_ms == instance.born_ms
        {
            slot.idle.push(connection);
        }
    }

    /// Closes all idle connections; they may have gone silent.
    pub(crate) fn clear(&self) {
        for slot in self.slots.borrow_mut().values_mut() {
            slot.idle.clear();
        }
    }

    /// Closes idle connections that are too old, and forgets servers without any.
    pub(crate) fn sweep(&self) {
        let now = Instant::now();
        let mut slots = self.slots.borrow_mut();
        for slot in slots.values_mut() {
            slot.idle.retain(|c| {
                let age = now.saturating_duration_since(c.idle_since);
                age < c.idle_max && !c.sender.is_closed()
            });
        }
        slots.retain(|_, slot| slot.open.get() > 0);
    }
}
