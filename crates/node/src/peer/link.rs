//! Connection to another node's peer port.
//!
//! Core messages share one stream and are sent in order; each forwarded call
//! has its own stream. Pings detect a silent connection. The link ends when it
//! fails or is idle; the next message creates a new one.

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
use super::window::write_available;
use super::{MESSAGES_PATH, SharedKey};
use crate::connect::connect;

/// Queued messages and calls of one link.
const COMMANDS_MAX: usize = 256;

/// Time between pings on a link in use.
const PING_INTERVAL: Duration = Duration::from_secs(1);

/// Longest time until a ping is answered.
const PING_TIMEOUT: Duration = Duration::from_secs(3);

/// Time after which an unused link is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Backoff after a failed connect; messages are dropped meanwhile.
const BACKOFF: Duration = Duration::from_millis(250);

/// Command to a link's task.
#[derive(Debug)]
pub(super) enum LinkCommand {
    /// Send an encoded and framed core message.
    Message(Bytes),
    /// Provide access for a separate stream.
    Open(oneshot::Sender<Access>),
}

/// Access to a link for one call; holding it keeps the link open.
#[derive(Debug)]
pub(super) struct Access {
    pub(super) sender: SendRequest<Bytes>,
    pub(super) guard: LinkGuard,
}

/// Keeps a link open while a call uses it.
#[derive(Clone, Debug)]
pub(crate) struct LinkGuard {
    #[expect(
        dead_code,
        reason = "its reference count shows whether calls use the link"
    )]
    count: Arc<()>,
}

/// Handle to a link.
#[derive(Clone, Debug)]
pub(crate) struct Link {
    address: SocketAddr,
    commands: mpsc::Sender<LinkCommand>,
}

pub(super) fn channel(address: SocketAddr) -> (Link, mpsc::Receiver<LinkCommand>) {
    let (commands, receiver) = mpsc::channel(COMMANDS_MAX);
    (Link { address, commands }, receiver)
}

impl Link {
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(super) fn has_ended(&self) -> bool {
        self.commands.is_closed()
    }

    /// Sends a framed message; it is dropped when the queue is full.
    pub(super) fn send(&self, framed: Bytes) {
        if self
            .commands
            .try_send(LinkCommand::Message(framed))
            .is_err()
        {
            metrics::counter!("briarbank_peer_messages_dropped_total").increment(1);
        }
    }

    /// Returns access for a separate stream; `None` when the host can't be reached.
    pub(super) async fn open(&self) -> Option<Access> {
        let (answer, receiver) = oneshot::channel();
        self.commands.send(LinkCommand::Open(answer)).await.ok()?;
        receiver.await.ok()
    }
}

/// Task that runs a link.
pub(super) struct LinkTask {
    pub(super) host: HostName,
    pub(super) address: SocketAddr,
    pub(super) key: SharedKey,
    pub(super) commands: mpsc::Receiver<LinkCommand>,
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
            tracing::debug!(host = %self.host, "peer: connecting to a host failed");
            self.report_lost().await;
            self.back_off().await;
            return;
        };
        let Ok((sender, connection)) = client::handshake(stream).await else {
            self.report_lost().await;
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
            tracing::debug!(host = %self.host, "peer: connection to a host failed");
            self.report_lost().await;
        }
    }

    async fn report_lost(&self) {
        let _ = self.reports.send(Event::PeerLost(self.host.clone())).await;
    }

    /// Waits after a failed connect and drops the commands that arrive meanwhile.
    async fn back_off(&mut self) {
        let pause = sleep(BACKOFF);
        tokio::pin!(pause);
        loop {
            tokio::select! {
                () = &mut pause => return,
                command = self.commands.recv() => if command.is_none() { return },
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

/// State of one established connection.
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
    /// Runs until the link is idle (true) or has failed (false).
    async fn run(&mut self, task: &mut LinkTask) -> bool {
        let mut ticks = interval(PING_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let sending = !self.outgoing.is_empty();
            tokio::select! {
                command = task.commands.recv(), if !sending => match command {
                    None => return true,
                    Some(command) => if !self.handle_command(command, task).await { return false },
                },
                sent = write_messages(&mut self.messages, &mut self.outgoing), if sending => {
                    if !sent { return false }
                }
                pong = wait_for_pong(&mut self.pings), if self.ping_sent.is_some() => {
                    if !pong { return false }
                    self.ping_sent = None;
                }
                _ = ticks.tick() => {
                    if self.is_idle() { return true }
                    if !self.check_ping() { return false }
                }
            }
        }
    }

    async fn handle_command(&mut self, command: LinkCommand, task: &LinkTask) -> bool {
        self.last_use = Instant::now();
        match command {
            LinkCommand::Message(framed) => {
                if self.messages.is_none() {
                    self.messages = self.open_messages(task).await;
                }
                self.outgoing = framed;
                self.messages.is_some()
            }
            LinkCommand::Open(answer) => {
                let _ = answer.send(Access {
                    sender: self.sender.clone(),
                    guard: LinkGuard {
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

    /// Returns the number of calls that use the link.
    fn call_count(&self) -> usize {
        Arc::strong_count(&self.calls) - 1
    }

    fn is_idle(&self) -> bool {
        self.call_count() == 0 && self.last_use.elapsed() > IDLE_TIMEOUT
    }

    /// Sends a ping when the link is in use; returns false when it failed.
    ///
    /// An overdue answer to the previous ping is a failure.
    fn check_ping(&mut self) -> bool {
        if let Some(sent) = self.ping_sent {
            return sent.elapsed() < PING_TIMEOUT;
        }
        let used = self.call_count() > 0 || self.last_use.elapsed() < PING_INTERVAL * 2;
        let Some(pings) = self.pings.as_mut().filter(|_| used) else {
            return true;
        };
        self.ping_sent = Some(Instant::now());
        pings.send_ping(Ping::opaque()).is_ok()
    }
}

async fn wait_for_pong(pings: &mut Option<PingPong>) -> bool {
    poll_fn(|cx| match pings.as_mut() {
        None => Poll::Pending,
        Some(pings) => pings.poll_pong(cx).map(|p| p.is_ok()),
    })
    .await
}

async fn write_messages(messages: &mut Option<SendStream<Bytes>>, outgoing: &mut Bytes) -> bool {
    match messages {
        Some(stream) => write_available(stream, outgoing).await.is_ok(),
        None => false,
    }
}
