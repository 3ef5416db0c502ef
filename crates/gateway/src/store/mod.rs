//! Follows the store of published values.

mod full_read;
mod reader;

use std::rc::Rc;
use std::time::{Duration, Instant};

use briarbank_core::flow::StoreReads;
use rand::Rng;
use tokio::time::{sleep, timeout};

use crate::shared::SharedState;
use reader::{ReadError, Reader};

/// Initial and longest backoff after a failed request.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));

/// Longest backoff of a node that watches the store, while the store answers but parts of
/// the answers can't be read.
///
/// The rest is read again as often, so it is shorter than the time in which a configuration
/// has to be in force.
const UNREADABLE_BACKOFF: Duration = Duration::from_secs(1);

/// Time for the store to confirm the values while a call waits; a slow one takes 0.3 s.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(500);

/// Keeps the node's copy of the published values up to date.
pub(crate) async fn follow(shared: Rc<SharedState>) {
    let mut reader = Reader::new(&shared);
    let mut backoff = BACKOFF.0;
    let mut has_values = false;
    loop {
        let read = async {
            let is_due = reader.reads.should_read_all() || shared.should_read_entries();
            if has_values && !is_due {
                tokio::select! {
                    watched = reader.watch() => watched,
                    () = shared.entries_due() => Err(ReadError::EntriesDue),
                }
            } else {
                reader.read_all().await
            }
        };
        let result = tokio::select! {
            result = read => result,
            () = shared.store.connection_suspect.notified() => Err(ReadError::ConnectionSuspect),
        };
        match result {
            Ok(has_read) => {
                has_values = true;
                backoff = BACKOFF.0;
                if has_read {
                    reader.reads.record_answer();
                    record_success(&shared);
                }
            }
            Err(ReadError::Silent) => {
                reader.connection = None;
                record_silence(&shared, &mut reader.reads, has_values);
            }
            Err(ReadError::ConnectionSuspect | ReadError::EntriesDue) => {
                // Only the connection may be dead; the store is not known to be failing.
                reader.connection = None;
            }
            Err(error) => {
                has_values &= !matches!(error, ReadError::HistoryLost) && !error.is_of_content();
                reader.connection = None;
                let is_needed = shared.peers.borrow().should_watch(Instant::now());
                if error.is_of_content() && is_needed {
                    backoff = backoff.min(UNREADABLE_BACKOFF);
                }
                record_failure(&shared, &error, has_values);
                let jitter = rand::rng().random_range(0.5..1.5);
                sleep(backoff.mul_f64(jitter)).await;
                backoff = (backoff * 2).min(BACKOFF.1);
            }
        }
    }
}

/// Has the store confirm the values; returns whether all is known that it had acknowledged
/// at `since`.
pub(crate) async fn confirm(shared: &Rc<SharedState>, since: Instant) -> bool {
    let is_confirmed = || {
        let age = shared.staleness.borrow().age(Instant::now());
        age.is_some_and(|age| age <= since.elapsed())
    };
    let reading = async {
        let _guard = shared.store.confirming.lock().await;
        if is_confirmed() || shared.values.borrow().revision() == 0 {
            return;
        }
        if let Err(error) = Reader::new(shared).confirm().await {
            tracing::debug!(%error, "store: confirming the values failed");
        }
    };
    let _ = timeout(CONFIRM_TIMEOUT, reading).await;
    is_confirmed()
}

/// Records that a read was given up, so that the next one uses a new connection.
///
/// There is no need for a pause, as the time until then was one.
fn record_silence(shared: &SharedState, reads: &mut StoreReads, has_values: bool) {
    shared.store.was_asked.set(true);
    if reads.record_silence() {
        record_failure(shared, &ReadError::Silent, has_values);
        return;
    }
    let age = shared.staleness.borrow().age(Instant::now());
    let values_age_ms = age.map(|age| age.as_millis());
    tracing::warn!(
        values_age_ms,
        "store: connection is silent, opening another"
    );
}

fn record_success(shared: &SharedState) {
    let now = Instant::now();
    shared.store.read_at.set(Some(now));
    shared.store.was_asked.set(true);
    if shared.store.is_failing.replace(false) {
        if shared
            .store
            .is_outage(now, shared.settings().report_interval)
        {
            shared.store.recovered_at.set(Some(now));
        }
        shared.store.failing_since.set(None);
        shared.dispatcher.borrow_mut().record_missed_changes(now);
        tracing::info!(
            revision = shared.values.borrow().revision(),
            "store: available again"
        );
    }
}

fn record_failure(shared: &SharedState, error: &ReadError, has_values: bool) {
    metrics::counter!("briarbank_store_failures_total").increment(1);
    shared.store.was_asked.set(true);
    let now = Instant::now();
    let read_at = shared.store.read_at.get();
    let age_ms = read_at.map(|at| now.saturating_duration_since(at).as_millis());
    let values_age = shared.staleness.borrow().age(now);
    let values_age_ms = values_age.map(|age| age.as_millis());
    let revision = shared.values.borrow().revision();
    tracing::warn!(%error, revision, age_ms, values_age_ms, is_known = has_values, "store: reading published values failed");
    if !matches!(error, ReadError::HistoryLost) {
        shared.store.is_failing.set(true);
        let since = shared.store.failing_since.get();
        let since = since.unwrap_or_else(Instant::now);
        shared.store.failing_since.set(Some(since));
    }
}
