//! Keeps a stream at the version of software that began it.

use std::sync::Arc;
use std::time::Duration;

use briarbank_core::flow::{Instance, KeyVersion, StreamKey};

use crate::caller::exchange::Exchange;
use crate::caller::outcome::Outcome;
use crate::streams::{self, SoughtStream};

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
        let is_named = taken_up.first_call.is_some();
        let route = Arc::clone(&self.admitted.route);
        let sought = self.sought_stream();
        let version = if is_named {
            streams::find(&self.shared, &sought).await
        } else {
            let version = streams::find_only_version(&self.shared, &sought).await;
            version.ok_or("the call names no first call, and its service has several")
        };
        let version = match version {
            Ok(version) => version,
            Err(reason) => {
                metrics::counter!("briarbank_streams_unknown_total").increment(1);
                self.set_failure_reason(&format!("version of the stream is unknown: {reason}"));
                return Err(Outcome::NotRepeatable);
            }
        };
        let dispatcher = self.shared.dispatcher.borrow();
        let service = dispatcher.service_of_version(&route, version);
        drop(dispatcher);
        if let Some(service) = service {
            self.set_service(service);
        }
        self.version = Some(version);
        Ok(())
    }

    /// Records the server that brought the first event of this answer.
    pub(crate) fn record_first_server(&mut self, instance: &Instance) {
        let version = *self.version.get_or_insert_with(|| instance.version_key());
        if !self.admitted.route.is_repeatable() {
            return;
        }
        let timeout = Duration::from_millis(u64::from(self.admitted.route.timeout_ms));
        let lifetime = self.admitted.head.time_left.unwrap_or(timeout);
        streams::begin(&self.shared, &self.sought_stream(), version, lifetime);
    }

    /// Returns the version of a new stream's key, `None` if it may begin at any.
    pub(crate) fn key_version(&self) -> Option<KeyVersion> {
        let route = &self.admitted.route;
        let is_new = self.version.is_none() && route.is_stream() && route.is_repeatable();
        is_new.then(|| streams::version_of_key(&self.shared, &self.sought_stream()))?
    }

    /// Returns the stream as others may look for it.
    fn sought_stream(&self) -> SoughtStream {
        let route = &self.admitted.route;
        SoughtStream {
            key: self.stream_key(),
            service: match route.splits.as_slice() {
                [split] => Some(split.service.clone()),
                _ => None,
            },
            age_max: Duration::from_millis(u64::from(route.timeout_ms)) * AGE_RATIO,
        }
    }

    /// Records that the caller has the whole stream.
    pub(crate) fn complete_stream(&mut self) {
        self.record.complete();
        streams::end(&self.shared, self.stream_key());
    }

    /// Returns the event after which the caller takes a stream up that may be resumed.
    pub(crate) fn resumed_event(&self) -> Option<Arc<str>> {
        let taken_up = self.admitted.head.taken_up.as_ref();
        let may_resume = self.admitted.route.is_repeatable();
        taken_up.filter(|_| may_resume)?.last_event.clone()
    }

    /// Returns the key of the stream, by the call that brought its first event.
    fn stream_key(&self) -> StreamKey {
        let taken_up = self.admitted.head.taken_up.as_ref();
        let first_call = taken_up.and_then(|stream| stream.first_call.as_ref());
        let workspace = self.admitted.workspace.as_ref().map(|w| &w.name);
        StreamKey::new(workspace, first_call.unwrap_or(&self.record.id))
    }
}
