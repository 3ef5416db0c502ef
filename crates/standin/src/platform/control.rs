//! Failure switches of the platform stand-in.

use std::sync::Arc;

use briarbank_core::ids::Revision;
use serde::{Deserialize, Serialize};

/// An older revision that some readers get in place of the newest.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StaleValue {
    /// Key of the value.
    pub key: Arc<str>,
    /// Newest revision that these readers see.
    pub revision: Revision,
    /// Readers that are served the old revision; empty for all.
    #[serde(default)]
    pub readers: Vec<Arc<str>>,
}

impl StaleValue {
    /// Whether it applies to this key and reader.
    pub(crate) fn covers(&self, key: &str, reader: &str) -> bool {
        &*self.key == key
            && (self.readers.is_empty() || self.readers.iter().any(|r| &**r == reader))
    }
}

/// Failure switches, set by `POST /control`; absent fields stay as they are.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformSwitches {
    /// Answer every read with 503.
    pub down: bool,
    /// Values that are served stale.
    pub stale: Vec<StaleValue>,
    /// Readers that get no answer, as behind a partition.
    pub cut_readers: Vec<Arc<str>>,
}

impl PlatformSwitches {
    /// Whether this reader is cut off.
    pub(crate) fn cuts(&self, reader: &str) -> bool {
        self.cut_readers.iter().any(|r| &**r == reader)
    }

    /// Newest revision that the reader may see, if it is bounded.
    pub(crate) fn bound(&self, key: &str, reader: &str) -> Option<Revision> {
        self.stale
            .iter()
            .filter(|s| s.covers(key, reader))
            .map(|s| s.revision)
            .min()
    }
}
