//! Who is told of streams: the holders of those that this node serves, nodes that start, and
//! all nodes if the keys do not tell the versions.

use std::rc::Rc;
use std::time::{Duration, Instant};

use briarbank_core::flow::{
    KeyVersion, StreamKey, StreamRecord, StreamStart, VersionKey, has_run_longer,
};
use tokio::time::sleep;

use super::{SoughtStream, send};
use crate::gossip::HEARTBEAT_INTERVAL;
use crate::shared::SharedState;
use crate::sync;

/// Messages about streams that a node sends at most in each heartbeat interval.
///
/// The buffer of a receiver takes some hundred datagrams, and all nodes send to one that has
/// just started.
const MESSAGES_PER_HEARTBEAT: usize = 32;

/// Messages to all nodes that a node sends at most in each heartbeat interval.
const ANNOUNCEMENTS_PER_HEARTBEAT: usize = 80;

/// Nodes that a node asks for their records of streams when it starts.
const RECORD_SOURCES: usize = 2;

/// Nodes that it tries for that, some of which may fail or be of an earlier build.
const RECORD_SOURCES_TRIED: usize = 6;

/// Time after its start for which a node looks for others to ask.
const LEARNING_TIME: Duration = Duration::from_secs(4);

/// Time for which a node that has started looks for others that have run longer.
///
/// Those that started with it know as little.
const ELDER_TIME: Duration = Duration::from_secs(2);

/// Time in which a node that has started hears of the others.
const MEETING_TIME: Duration = Duration::from_millis(300);

/// Records the version of a stream that this node begins or goes on with, and tells others.
pub(crate) fn begin(
    shared: &SharedState,
    stream: &SoughtStream,
    version: VersionKey,
    lifetime: Duration,
) {
    let now = Instant::now();
    let mut streams = shared.streams.borrow_mut();
    streams.record(now, stream.key, version, lifetime);
    let Some(record) = streams.record_of(now, stream.key) else {
        return;
    };
    drop(streams);
    let start = StreamStart {
        record,
        service: stream.service.clone(),
        age_max: stream.age_max,
    };
    let mut served = shared.served_streams.borrow_mut();
    let (peers, dispatcher) = (shared.peers.borrow(), shared.dispatcher.borrow());
    let messages = served.begin(now, start, &peers, &dispatcher);
    drop((served, peers, dispatcher));
    for (holder, message) in messages {
        send(shared, holder, &message);
    }
}

/// Forgets that this node serves a stream, which is complete.
pub(crate) fn end(shared: &SharedState, stream: StreamKey) {
    shared.served_streams.borrow_mut().end(stream);
}

/// Returns the version of a new stream's key, if streams of the service may have several.
pub(crate) fn version_of_key(shared: &SharedState, stream: &SoughtStream) -> Option<KeyVersion> {
    let service = stream.service.as_ref()?;
    let version = shared
        .dispatcher
        .borrow()
        .version_of_key(service, stream.key)?;
    let mut served = shared.served_streams.borrow_mut();
    let is_strict = !served.may_tell_all(Instant::now(), &shared.peers.borrow());
    Some(KeyVersion { version, is_strict })
}

/// Tells nodes that have become holders of streams under way, in several calls if there are
/// many, and all nodes of streams whose keys have become uncertain.
pub(crate) fn tell_others(shared: &SharedState) {
    tell_at_most(shared, MESSAGES_PER_HEARTBEAT);
    let now = Instant::now();
    let mut served = shared.served_streams.borrow_mut();
    let (peers, dispatcher) = (shared.peers.borrow(), shared.dispatcher.borrow());
    served.check_keys(now, &shared.streams.borrow(), &peers, &dispatcher);
    let messages = served.take_announcements(now, &peers, ANNOUNCEMENTS_PER_HEARTBEAT);
    for (node, message) in messages {
        metrics::counter!("briarbank_stream_announcements_total").increment(1);
        send(shared, node, &message);
    }
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
    let own_start = shared.peers.borrow().local().incarnation;
    let settle_at = Instant::now() + ELDER_TIME;
    let give_up_at = Instant::now() + LEARNING_TIME;
    let (mut tried, mut sources, mut oldest) = (Vec::new(), 0, u64::MAX);
    sleep(MEETING_TIME).await;
    while tried.len() < RECORD_SOURCES_TRIED && Instant::now() < give_up_at {
        let now = Instant::now();
        let source = shared.peers.borrow().record_source(now, &tried);
        let Some((source, started)) = source.filter(|(_, started)| {
            let is_older = has_run_longer(*started, own_start);
            let is_missing = sources < RECORD_SOURCES && (is_older || now >= settle_at);
            is_missing || is_older && has_run_longer(*started, oldest)
        }) else {
            if sources >= RECORD_SOURCES && now >= settle_at {
                return;
            }
            sleep(HEARTBEAT_INTERVAL).await;
            continue;
        };
        tried.push(source);
        let Some(records) = sync::fetch_streams(&shared, source).await else {
            continue;
        };
        sources += 1;
        oldest = oldest.min(started);
        tracing::info!(peer = %source, streams = records.len(), "peer: fetched versions of streams");
        for record in records {
            receive_record(&shared, record);
        }
    }
}

/// Returns the records for a node which has just started.
///
/// It may hold any of them, and has to know all streams whose keys tell nothing.
pub(crate) fn all_records(shared: &SharedState) -> Vec<StreamRecord> {
    shared.streams.borrow().records(Instant::now()).collect()
}

/// Keeps what another node has told of a stream.
pub(super) fn receive_record(shared: &SharedState, record: StreamRecord) {
    let lifetime = Duration::from_millis(u64::from(record.lifetime_ms));
    let mut streams = shared.streams.borrow_mut();
    streams.record(Instant::now(), record.stream, record.version, lifetime);
}
