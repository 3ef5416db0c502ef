//! How a value comes into force on one node.

use std::sync::Arc;
use std::time::Instant;

use crate::conf::log::{Adopted, Documents};
use crate::conf::message::Key;
use crate::conf::spread::{Output, Spread};
use crate::ids::Revision;

impl Spread {
    pub(crate) fn offer(
        &mut self,
        now: Instant,
        documents: &dyn Documents,
        key: Key,
        revision: Revision,
        bytes: &Arc<[u8]>,
        out: &mut Vec<Output>,
    ) {
        let seen = self.log.seen(key);
        let adopted = self.log.offer(documents, key, revision, bytes);
        self.news |= self.log.seen(key) > seen;
        if let Some(adopted) = adopted {
            self.kept[key.index()].push(now, revision, bytes);
            if let Adopted::Hosts(view) = &adopted {
                self.hosts(now, &Arc::clone(view));
            }
            self.waiting[key.index()] = Some(adopted);
        }
        self.settle(now, out);
    }

    pub(crate) fn note(&mut self, key: Key, revision: Revision, error: &Arc<str>) {
        let seen = self.log.seen(key);
        self.log.note(key, revision, error);
        self.news |= self.log.seen(key) > seen;
    }

    /// Brings waiting values into force once the node has compared with its peers.
    pub(crate) fn settle(&mut self, now: Instant, out: &mut Vec<Output>) {
        if let Some(settling) = &self.settling {
            let timeout = self.options.settle_timeout;
            let behind = Key::ALL
                .iter()
                .any(|key| self.log.revision(*key) < self.sources[key.index()].newest());
            if behind || !settling.done(now, timeout, self.overlay.peers()) {
                return;
            }
            self.settling = None;
            self.news = true;
        }
        let adopted = self.waiting.iter_mut().filter_map(Option::take);
        out.extend(adopted.map(Output::Adopted));
    }
}
