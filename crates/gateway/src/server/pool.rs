//! Pool of connections to servers.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use briarbank_core::flow::Instance;
use briarbank_core::ids::ServerName;
use http::{Request, Response};
use hyper::body::Incoming;
use quick_error::quick_error;
use tokio_util::task::TaskTracker;

use crate::server::{Connection, Dial, RequestBody};

/// Idle timeout assumed for servers that announce none.
const IDLE_DEFAULT: Duration = Duration::from_secs(5);

/// Time before the server's idle timeout at which a connection is no longer reused.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// Fraction of the connections that a server admits which all nodes together use.
const CONNECTIONS_RATIO: f64 = 0.8;

quick_error! {
    /// Error of a call without an answer.
    #[derive(Debug)]
    pub enum SendError {
        /// Nothing was sent: the connect failed.
        Connect(error: io::Error) { display("connecting to the server failed: {error}") }
        /// Nothing was sent: this node uses its whole share of the server's connections.
        Full { display("all connections allowed to the server are in use") }
        /// Nothing was sent: the server's zone was evacuated meanwhile.
        Evacuated { display("zone of the server is evacuated") }
        /// The connection broke; the call may have run.
        Broken(error: hyper::Error) { display("connection to the server broke: {error}") }
    }
}

impl SendError {
    /// Returns whether nothing of the call can have reached the server.
    pub(crate) fn is_not_sent(&self) -> bool {
        !matches!(self, Self::Broken(_))
    }
}

/// An answer whose body is not read yet, and its connection.
#[derive(Debug)]
pub(crate) struct Sent {
    pub(crate) response: Response<Incoming>,
    pub(crate) connection: Connection,
}

/// Connections to one server process.
#[derive(Debug)]
struct ServerConnections {
    born_ms: u64,
    /// Number of open connections, idle ones included.
    open: Rc<Cell<u32>>,
    idle: Vec<Connection>,
}

impl ServerConnections {
    fn new(instance: &Instance) -> Self {
        Self {
            born_ms: instance.born_ms,
            open: Rc::default(),
            idle: Vec::new(),
        }
    }
}

/// Idle connections and connection counts by server.
#[derive(Debug)]
pub(crate) struct Pool {
    tasks: TaskTracker,
    /// Largest number of connections to all servers together.
    connections_max: Cell<usize>,
    open: Rc<Cell<u32>>,
    servers: RefCell<HashMap<ServerName, ServerConnections>>,
}

impl Pool {
    /// Creates a pool of at most `connections_max` connections.
    pub(crate) fn new(tasks: TaskTracker, connections_max: usize) -> Self {
        Self {
            tasks,
            connections_max: Cell::new(connections_max),
            open: Rc::default(),
            servers: RefCell::new(HashMap::new()),
        }
    }

    /// Returns the number of open connections.
    pub(crate) fn open(&self) -> u32 {
        self.open.get()
    }

    /// Replaces the largest number of connections.
    pub(crate) fn set_connections_max(&self, connections_max: usize) {
        self.connections_max.set(connections_max);
    }

    /// Sends a call to a server that admits `connections_max` from `sharing_nodes` nodes,
    /// on an idle connection or one that is opened by `dial`.
    ///
    /// Nothing is sent if the server may have no calls any more when a connection is open.
    pub(crate) async fn send(
        &self,
        dial: &dyn Dial,
        instance: &Instance,
        mut request: Request<RequestBody>,
        connections_max: u32,
        sharing_nodes: usize,
        is_evacuated: impl Fn() -> bool,
    ) -> Result<Sent, SendError> {
        let share = f64::from(connections_max) * CONNECTIONS_RATIO / sharing_nodes.max(1) as f64;
        loop {
            let idle = self.take(instance);
            let is_reused = idle.is_some();
            let mut connection = match idle {
                Some(connection) => connection,
                None => self.connect(dial, instance, share.max(1.0) as u32).await?,
            };
            if is_evacuated() {
                return Err(SendError::Evacuated);
            }
            connection.head_limit.expect_head();
            let error = match connection.sender.try_send_request(request).await {
                Ok(response) => {
                    connection.head_limit.end_head();
                    return Ok(Sent {
                        response,
                        connection,
                    });
                }
                Err(error) => error,
            };
            let mut error = error;
            match error.take_message() {
                // The server closed the idle connection; nothing was written.
                Some(unsent) if is_reused => request = unsent,
                Some(_) => {
                    let error = io::Error::new(io::ErrorKind::NotConnected, error.into_error());
                    return Err(SendError::Connect(error));
                }
                None => return Err(SendError::Broken(error.into_error())),
            }
        }
    }

    /// Removes an idle connection that is still usable.
    fn take(&self, instance: &Instance) -> Option<Connection> {
        let mut servers = self.servers.borrow_mut();
        let server = servers.get_mut(&instance.id)?;
        if server.born_ms != instance.born_ms {
            // Connections to the process before don't count at this one.
            *server = ServerConnections::new(instance);
        }
        let now = Instant::now();
        let is_fresh = |c: &Connection| {
            let age = now.saturating_duration_since(c.idle_since);
            age < c.idle_max && !c.sender.is_closed()
        };
        server.idle.retain(is_fresh);
        let index = server.idle.iter().rposition(|c| c.sender.is_ready())?;
        Some(server.idle.swap_remove(index))
    }

    /// Opens a connection unless `connections_max` are open.
    async fn connect(
        &self,
        dial: &dyn Dial,
        instance: &Instance,
        connections_max: u32,
    ) -> Result<Connection, SendError> {
        let open = {
            let mut servers = self.servers.borrow_mut();
            let server = servers
                .entry(instance.id.clone())
                .or_insert_with(|| ServerConnections::new(instance));
            Rc::clone(&server.open)
        };
        if open.get() >= connections_max || !self.make_room() {
            return Err(SendError::Full);
        }
        metrics::counter!("briarbank_server_connections_total").increment(1);
        let stream = dial.connect(instance).await.map_err(|error| {
            metrics::counter!("briarbank_server_connects_failed_total").increment(1);
            SendError::Connect(error)
        })?;
        let open = [open, Rc::clone(&self.open)];
        let connection = Connection::start(stream, &self.tasks, open).await;
        connection
            .map_err(|error| SendError::Connect(io::Error::new(io::ErrorKind::NotConnected, error)))
    }

    /// Closes the connection that has been idle longest if the pool is full; returns whether
    /// there is room for another one.
    fn make_room(&self) -> bool {
        let is_full = || self.open.get() as usize >= self.connections_max.get();
        if !is_full() {
            return true;
        }
        let mut servers = self.servers.borrow_mut();
        let longest = servers
            .values_mut()
            .filter_map(|server| {
                let idle = server.idle.iter().enumerate();
                let longest = idle.min_by_key(|(_, c)| c.idle_since);
                longest
                    .map(|(index, c)| (c.idle_since, index))
                    .zip(Some(server))
            })
            .min_by_key(|((idle_since, _), _)| *idle_since);
        if let Some(((_, index), server)) = longest {
            server.idle.swap_remove(index);
        }
        !is_full()
    }

    /// Returns a connection to the pool after its answer was read to the end.
    ///
    /// One through another node is closed, so that the node can stop, and since the direct
    /// path may be back.
    pub(crate) fn put_idle(
        &self,
        instance: &Instance,
        mut connection: Connection,
        idle: Option<Duration>,
    ) {
        if connection.is_relayed {
            return;
        }
        connection.idle_since = Instant::now();
        connection.idle_max = idle.map_or(IDLE_DEFAULT, |idle| idle.saturating_sub(IDLE_MARGIN));
        let mut servers = self.servers.borrow_mut();
        if let Some(server) = servers.get_mut(&instance.id)
            && server.born_ms == instance.born_ms
        {
            server.idle.push(connection);
        }
    }

    /// Closes all idle connections, whose paths may be dead.
    pub(crate) fn clear(&self) {
        for server in self.servers.borrow_mut().values_mut() {
            server.idle.clear();
        }
    }

    /// Closes the idle connections to a server, whose path is broken.
    pub(crate) fn close_idle(&self, server: &ServerName) {
        if let Some(server) = self.servers.borrow_mut().get_mut(server) {
            server.idle.clear();
        }
    }

    /// Closes idle connections past their timeout and removes servers without connections.
    pub(crate) fn sweep(&self) {
        let now = Instant::now();
        let mut servers = self.servers.borrow_mut();
        for server in servers.values_mut() {
            server.idle.retain(|c| {
                let age = now.saturating_duration_since(c.idle_since);
                age < c.idle_max && !c.sender.is_closed()
            });
        }
        servers.retain(|_, server| server.open.get() > 0);
    }
}

#[cfg(test)]
mod tests {
    use std::cell::Cell;
    use std::io;
    use std::rc::Rc;
    use std::time::Duration;

    use briarbank_core::flow::Instance;
    use briarbank_net::HeldBytes;
    use bytes::Bytes;
    use futures_util::future::LocalBoxFuture;
    use http::Request;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::{TcpListener, TcpStream};
    use tokio::task::LocalSet;
    use tokio::time::timeout;
    use tokio_util::either::Either;
    use tokio_util::task::TaskTracker;

    use super::{Pool, SendError};
    use crate::server::{Dial, RequestBody, ServerStream};

    /// Opens direct connections only.
    struct Direct;

    impl Dial for Direct {
        fn connect<'a>(
            &'a self,
            instance: &'a Instance,
        ) -> LocalBoxFuture<'a, io::Result<ServerStream>> {
            let stream = TcpStream::connect(instance.address);
            Box::pin(async { Ok(Either::Left(stream.await?)) })
        }
    }

    /// Guards against a call that reaches a server after its zone's evacuation has begun: it
    /// was placed before, and waited for its connection meanwhile.
    #[tokio::test(flavor = "current_thread")]
    async fn nothing_is_sent_when_the_zone_is_evacuated_during_the_connect() {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let instance = instance_at("a", &listener);
        let pool = Pool::new(TaskTracker::new(), 8);
        let is_connected = Cell::new(false);
        LocalSet::new()
            .run_until(async {
                let sending = pool.send(&Direct, &instance, request(), 8, 1, || is_connected.get());
                let receiving = async {
                    let (mut stream, _) = listener.accept().await.unwrap();
                    is_connected.set(true);
                    let mut received = Vec::new();
                    let read = stream.read_to_end(&mut received);
                    let _ = timeout(Duration::from_millis(500), read).await;
                    received
                };
                // The server accepts before the router learns that it is connected.
                let (received, sent) = tokio::join!(biased; receiving, sending);
                assert!(matches!(sent, Err(SendError::Evacuated)), "{sent:?}");
                assert!(sent.unwrap_err().is_not_sent());
                assert_eq!(received, b"");
            })
            .await;
    }

    fn instance_at(id: &str, listener: &TcpListener) -> Instance {
        Instance {
            id: id.into(),
            born_ms: 0,
            service: "desk".into(),
            version: "v1".into(),
            address: listener.local_addr().unwrap(),
            zone: "recife".into(),
            slots: 8,
            is_draining: false,
            cold_ms: 0,
        }
    }

    fn request() -> Request<RequestBody> {
        let body = HeldBytes::from(Bytes::from_static(b"body"));
        Request::new(RequestBody::from(Rc::new(body)))
    }

    /// Answers one request on one connection and returns it.
    async fn answer_one(listener: &TcpListener) -> TcpStream {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut received = [0; 1_024];
        assert!(stream.read(&mut received).await.unwrap() > 0);
        let answer = b"HTTP/1.1 200 x\r\nContent-Length: 0\r\n\r\n";
        stream.write_all(answer).await.unwrap();
        stream
    }

    /// Guards against connections to many servers that use up the descriptors of the process.
    #[tokio::test(flavor = "current_thread")]
    async fn all_connections_together_are_bounded_and_idle_ones_make_room() {
        let mut servers = Vec::new();
        for id in ["a", "b", "c"] {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            servers.push((instance_at(id, &listener), listener));
        }
        let [(first, a), (second, b), (third, _c)] = servers.as_slice() else {
            unreachable!("there are three servers");
        };
        let pool = Pool::new(TaskTracker::new(), 1);
        LocalSet::new()
            .run_until(async {
                let send = |instance| pool.send(&Direct, instance, request(), 8, 1, || false);
                let (mut idle, answered) = tokio::join!(answer_one(a), send(first));
                pool.put_idle(first, answered.unwrap().connection, None);
                let (_busy, answered) = tokio::join!(answer_one(b), send(second));
                let answered = answered.unwrap();
                let closed = timeout(Duration::from_secs(5), idle.read(&mut [0])).await;
                assert_eq!(closed.unwrap().unwrap(), 0);
                assert!(matches!(send(third).await, Err(SendError::Full)));
                drop(answered);
            })
            .await;
    }
}
