//! Exchange of the versions of streams with their holders, over the peer port.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::{Duration, Instant};

use briarbank_core::flow::{
    StreamKey, StreamMessage, StreamOrigin, StreamRecord, ValueKind, VersionEvidence, VersionKey,
    VersionProof,
};
use briarbank_core::ids::ServiceName;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::codec;
use crate::datagram;
use crate::gossip::{HEARTBEAT_INTERVAL, notice_pause};
use crate::shared::SharedState;
use crate::{store, sync};

/// Nodes that are asked for a stream; more than hold it, as views of live nodes differ.
const ASKED_NODES: usize = 8;

/// Messages about streams that a node sends at most in each heartbeat interval.
///
/// The buffer of a receiver takes some hundred datagrams, and all nodes send to one that has
/// just started.
const MESSAGES_PER_HEARTBEAT: usize = 32;

/// Nodes that a node asks for their records of streams when it starts.
const RECORD_SOURCES: usize = 2;

/// Nodes that it tries for that, some of which may fail or be of an earlier build.
const RECORD_SOURCES_TRIED: usize = 6;

/// Time after its start for which a node looks for others to ask.
const LEARNING_TIME: Duration = Duration::from_secs(4);

/// Time in which a node that has started hears of the others.
const MEETING_TIME: Duration = Duration::from_millis(300);

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

/// Returns the message about a stream in a datagram, `None` for other datagrams.
pub(crate) fn strip_prefix(datagram: &[u8]) -> Option<&[u8]> {
    datagram.strip_prefix(&StreamMessage::PREFIX)
}

/// Records the version of a stream that this node begins or goes on with, and tells its holders.
pub(crate) fn begin(
    shared: &SharedState,
    stream: StreamKey,
    version: VersionKey,
    lifetime: Duration,
) {
    let now = Instant::now();
    let mut streams = shared.streams.borrow_mut();
    streams.record(now, stream, version, lifetime);
    let Some(record) = streams.record_of(now, stream) else {
        return;
    };
    drop(streams);
    let mut served = shared.served_streams.borrow_mut();
    let messages = served.begin(now, record, &shared.peers.borrow());
    drop(served);
    for (holder, message) in messages {
        send(shared, holder, &message);
    }
}

/// Forgets that this node serves a stream, which is complete.
pub(crate) fn end(shared: &SharedState, stream: StreamKey) {
    shared.served_streams.borrow_mut().end(stream);
}

/// Tells nodes that have become holders of streams under way, in several calls if there are many.
pub(crate) fn tell_new_holders(shared: &SharedState) {
    tell_at_most(shared, MESSAGES_PER_HEARTBEAT);
}

/// Tells all holders of streams under way, before this node ends.
pub(crate) fn hand_over(shared: &SharedState) {
    tell_at_most(shared, usize::MAX);
}

fn tell_at_most(shared: &SharedState, count_max: usize) {
    let now = Instant::now();
    let directory = shared.streams.borrow();
    let mut served = shared.served_streams.borrow_mut();
    let messages = served.untold(now, &directory, &shared.peers.borrow(), count_max);
    drop((directory, served));
    if messages.is_empty() {
        return;
    }
    metrics::counter!("briarbank_streams_told_again_total").increment(messages.len() as u64);
    for (holder, message) in messages {
        send(shared, holder, &message);
    }
}

/// Forgets streams whose callers wait no longer.
pub(crate) fn expire(shared: &SharedState, now: Instant) {
    let mut directory = shared.streams.borrow_mut();
    directory.expire(now);
    shared.served_streams.borrow_mut().expire(now, &directory);
}

/// Fetches the records of other nodes after the start of this one.
///
/// Nodes that serve streams tell this one of them. Of streams whose nodes have ended or stand
/// still only other holders know.
pub(crate) async fn learn(shared: Rc<SharedState>) {
    if shared.settings().is_first_start {
        return;
    }
    let give_up_at = Instant::now() + LEARNING_TIME;
    let (mut tried, mut sources) = (Vec::new(), 0);
    sleep(MEETING_TIME).await;
    while sources < RECORD_SOURCES && tried.len() < RECORD_SOURCES_TRIED {
        let now = Instant::now();
        if now >= give_up_at {
            return;
        }
        let source = shared.peers.borrow().record_source(now, &tried);
        let Some(source) = source else {
            sleep(HEARTBEAT_INTERVAL).await;
            continue;
        };
        tried.push(source);
        let Some(records) = sync::fetch_streams(&shared, source).await else {
            continue;
        };
        sources += 1;
        tracing::info!(peer = %source, streams = records.len(), "peer: fetched versions of streams");
        for record in records {
            receive_record(&shared, record);
        }
    }
}

/// Returns the records that a node which has just started should hold.
pub(crate) fn records_for(shared: &SharedState, node: SocketAddrV4) -> Vec<StreamRecord> {
    let now = Instant::now();
    let peers = shared.peers.borrow();
    let streams = shared.streams.borrow();
    let records = streams.records(now);
    let is_holder = |record: &StreamRecord| peers.may_hold(now, record.stream, node);
    records.filter(is_holder).collect()
}

fn receive_record(shared: &SharedState, record: StreamRecord) {
    let lifetime = Duration::from_millis(u64::from(record.lifetime_ms));
    let mut streams = shared.streams.borrow_mut();
    streams.record(Instant::now(), record.stream, record.version, lifetime);
}

/// Returns the version at which a stream began, `None` if nobody who answers can tell.
pub(crate) async fn find(shared: &Rc<SharedState>, stream: &SoughtStream) -> Option<VersionKey> {
    notice_pause(shared);
    let arrived_at = Instant::now();
    if let Some(version) = shared.streams.borrow().version(arrived_at, stream.key) {
        return Some(version);
    }
    let query = ask(shared, stream, &QUERY_TIMEOUTS).await;
    if let Some(version) = query.recorded.get() {
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
fn own_evidence(
    shared: &SharedState,
    stream: &SoughtStream,
    at: Instant,
) -> Option<VersionEvidence> {
    let dispatcher = shared.dispatcher.borrow();
    let versions = dispatcher.seen_versions(at, stream.service.as_ref()?, stream.age_max);
    let values_age = shared.staleness.borrow().age(at);
    Some(VersionEvidence::new(
        versions,
        dispatcher.complete_time(at),
        values_age,
    ))
}

/// Returns what this node knows of a stream's version, for nodes of earlier builds.
///
/// They take [`StreamOrigin::SoleVersion`] for a proof by itself.
fn origin(shared: &SharedState, stream: &SoughtStream) -> StreamOrigin {
    let now = Instant::now();
    if let Some(version) = shared.streams.borrow().version(now, stream.key) {
        return StreamOrigin::Recorded(version);
    }
    let is_confirmed = !shared.staleness.borrow().is_beyond(now, CONFIRMED_AGE_MAX);
    let Some(service) = stream
        .service
        .as_ref()
        .filter(|_| is_confirmed && has_current_values(shared))
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

/// Handles a message of another node about a stream.
pub(crate) fn receive(shared: &SharedState, from: SocketAddr, bytes: &[u8]) {
    let decoded = codec::decode::<StreamMessage, VersionEvidence>(bytes);
    let (message, evidence) = match decoded {
        Ok(decoded) => decoded,
        Err(error) => {
            tracing::debug!(%error, "peer: decoding a message about a stream failed");
            return;
        }
    };
    match message {
        StreamMessage::Record(record) => {
            receive_record(shared, record);
            // Its sender serves the stream now.
            end(shared, record.stream);
        }
        StreamMessage::Query {
            sender,
            id,
            stream,
            service,
            age_max_ms,
        } => {
            notice_pause(shared);
            let sought = SoughtStream {
                key: stream,
                service,
                age_max: Duration::from_millis(u64::from(age_max_ms)),
            };
            let origin = origin(shared, &sought);
            let evidence = own_evidence(shared, &sought, Instant::now());
            let answer = StreamMessage::Answer { id, origin };
            let evidence = evidence.as_slice();
            datagram::send_with(shared, sender, &StreamMessage::PREFIX, &answer, evidence);
        }
        StreamMessage::Answer { id, origin } => {
            shared
                .stream_queries
                .record_answer(id, from, origin, &evidence);
        }
    }
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
    fn record_answer(
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

fn send(shared: &SharedState, target: SocketAddrV4, message: &StreamMessage) {
    // Other holders have the same record, and a query is repeated.
    datagram::send(shared, target, &StreamMessage::PREFIX, message);
}
