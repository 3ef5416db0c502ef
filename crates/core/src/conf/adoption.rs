//! Adoption of values on one node.

use std::sync::Arc;
use std::time::Instant;

use crate::conf::adopted_values::{Adopted, Documents};
use crate::conf::message::Key;
use crate::conf::replicator::{Output, Replicator};
use crate::ids::Revision;

impl Replicator {
    pub(crate) fn offer_value(
        &mut self,
        now: Instant,
        documents: &dyn Documents,
        key: Key,
        revision: Revision,
        bytes: &Arc<[u8]>,
        out: &mut Vec<Output>,
    ) {
        let seen = self.adopted_values.seen(key);
        let adopted = self.adopted_values.offer(documents, key, revision, bytes);
        self.has_changes |= self.adopted_values.seen(key) > seen;
        if let Some(adopted) = adopted {
            self.history[key.index()].push(now, revision, bytes);
            if let Adopted::Hosts(view) = &adopted {
                self.set_hosts(now, &Arc::clone(view));
            }
            self.waiting[key.index()] = Some(adopted);
        }
        self.apply_waiting(now, out);
    }

    pub(crate) fn record_refusal(&mut self, key: Key, revision: Revision, error: &Arc<str>) {
        let seen = self.adopted_values.seen(key);
        self.adopted_values.record_refusal(key, revision, error);
        self.has_changes |= self.adopted_values.seen(key) > seen;
    }

    /// Puts waiting values into force once the startup sync with peers is done.
    pub(crate) fn apply_waiting(&mut self, now: Instant, out: &mut Vec<Output>) {
        if let Some(startup_sync) = &self.startup_sync {
            let timeout = self.options.startup_sync_timeout;
            let behind = Key::ALL
                .iter()
                .any(|key| self.adopted_values.revision(*key) < self.sources[key.index()].newest());
            if behind || !startup_sync.is_done(now, timeout, self.overlay.peers()) {
                return;
            }
            self.startup_sync = None;
            self.has_changes = true;
        }
        let adopted = self.waiting.iter_mut().filter_map(Option::take);
        out.extend(adopted.map(Output::Adopted));
    }
}
