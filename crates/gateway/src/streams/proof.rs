//! What this node can say and prove of the versions of streams.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use briarbank_core::flow::{
    ShareStatement, StreamOrigin, StreamProof, ValueKind, VersionEvidence, VersionKey,
};

use super::query::SoughtStream;
use crate::shared::SharedState;
use crate::store;

/// Age of values up to which nodes of earlier builds are told of a sole version.
///
/// The store confirms the values of a fleet every second.
const CONFIRMED_AGE_MAX: Duration = Duration::from_millis(1_500);

/// Time that a statement on shares covers beyond what is asked for, as it takes time to arrive.
const STATEMENT_MARGIN: Duration = Duration::from_secs(2);

/// Age of values from which on a node that is asked has them confirmed.
const ANSWERED_AGE_MAX: Duration = Duration::from_secs(1);

/// Returns the version of a stream without a record, or why it cannot be proved.
pub(super) async fn prove(
    shared: &Rc<SharedState>,
    stream: &SoughtStream,
    at: Instant,
    answers: &RefCell<StreamProof>,
) -> Result<VersionKey, &'static str> {
    let own_complete = shared.dispatcher.borrow().complete_time(at);
    let would_cover = answers.borrow().would_cover(stream.age_max, own_complete);
    if !would_cover {
        return Err("versions were not seen for long enough");
    }
    // Only the store can tell what others were told while this node was cut off.
    if !store::confirm(shared, at).await {
        return Err("the store does not confirm the entries");
    }
    let mut proof = answers.borrow_mut();
    add_own(shared, stream, at, &mut proof).ok_or("its route has several services")?;
    let share_time = shared.peers.borrow().share_time(at, stream.age_max);
    let version = proof.version(stream.key, stream.age_max, share_time);
    if version.is_some() && proof.only_version().is_none() {
        metrics::counter!("briarbank_streams_found_by_key_total").increment(1);
    }
    version.ok_or("its key may lead to several versions")
}

/// Has the store confirm the values of this node, if that was long ago.
pub(super) fn confirm_values(shared: &Rc<SharedState>) {
    let now = Instant::now();
    if !shared.staleness.borrow().is_beyond(now, ANSWERED_AGE_MAX) {
        return;
    }
    let shared = Rc::clone(shared);
    let tasks = shared.tasks.clone();
    tasks.spawn_local(async move { store::confirm(&shared, now).await });
}

/// Adds what this node has seen to a proof.
pub(super) fn add_own(
    shared: &SharedState,
    stream: &SoughtStream,
    at: Instant,
    proof: &mut StreamProof,
) -> Option<()> {
    let evidence = own_evidence(shared, stream, at)?;
    let statement = own_shares(shared, stream, at);
    proof.add(&evidence, statement.as_ref(), Duration::ZERO);
    Some(())
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

/// Returns how the shares of a service's versions went, `None` if streams may not have begun
/// at the version of their key.
pub(super) fn own_shares(
    shared: &SharedState,
    stream: &SoughtStream,
    at: Instant,
) -> Option<ShareStatement> {
    let service = stream.service.as_ref()?;
    let peers = shared.peers.borrow();
    let time = peers.share_time(at, stream.age_max) + STATEMENT_MARGIN;
    if !peers.has_keyed_streams(at, time) {
        return None;
    }
    let dispatcher = shared.dispatcher.borrow();
    let statement = ShareStatement {
        time_ms: to_ms(time),
        shares: dispatcher.share_span(at, service, time).shares(),
    };
    (!statement.shares.is_empty()).then_some(statement)
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

pub(super) fn to_ms(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
