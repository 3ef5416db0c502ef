//! Questions for the version at which a stream began, and answers to them.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::{Duration, Instant};

use briarbank_core::flow::{
    StreamKey, StreamMessage, StreamOrigin, ValueKind, VersionEvidence, VersionKey, VersionProof,
};
use briarbank_core::ids::ServiceName;
use tokio::sync::Notify;
use tokio::time::timeout;

use super::send;
use crate::gossip::notice_pause;
use crate::shared::SharedState;
use crate::store;

/// Nodes that are asked for a stream; more than hold it, as views of live nodes differ.
const ASKED_NODES: usize = 8;

/// Age of values up to which nodes of earlier builds are told of a sole version.
///
/// The store confirms the values of a fleet every second.
const CONFIRMED_AGE_MAX: Duration = Duration::from_millis(1_500);

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
#[derive(Debug)]
struct Query {
    started_at: Instant,
    /// Nodes that were asked and have not answered.
    unanswered: RefCell<HashSet<SocketAddrV4>>,
    recorded: Cell<Option<VersionKey>>,
    /// What the nodes have said of versions.
    proof: RefCell<VersionProof>,
    is_answered: Cell<bool>,
    ended: Notify,
}

/// A query that waits for answers until dropped, also when its caller leaves.
struct PendingQuery<'a> {
    queries: &'a StreamQueries,
    id: u32,
    query: Rc<Query>,
}

impl Drop for PendingQuery<'_> {
    fn drop(&mut self) {
        self.queries.waiting.borrow_mut().remove(&self.id);
    }
}

/// A stream whose version is looked for.
#[derive(Clone, Debug)]
pub(crate) struct SoughtStream {
    pub(crate) key: StreamKey,
    /// Its service, `None` if its route has several.
    pub(crate) service: Option<ServiceName>,
    /// Largest age that it may have.
    pub(crate) age_max: Duration,
}

/// Returns the version at which a stream began, `None` if nobody who answers can tell.
pub(crate) async fn find(shared: &Rc<SharedState>, stream: &SoughtStream) -> Option<VersionKey> {
    notice_pause(shared);
    let arrived_at = Instant::now();
    if let Some(version) = shared.streams.borrow().version(arrived_at, stream.key) {
        return Some(version);
    }
    let query = ask(shared, stream, &QUERY_TIMEOUTS).await;
    // What others have told a node that has just woken arrives with the first calls.
    let told = || shared.streams.borrow().version(arrived_at, stream.key);
    if let Some(version) = query.recorded.get().or_else(told) {
        return Some(version);
    }
    let own_complete = shared.dispatcher.borrow().complete_time(arrived_at);
    if !query
        .proof
        .borrow()
        .would_cover(stream.age_max, own_complete)
    {
        return None;
    }
    // Only the store can tell what others were told while this node was cut off.
    if !store::confirm(shared, arrived_at).await {
        return None;
    }
    let mut proof = query.proof.borrow_mut();
    proof.add(&own_evidence(shared, stream, arrived_at)?, Duration::ZERO);
    let is_covered = proof.covers(stream.age_max);
    proof.only_version().filter(|_| is_covered)
}

/// Returns the only version that this node and others have seen servers of a service with.
///
/// For streams whose callers do not name the first call. Unlike [`find`] it proves nothing of
/// the time before the nodes' start, but a node that nobody confirms may have missed another
/// version.
pub(crate) async fn find_only_version(
    shared: &Rc<SharedState>,
    stream: &SoughtStream,
) -> Option<VersionKey> {
    notice_pause(shared);
    let arrived_at = Instant::now();
    let query = ask(shared, stream, &QUERY_TIMEOUTS[..1]).await;
    let is_alone = !shared.peers.borrow().has_other_seeds();
    let is_confirmed =
        query.is_answered.get() || is_alone || store::confirm(shared, arrived_at).await;
    let mut proof = query.proof.borrow_mut();
    proof.add(&own_evidence(shared, stream, arrived_at)?, Duration::ZERO);
    proof.only_version().filter(|_| is_confirmed)
}

/// Asks other nodes for a stream until one has a record of it or all have answered.
async fn ask(shared: &SharedState, stream: &SoughtStream, times: &[Duration]) -> Rc<Query> {
    let pending = shared.stream_queries.start();
    let (id, query) = (pending.id, &pending.query);
    for time in times {
        let now = Instant::now();
        let (asked, sender) = {
            let peers = shared.peers.borrow();
            let asked = peers.stream_sources(now, stream.key, ASKED_NODES);
            (asked, peers.local().address)
        };
        if asked.is_empty() {
            break;
        }
        *query.unanswered.borrow_mut() = asked.iter().copied().collect();
        for node in asked {
            let message = StreamMessage::Query {
                sender,
                id,
                stream: stream.key,
                service: stream.service.clone(),
                age_max_ms: to_ms(stream.age_max),
            };
            send(shared, node, &message);
        }
        if timeout(*time, query.ended.notified()).await.is_ok() {
            break;
        }
        metrics::counter!("briarbank_stream_queries_unanswered_total").increment(1);
    }
    Rc::clone(query)
}

/// Returns what this node has seen of a stream's service until `at`.
pub(super) fn own_evidence(
    shared: &SharedState,
    stream: &SoughtStream,
    at: Instant,
) -> Option<VersionEvidence> {
    let dispatcher = shared.dispatcher.borrow();
    let versions = dispatcher.seen_versions(at, stream.service.as_ref()?, stream.age_max);
    let values_age = shared.staleness.borrow().age(at);
    let complete = if shared.entry_bound.borrow().may_lack_needed() {
        Duration::ZERO
    } else {
        dispatcher.complete_time(at)
    };
    Some(VersionEvidence::new(versions, complete, values_age))
}

/// Returns what this node knows of a stream's version, for nodes of earlier builds.
///
/// They take [`StreamOrigin::SoleVersion`] for a proof by itself.
pub(super) fn origin(shared: &SharedState, stream: &SoughtStream) -> StreamOrigin {
    let now = Instant::now();
    if let Some(version) = shared.streams.borrow().version(now, stream.key) {
        return StreamOrigin::Recorded(version);
    }
    let is_confirmed = !shared.staleness.borrow().is_beyond(now, CONFIRMED_AGE_MAX);
    let Some(service) = stream
        .service
        .as_ref()
        .filter(|_| is_confirmed && has_current_values(shared))
        .filter(|_| !shared.entry_bound.borrow().may_lack_needed())
    else {
        return StreamOrigin::Unknown;
    };
    let dispatcher = shared.dispatcher.borrow();
    let sole = dispatcher.sole_version(now, service, stream.age_max);
    sole.map_or(StreamOrigin::Unknown, StreamOrigin::SoleVersion)
}

/// Returns whether no other node is known to have newer published values.
fn has_current_values(shared: &SharedState) -> bool {
    let now = Instant::now();
    let is_behind = |kind| {
        let revision = shared.values.borrow().mirror(kind).revision();
        let mut peers = shared.peers.borrow_mut();
        peers.newer_source(now, kind, revision).is_some()
    };
    !ValueKind::ALL.into_iter().any(is_behind) && !shared.store.is_failing.get()
}

fn to_ms(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

impl StreamQueries {
    fn start(&self) -> PendingQuery<'_> {
        let id = self.next_id.get().wrapping_add(1);
        self.next_id.set(id);
        let query = Rc::new(Query {
            started_at: Instant::now(),
            unanswered: RefCell::default(),
            recorded: Cell::new(None),
            proof: RefCell::default(),
            is_answered: Cell::new(false),
            ended: Notify::new(),
        });
        self.waiting.borrow_mut().insert(id, Rc::clone(&query));
        PendingQuery {
            queries: self,
            id,
            query,
        }
    }

    /// Ends a query when a record is found, or when all nodes that were asked have answered.
    pub(super) fn record_answer(
        &self,
        id: u32,
        from: SocketAddr,
        origin: StreamOrigin,
        evidence: &[VersionEvidence],
    ) {
        let Some(query) = self.waiting.borrow().get(&id).cloned() else {
            return;
        };
        let SocketAddr::V4(from) = from else {
            return;
        };
        if !query.unanswered.borrow_mut().remove(&from) {
            return;
        }
        query.record(origin, evidence);
        if query.recorded.get().is_some() || query.unanswered.borrow().is_empty() {
            query.ended.notify_one();
        }
    }
}

impl Query {
    fn record(&self, origin: StreamOrigin, evidence: &[VersionEvidence]) {
        self.is_answered.set(true);
        let mut proof = self.proof.borrow_mut();
        match origin {
            StreamOrigin::Unknown => {}
            StreamOrigin::Recorded(version) => self.recorded.set(Some(version)),
            // Nodes of earlier builds do not say how old their values are.
            StreamOrigin::SoleVersion(version) => proof.add_version(version),
        }
        for evidence in evidence {
            proof.add(evidence, self.started_at.elapsed());
        }
    }
}
