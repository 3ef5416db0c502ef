//! Failure switches of the platform stand-in.

use std::sync::Arc;

use briarbank_core::ids::Revision;
use serde::{Deserialize, Serialize};

/// Older revision that some readers receive instead of the newest.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StaleValue {
    /// Key of the value.
    pub key: Arc<str>,
    /// Newest revision that these readers receive.
    pub revision: Revision,
    /// Readers that receive the old revision; empty for all readers.
    #[serde(default)]
    pub readers: Vec<Arc<str>>,
}

impl StaleValue {
    /// Returns whether the entry applies to this key and reader.
    pub(crate) fn applies_to(&self, key: &str, reader: &str) -> bool {
        &*self.key == key
            && (self.readers.is_empty() || self.readers.iter().any(|r| &**r == reader))
    }
}

/// Failure switches, set by `POST /control`; absent fields keep their value.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformSwitches {
    /// Answers every read with status 503.
    pub down: bool,
    /// Values that are served stale.
    pub stale: Vec<StaleValue>,
    /// Readers that receive no answer, as in a network partition.
    pub cut_readers: Vec<Arc<str>>,
}

impl PlatformSwitches {
    /// Returns whether this reader is cut off.
    pub(crate) fn is_cut(&self, reader: &str) -> bool {
        self.cut_readers.iter().any(|r| &**r == reader)
    }

    /// Returns the newest revision that the reader may receive, if limited.
    pub(crate) fn max_revision(&self, key: &str, reader: &str) -> Option<Revision> {
        self.stale
            .iter()
            .filter(|s| s.applies_to(key, reader))
            .map(|s| s.revision)
            .min()
    }
}
