//! Opens connections to servers, directly or through another node.

use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use briarbank_core::flow::Instance;
use briarbank_core::ids::ServerName;
use futures_util::future::LocalBoxFuture;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::sleep;
use tokio_util::either::Either;

use crate::log_lines::LineKind;
use crate::relay::{self, RelayedStream};
use crate::shared::SharedState;

/// Timeout of a connect to a server; the network latency within a region is about 2 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for a direct connection before another node is asked as well.
const RELAY_DELAY: Duration = Duration::from_millis(50);

/// A connection to a server, direct or through another node.
pub(crate) type ServerStream = Either<TcpStream, RelayedStream>;

/// Opens connections to servers.
pub(crate) trait Dial {
    /// Opens a connection; an error means that nothing was sent to the server.
    fn connect<'a>(
        &'a self,
        instance: &'a Instance,
    ) -> LocalBoxFuture<'a, io::Result<ServerStream>>;
}

impl Dial for Rc<SharedState> {
    fn connect<'a>(
        &'a self,
        instance: &'a Instance,
    ) -> LocalBoxFuture<'a, io::Result<ServerStream>> {
        Box::pin(self.dial(instance))
    }
}

impl SharedState {
    /// Connects directly, and through another node while that does not succeed.
    async fn dial(&self, instance: &Instance) -> io::Result<ServerStream> {
        let (is_broken, tries_directly) = {
            let mut paths = self.paths.borrow_mut();
            let tries_directly = paths.should_try_directly(Instant::now(), &instance.id);
            (paths.is_broken(&instance.id), tries_directly)
        };
        let has_failed = Notify::new();
        let direct = async {
            let connected = briarbank_net::connect(instance.address, CONNECT_TIMEOUT).await;
            let connected = connected.and_then(|stream| {
                briarbank_net::limit_server_buffer(&stream)?;
                Ok(stream)
            });
            has_failed.notify_one();
            connected
        };
        let relayed = async {
            if !is_broken {
                tokio::select! {
                    () = sleep(RELAY_DELAY) => {}
                    () = has_failed.notified() => {}
                }
            }
            relay::open(self, &instance.id).await
        };
        tokio::pin!(direct, relayed);
        let (mut is_direct_open, mut is_relay_open) = (tries_directly, true);
        let mut failure = io::Error::from(io::ErrorKind::HostUnreachable);
        loop {
            tokio::select! {
                connected = &mut direct, if is_direct_open => match connected {
                    Ok(stream) => {
                        self.record_direct(&instance.id);
                        return Ok(Either::Left(stream));
                    }
                    Err(error) => {
                        self.record_unreached(&instance.id);
                        (is_direct_open, failure) = (false, error);
                    }
                },
                opened = &mut relayed, if is_relay_open => match opened {
                    Some(stream) => {
                        self.record_relayed(instance);
                        return Ok(Either::Right(stream));
                    }
                    None => is_relay_open = false,
                },
                else => return Err(failure),
            }
        }
    }

    /// Records that a server could not be connected to directly.
    pub(crate) fn record_unreached(&self, server: &ServerName) {
        let mut paths = self.paths.borrow_mut();
        paths.record_failure(Instant::now(), server);
    }

    /// Records a direct connection to a server.
    pub(crate) fn record_direct(&self, server: &ServerName) {
        let was_broken = self.paths.borrow_mut().record_direct(server);
        if was_broken && self.log_lines.take(LineKind::Path) {
            tracing::info!(%server, "server: reached directly again");
        }
    }

    fn record_relayed(&self, instance: &Instance) {
        let is_new = self
            .paths
            .borrow_mut()
            .record_relayed(Instant::now(), &instance.id);
        if !is_new {
            return;
        }
        // Idle connections use the same path.
        self.pool.close_idle(&instance.id);
        if self.log_lines.take(LineKind::Path) {
            tracing::warn!(server = %instance.id, address = %instance.address, "server: reached through another node only");
        }
    }
}
