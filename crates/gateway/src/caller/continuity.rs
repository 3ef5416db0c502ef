//! Keeps a stream at the version of software that began it.

use std::time::{Duration, Instant};

use briarbank_core::flow::{Instance, StreamKey};

use crate::caller::exchange::Exchange;
use crate::caller::outcome::Outcome;
use crate::streams;

/// Longest age of a stream that is taken up, as a multiple of its route's timeout.
const AGE_RATIO: u32 = 2;

impl Exchange {
    /// Binds a stream that its caller takes up to the version that began it.
    ///
    /// Other streams stay free until their first event.
    pub(crate) async fn bind_taken_up(&mut self) -> Result<(), Outcome> {
        let Some(taken_up) = &self.admitted.head.taken_up else {
            return Ok(());
        };
        let mut version = None;
        if taken_up.first_call.is_some() {
            version = streams::find(&self.shared, self.stream_key()).await;
        }
        let dispatcher = self.shared.dispatcher.borrow();
        if version.is_none() && self.has_current_values() {
            let age_max = Duration::from_millis(u64::from(self.admitted.route.timeout_ms));
            let route = &self.admitted.route;
            version = dispatcher.sole_version(Instant::now(), route, age_max * AGE_RATIO);
        }
        let service = version.and_then(|v| dispatcher.service_of_version(&self.admitted.route, v));
        drop(dispatcher);
        let Some(version) = version else {
            metrics::counter!("briarbank_streams_unknown_total").increment(1);
            self.set_failure_reason("version of the stream is unknown");
            return Err(Outcome::NotResumable);
        };
        if let Some(service) = service {
            self.set_service(service);
        }
        self.version = Some(version);
        Ok(())
    }

    /// Returns whether no other node is known to have newer published values.
    fn has_current_values(&self) -> bool {
        let revision = self.shared.mirror.borrow().revision();
        let mut peers = self.shared.peers.borrow_mut();
        let newer = peers.peer_with_newer_revision(Instant::now(), revision);
        newer.is_none() && !self.shared.store.is_failing.get()
    }

    /// Records the server that brought the first event of this answer.
    pub(crate) fn record_first_server(&mut self, instance: &Instance) {
        let version = *self.version.get_or_insert_with(|| instance.version_key());
        if !self.admitted.route.is_repeatable() {
            return;
        }
        let timeout = Duration::from_millis(u64::from(self.admitted.route.timeout_ms));
        let lifetime = self.admitted.head.time_left.unwrap_or(timeout);
        streams::record(&self.shared, self.stream_key(), version, lifetime);
    }

    /// Returns the key of the stream, by the call that brought its first event.
    fn stream_key(&self) -> StreamKey {
        let taken_up = self.admitted.head.taken_up.as_ref();
        let first_call = taken_up.and_then(|stream| stream.first_call.as_ref());
        let workspace = self.admitted.workspace.as_ref().map(|w| &w.name);
        StreamKey::new(workspace, first_call.unwrap_or(&self.record.id))
    }
}
