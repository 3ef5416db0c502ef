//! One connection to another node's peer port.
//!
//! Core messages go one after another on one stream; each forwarded call has
//! a stream of its own. Pings find a connection that has gone silent. The
//! link ends when it breaks or is idle; the next message makes a new one.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use briarbank_core::ids::HostName;
use briarbank_core::node::Event;
use bytes::Bytes;
use h2::client::{self, SendRequest};
use h2::{Ping, PingPong, SendStream};
use http::header::AUTHORIZATION;
use http::{Method, Request};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::links::Reports;
use super::window::write_some;
use super::{MESSAGES_PATH, SharedKey};
use crate::connect::connect;

/// Messages and calls that wait for one link.
const ORDERS_MAX: usize = 256;

/// Time between pings on a link in use.
const PING_INTERVAL: Duration = Duration::from_secs(1);

/// Longest time for a ping's answer.
const PING_TIMEOUT: Duration = Duration::from_secs(3);

/// Time after which a link that nothing uses is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Pause after a failed connect; messages are lost meanwhile.
const HOLD_OFF: Duration = Duration::from_millis(250);

/// What a link is asked to do.
#[derive(Debug)]
pub(super) enum LinkOrder {
    /// Send an encoded and framed core message.
    Message(Bytes),
    /// Give access for a stream of its own.
    Open(oneshot::Sender<Access>),
}

/// Access to a link for one call; the link stays open while it is held.
#[derive(Debug)]
pub(super) struct Access {
    pub(super) sender: SendRequest<Bytes>,
    pub(super) in_use: InUse,
}

/// Held while a call uses a link.
#[derive(Clone, Debug)]
pub(crate) struct InUse {
    #[expect(dead_code, reason = "its count is the sign")]
    count: Arc<()>,
}

/// Handle to a link.
#[derive(Clone, Debug)]
pub(crate) struct Link {
    address: SocketAddr,
    orders: mpsc::Sender<LinkOrder>,
}

pub(super) fn channel(address: SocketAddr) -> (Link, mpsc::Receiver<LinkOrder>) {
    let (orders, receiver) = mpsc::channel(ORDERS_MAX);
    (Link { address, orders }, receiver)
}

impl Link {
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(super) fn ended(&self) -> bool {
        self.orders.is_closed()
    }

    /// Sends a framed message; it is lost when too many wait.
    pub(super) fn send(&self, framed: Bytes) {
        if self.orders.try_send(LinkOrder::Message(framed)).is_err() {
            metrics::counter!("briarbank_peer_messages_dropped_total").increment(1);
        }
    }

    /// Access for a stream of its own; `None` when the host can't be reached.
    pub(super) async fn open(&self) -> Option<Access> {
        let (answer, receiver) = oneshot::channel();
        self.orders.send(LinkOrder::Open(answer)).await.ok()?;
        receiver.await.ok()
    }
}

/// The task behind a link.
pub(super) struct LinkTask {
    pub(super) host: HostName,
    pub(super) address: SocketAddr,
    pub(super) key: SharedKey,
    pub(super) orders: mpsc::Receiver<LinkOrder>,
    pub(super) end: CancellationToken,
    pub(super) reports: Reports,
    pub(super) tasks: TaskTracker,
}

impl LinkTask {
    pub(super) async fn run(mut self) {
        let end = self.end.clone();
        tokio::select! {
            () = end.cancelled() => {}
            () = self.serve() => {}
        }
    }

    async fn serve(&mut self) {
        let Ok(stream) = connect(self.address).await else {
            tracing::debug!(host = %self.host, "peer: connect failed");
            self.lost().await;
            self.hold_off().await;
            return;
        };
        let Ok((sender, connection)) = client::handshake(stream).await else {
            self.lost().await;
            return;
        };
        let mut connection = connection;
        let pings = connection.ping_pong();
        let driver = self.tasks.spawn(async move {
            let _ = connection.await;
        });
        let mut session = Session {
            sender,
            pings,
            calls: Arc::new(()),
            messages: None,
            outgoing: Bytes::new(),
            ping_sent: None,
            last_use: Instant::now(),
        };
        let idle = session.run(self).await;
        driver.abort();
        if !idle {
            tracing::debug!(host = %self.host, "peer: link broke");
            self.lost().await;
        }
    }

    async fn lost(&self) {
        let _ = self.reports.send(Event::PeerLost(self.host.clone())).await;
    }

    /// Lets what is asked meanwhile fail at once.
    async fn hold_off(&mut self) {
        let pause = sleep(HOLD_OFF);
        tokio::pin!(pause);
        loop {
            tokio::select! {
                () = &mut pause => return,
                order = self.orders.recv() => if order.is_none() { return },
            }
        }
    }

    fn messages_request(&self) -> Option<Request<()>> {
        let uri = format!("http://{}{MESSAGES_PATH}", self.address);
        let request = Request::builder()
            .method(Method::POST)
            .uri(uri)
            .header(AUTHORIZATION, self.key.header()?);
        request.body(()).ok()
    }
}

/// One connection while it lasts.
struct Session {
    sender: SendRequest<Bytes>,
    pings: Option<PingPong>,
    calls: Arc<()>,
    messages: Option<SendStream<Bytes>>,
    outgoing: Bytes,
    ping_sent: Option<Instant>,
    last_use: Instant,
}

impl Session {
    /// Runs until the link is idle (true) or broken (false).
    async fn run(&mut self, task: &mut LinkTask) -> bool {
        let mut ticks = interval(PING_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let sending = !self.outgoing.is_empty();
            tokio::select! {
                order = task.orders.recv(), if !sending => match order {
                    None => return true,
                    Some(order) => if !self.order(order, task).await { return false },
                },
                sent = write(&mut self.messages, &mut self.outgoing), if sending => {
                    if !sent { return false }
                }
                pong = pong(&mut self.pings), if self.ping_sent.is_some() => {
                    if !pong { return false }
                    self.ping_sent = None;
                }
                _ = ticks.tick() => {
                    if self.idle() { return true }
                    if !self.ping() { return false }
                }
            }
        }
    }

    async fn order(&mut self, order: LinkOrder, task: &LinkTask) -> bool {
        self.last_use = Instant::now();
        match order {
            LinkOrder::Message(framed) => {
                if self.messages.is_none() {
                    self.messages = self.open_messages(task).await;
                }
                self.outgoing = framed;
                self.messages.is_some()
            }
            LinkOrder::Open(answer) => {
                let _ = answer.send(Access {
                    sender: self.sender.clone(),
                    in_use: InUse {
                        count: Arc::clone(&self.calls),
                    },
                });
                true
            }
        }
    }

    async fn open_messages(&mut self, task: &LinkTask) -> Option<SendStream<Bytes>> {
        let request = task.messages_request()?;
        let ready = self.sender.clone().ready();
        let mut sender = timeout(PING_TIMEOUT, ready).await.ok()?.ok()?;
        let (_, stream) = sender.send_request(request, false).ok()?;
        Some(stream)
    }

    /// Calls that use the link.
    fn calls(&self) -> usize {
        Arc::strong_count(&self.calls) - 1
    }

    fn idle(&self) -> bool {
        self.calls() == 0 && self.last_use.elapsed() > IDLE_TIMEOUT
    }

    /// Sends a ping when the link is in use; false when the last one is overdue.
    fn ping(&mut self) -> bool {
        if let Some(sent) = self.ping_sent {
            return sent.elapsed() < PING_TIMEOUT;
        }
        let used = self.calls() > 0 || self.last_use.elapsed() < PING_INTERVAL * 2;
        let Some(pings) = self.pings.as_mut().filter(|_| used) else {
            return true;
        };
        self.ping_sent = Some(Instant::now());
        pings.send_ping(Ping::opaque()).is_ok()
    }
}

async fn pong(pings: &mut Option<PingPong>) -> bool {
    poll_fn(|cx| match pings.as_mut() {
        None => Poll::Pending,
        Some(pings) => pings.poll_pong(cx).map(|p| p.is_ok()),
    })
    .await
}

async fn write(messages: &mut Option<SendStream<Bytes>>, outgoing: &mut Bytes) -> bool {
    match messages {
        Some(stream) => write_some(stream, outgoing).await.is_ok(),
        None => false,
    }
}
