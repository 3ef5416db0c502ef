//! Who is told of streams: the holders of those that this node serves, and nodes that start.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::{Duration, Instant};

use briarbank_core::flow::{StreamKey, StreamRecord, VersionKey};
use tokio::time::sleep;

use super::send;
use crate::gossip::HEARTBEAT_INTERVAL;
use crate::shared::SharedState;
use crate::sync;

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

/// Keeps what another node has told of a stream.
pub(super) fn receive_record(shared: &SharedState, record: StreamRecord) {
    let lifetime = Duration::from_millis(u64::from(record.lifetime_ms));
    let mut streams = shared.streams.borrow_mut();
    streams.record(Instant::now(), record.stream, record.version, lifetime);
}
