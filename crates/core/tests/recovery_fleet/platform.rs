//! Simulated platform.

use std::collections::BTreeMap;
use std::sync::Arc;

use briarbank_core::conf::Key;
use briarbank_core::ids::Revision;

/// Published values with their older versions, and call counters.
pub(crate) struct Platform {
    pub(crate) up: bool,
    pub(crate) calls: u64,
    pub(crate) calls_by_second: BTreeMap<u64, u64>,
    versions: [Vec<(Revision, Arc<[u8]>)>; 3],
    revision: u64,
}

impl Default for Platform {
    fn default() -> Self {
        Self {
            up: true,
            calls: 0,
            calls_by_second: BTreeMap::new(),
            versions: Default::default(),
            revision: 0,
        }
    }
}

impl Platform {
    /// Publishes a document and returns its revision.
    pub(crate) fn publish(&mut self, key: Key, bytes: Vec<u8>) -> Revision {
        self.revision += 1;
        let revision = Revision(self.revision);
        self.versions[key.index()].push((revision, Arc::from(bytes)));
        revision
    }

    /// Returns the newest version at a replica that lags by `lag` revisions.
    pub(crate) fn newest(&self, key: Key, lag: usize) -> Option<(Revision, Arc<[u8]>)> {
        let versions = &self.versions[key.index()];
        let index = versions.len().checked_sub(1)?;
        versions.get(index.saturating_sub(lag)).cloned()
    }

    /// Returns the newest revision with a valid document.
    pub(crate) fn newest_valid(&self, key: Key) -> Revision {
        let valid = |bytes: &[u8]| !bytes.starts_with(super::documents::INVALID);
        let mut newest_first = self.versions[key.index()].iter().rev();
        let newest = newest_first.find(|(_, bytes)| valid(bytes));
        newest.map_or(Revision(0), |(revision, _)| *revision)
    }

    /// Counts a call; a watch is one call however long it waits.
    pub(crate) fn count_call(&mut self, now_ms: u64) {
        self.calls += 1;
        *self.calls_by_second.entry(now_ms / 1_000).or_default() += 1;
    }

    /// Returns the maximum number of calls in one second.
    pub(crate) fn peak_calls_per_s(&self) -> u64 {
        self.calls_by_second.values().copied().max().unwrap_or(0)
    }
}
