//! Exchange of the versions of streams with their holders, over the peer port.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::{Duration, Instant};

use briarbank_core::flow::{StreamKey, StreamMessage, VersionKey};
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::shared::SharedState;

/// Nodes that are told of a stream, besides the one that began it.
///
/// With half of the nodes killed at once, one of them is left for seven streams in eight.
const HOLDERS: usize = 3;

/// Nodes that are asked for a stream; more than hold it, as views of live nodes differ.
const ASKED_NODES: usize = 8;

/// Times to wait for answers before the question is repeated or given up.
const QUERY_TIMEOUTS: [Duration; 3] = [
    Duration::from_millis(50),
    Duration::from_millis(100),
    Duration::from_millis(200),
];

/// Queries in flight, by their number.
#[derive(Debug, Default)]
pub(crate) struct StreamQueries {
    next_id: Cell<u32>,
    waiting: RefCell<HashMap<u32, Rc<Query>>>,
}

/// Answers to a query so far.
#[derive(Debug, Default)]
struct Query {
    /// Nodes that were asked and have not answered.
    unanswered: RefCell<HashSet<SocketAddrV4>>,
    version: Cell<Option<VersionKey>>,
    ended: Notify,
}

/// Returns the message about a stream in a datagram, `None` for other datagrams.
pub(crate) fn strip_prefix(datagram: &[u8]) -> Option<&[u8]> {
    datagram.strip_prefix(&StreamMessage::PREFIX)
}

/// Records the version of a stream that has begun, here and at its holders.
pub(crate) fn record(
    shared: &SharedState,
    stream: StreamKey,
    version: VersionKey,
    lifetime: Duration,
) {
    let now = Instant::now();
    let mut streams = shared.streams.borrow_mut();
    streams.record(now, stream, version, lifetime);
    drop(streams);
    let holders = shared.peers.borrow().stream_holders(now, stream, HOLDERS);
    let lifetime_ms = u32::try_from(lifetime.as_millis()).unwrap_or(u32::MAX);
    for holder in holders {
        let message = StreamMessage::Record {
            stream,
            version,
            lifetime_ms,
        };
        send(shared, holder, &message);
    }
}

/// Returns the version at which a stream began, `None` if no node that answers knows it.
pub(crate) async fn find(shared: &SharedState, stream: StreamKey) -> Option<VersionKey> {
    let known = shared.streams.borrow().version(Instant::now(), stream);
    if known.is_some() {
        return known;
    }
    let (id, query) = shared.stream_queries.start();
    for time in QUERY_TIMEOUTS {
        let now = Instant::now();
        let asked = shared
            .peers
            .borrow()
            .stream_holders(now, stream, ASKED_NODES);
        if asked.is_empty() {
            break;
        }
        *query.unanswered.borrow_mut() = asked.iter().copied().collect();
        let sender = shared.peers.borrow().local().address;
        for node in asked {
            send(shared, node, &StreamMessage::Query { sender, id, stream });
        }
        if timeout(time, query.ended.notified()).await.is_ok() {
            break;
        }
        metrics::counter!("briarbank_stream_queries_unanswered_total").increment(1);
    }
    shared.stream_queries.waiting.borrow_mut().remove(&id);
    query.version.get()
}

/// Handles a message of another node about a stream.
pub(crate) fn receive(shared: &SharedState, from: SocketAddr, bytes: &[u8]) {
    let decoded =
        bincode::serde::decode_from_slice::<StreamMessage, _>(bytes, bincode::config::standard());
    let now = Instant::now();
    match decoded {
        Ok((
            StreamMessage::Record {
                stream,
                version,
                lifetime_ms,
            },
            _,
        )) => {
            let lifetime = Duration::from_millis(u64::from(lifetime_ms));
            let mut streams = shared.streams.borrow_mut();
            streams.record(now, stream, version, lifetime);
        }
        Ok((StreamMessage::Query { sender, id, stream }, _)) => {
            let version = shared.streams.borrow().version(now, stream);
            send(shared, sender, &StreamMessage::Answer { id, version });
        }
        Ok((StreamMessage::Answer { id, version }, _)) => {
            shared.stream_queries.record_answer(id, from, version);
        }
        Err(error) => tracing::debug!(%error, "peer: decoding a message about a stream failed"),
    }
}

impl StreamQueries {
    fn start(&self) -> (u32, Rc<Query>) {
        let id = self.next_id.get().wrapping_add(1);
        self.next_id.set(id);
        let query = Rc::new(Query::default());
        self.waiting.borrow_mut().insert(id, Rc::clone(&query));
        (id, query)
    }

    /// Ends a query when the version is found, or when nobody asked knows it.
    fn record_answer(&self, id: u32, from: SocketAddr, version: Option<VersionKey>) {
        let Some(query) = self.waiting.borrow().get(&id).cloned() else {
            return;
        };
        let SocketAddr::V4(from) = from else {
            return;
        };
        if !query.unanswered.borrow_mut().remove(&from) {
            return;
        }
        if version.is_some() {
            query.version.set(version);
        }
        if version.is_some() || query.unanswered.borrow().is_empty() {
            query.ended.notify_one();
        }
    }
}

fn send(shared: &SharedState, target: SocketAddrV4, message: &StreamMessage) {
    let Some(socket) = shared.socket.get() else {
        return;
    };
    let mut bytes = StreamMessage::PREFIX.to_vec();
    if let Err(error) =
        bincode::serde::encode_into_std_write(message, &mut bytes, bincode::config::standard())
    {
        tracing::warn!(%error, "peer: encoding a message about a stream failed");
        return;
    }
    // Other holders have the same record, and a query is repeated.
    if let Err(error) = UdpSocket::try_send_to(socket, &bytes, SocketAddr::V4(target)) {
        tracing::debug!(%error, %target, "peer: sending a message about a stream failed");
    }
}
