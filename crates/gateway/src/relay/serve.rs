//! The relay: connects to a server and passes bytes on.

use std::cell::Cell;
use std::future::poll_fn;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use briarbank_core::flow::Instance;
use briarbank_net::Delivery;
use bytes::{Bytes, BytesMut};
use h2::server::SendResponse;
use h2::{Reason, RecvStream, SendStream};
use http::{Request, Response, StatusCode};
use percent_encoding::percent_decode_str;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use super::PATH_PREFIX;
use crate::shared::SharedState;

/// Timeout of a connect to a server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Size of the pieces that are passed on.
const PIECE_BYTES: usize = 8 << 10;

/// Counts a relayed connection as open until dropped.
struct OpenRelay<'a>(&'a Cell<usize>);

impl<'a> OpenRelay<'a> {
    fn start(shared: &'a SharedState) -> Option<Self> {
        let open = &shared.relays;
        let relays_max = shared.settings().connection_shares.relays;
        if open.get() >= relays_max || shared.stop.is_closed() {
            return None;
        }
        open.set(open.get() + 1);
        Some(Self(open))
    }
}

impl Drop for OpenRelay<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Answers a request to relay a connection, and relays it until either end closes it.
pub(crate) async fn serve(
    shared: &SharedState,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
) -> Result<(), h2::Error> {
    let mut refuse = |status: StatusCode| {
        metrics::counter!("briarbank_relays_refused_total").increment(1);
        let mut refusal = Response::new(());
        *refusal.status_mut() = status;
        respond.send_response(refusal, true).map(|_| ())
    };
    let Some(_open) = OpenRelay::start(shared) else {
        return refuse(StatusCode::SERVICE_UNAVAILABLE);
    };
    let Some(instance) = listed_server(shared, request.uri().path()) else {
        return refuse(StatusCode::NOT_FOUND);
    };
    let connected = briarbank_net::connect(instance.address, CONNECT_TIMEOUT).await;
    let Ok(server) = connected else {
        shared.record_unreached(&instance.id);
        return refuse(StatusCode::BAD_GATEWAY);
    };
    shared.record_direct(&instance.id);
    if let Err(error) = briarbank_net::limit_server_buffer(&server) {
        tracing::debug!(%error, "relay: limiting the buffer of a socket failed");
    }
    metrics::counter!("briarbank_relays_served_total").increment(1);
    let to_node = respond.send_response(Response::new(()), false)?;
    pass_on(server, request.into_body(), to_node).await
}

/// Returns the server that a path names, if this node lists it as well.
fn listed_server(shared: &SharedState, path: &str) -> Option<Arc<Instance>> {
    let name = percent_decode_str(path.strip_prefix(PATH_PREFIX)?);
    let name = name.decode_utf8().ok()?;
    shared.dispatcher.borrow().listed(&name.as_ref().into())
}

/// Passes bytes on in both directions until either end closes the connection.
async fn pass_on(
    server: TcpStream,
    from_node: RecvStream,
    mut to_node: SendStream<Bytes>,
) -> Result<(), h2::Error> {
    let (from_server, to_server) = server.into_split();
    tokio::select! {
        // A node never closes one direction only.
        ended = pass_to_server(from_node, to_server) => ended,
        ended = pass_to_node(from_server, &mut to_node) => {
            match ended {
                Ok(()) => to_node.send_data(Bytes::new(), true)?,
                // Tells it from an answer that ends with its connection.
                Err(_) => to_node.send_reset(Reason::CONNECT_ERROR),
            }
            Ok(())
        }
    }
}

async fn pass_to_server(
    mut from_node: RecvStream,
    mut to_server: OwnedWriteHalf,
) -> Result<(), h2::Error> {
    while let Some(bytes) = from_node.data().await {
        let bytes = bytes?;
        if to_server.write_all(&bytes).await.is_err() {
            // The other direction tells how the connection ended.
            return std::future::pending().await;
        }
        from_node.flow_control().release_capacity(bytes.len())?;
    }
    Ok(())
}

async fn pass_to_node(
    mut from_server: OwnedReadHalf,
    to_node: &mut SendStream<Bytes>,
) -> io::Result<()> {
    loop {
        let mut buffer = BytesMut::with_capacity(PIECE_BYTES);
        if from_server.read_buf(&mut buffer).await? == 0 {
            let server: &TcpStream = from_server.as_ref();
            if server.is_undelivered() {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            return Ok(());
        }
        let mut bytes = buffer.freeze();
        while !bytes.is_empty() {
            to_node.reserve_capacity(bytes.len());
            let Some(capacity) = poll_fn(|cx| to_node.poll_capacity(cx)).await else {
                return Err(io::ErrorKind::BrokenPipe.into());
            };
            let capacity = capacity.map_err(io::Error::other)?;
            let piece = bytes.split_to(capacity.min(bytes.len()));
            to_node.send_data(piece, false).map_err(io::Error::other)?;
        }
    }
}
