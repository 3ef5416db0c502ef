//! Questions for the version at which a stream began, and answers to them.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::{Duration, Instant};

use briarbank_core::flow::{
    ShareStatement, StreamKey, StreamMessage, StreamOrigin, StreamProof, VersionEvidence,
    VersionKey,
};
use briarbank_core::ids::ServiceName;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use super::proof::{add_own, prove, to_ms};
use super::send;
use crate::gossip::notice_pause;
use crate::shared::SharedState;
use crate::store;

/// Nodes that are asked for a stream at first; more than hold it, as views of live nodes differ.
const ASKED_NODES: usize = 8;

/// Time for nodes that were asked to have the store confirm their values.
const CONFIRM_PAUSE: Duration = Duration::from_millis(200);

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
    proof: RefCell<StreamProof>,
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

/// Returns the version at which a stream began, or why nobody who answers can tell.
pub(crate) async fn find(
    shared: &Rc<SharedState>,
    stream: &SoughtStream,
) -> Result<VersionKey, &'static str> {
    notice_pause(shared);
    let recorded = || {
        let streams = shared.streams.borrow();
        streams.version(Instant::now(), stream.key)
    };
    if let Some(version) = recorded() {
        return Ok(version);
    }
    let mut reason = "nobody answers";
    for pause in [Some(CONFIRM_PAUSE), None] {
        let asked_at = Instant::now();
        let query = ask(shared, stream, &QUERY_TIMEOUTS).await;
        // What others have told a node that has just woken arrives with the first calls.
        if let Some(version) = query.recorded.get().or_else(recorded) {
            return Ok(version);
        }
        match prove(shared, stream, asked_at, &query.proof).await {
            Ok(version) => return Ok(version),
            Err(unproven) => reason = unproven,
        }
        // Nodes that are asked have the store confirm their values.
        let Some(pause) = pause.filter(|_| query.is_answered.get()) else {
            break;
        };
        sleep(pause).await;
    }
    Err(reason)
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
    add_own(shared, stream, arrived_at, &mut proof)?;
    proof.only_version().filter(|_| is_confirmed)
}

/// Asks other nodes for a stream until one has a record of it or all have answered.
async fn ask(shared: &SharedState, stream: &SoughtStream, times: &[Duration]) -> Rc<Query> {
    let pending = shared.stream_queries.start();
    let (id, query) = (pending.id, &pending.query);
    for (round, time) in times.iter().enumerate() {
        let now = Instant::now();
        let (asked, sender) = {
            let peers = shared.peers.borrow();
            // Those that did not answer may have been killed at the same time as many others.
            let asked = peers.stream_sources(now, stream.key, ASKED_NODES << round);
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
        statements: &[ShareStatement],
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
        query.record(origin, evidence, statements.first());
        if query.recorded.get().is_some() || query.unanswered.borrow().is_empty() {
            query.ended.notify_one();
        }
    }
}

impl Query {
    fn record(
        &self,
        origin: StreamOrigin,
        evidence: &[VersionEvidence],
        statement: Option<&ShareStatement>,
    ) {
        self.is_answered.set(true);
        let mut proof = self.proof.borrow_mut();
        match origin {
            StreamOrigin::Unknown => {}
            StreamOrigin::Recorded(version) => self.recorded.set(Some(version)),
            // Nodes of earlier builds do not say how old their values are.
            StreamOrigin::SoleVersion(version) => proof.add_version(version),
        }
        for evidence in evidence {
            proof.add(evidence, statement, self.started_at.elapsed());
        }
    }
}
