//! Versions of servers' software, as streams have to keep to them.

use serde::{Deserialize, Serialize};

use crate::flow::instance::Instance;
use crate::rendezvous;

/// Hash of a service and of a version of its servers' software.
///
/// What two versions write does not fit together, so a stream that has begun goes on
/// only at servers with the same key. A server that publishes no version has a key of
/// its own, since nothing shows which others write the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VersionKey(u64);

impl VersionKey {
    /// Returns the key in the rendezvous order of versions.
    pub(crate) fn order_key(self) -> u64 {
        self.0
    }
}

impl Instance {
    /// Returns the hash of the server's service and version.
    #[must_use]
    pub fn version_key(&self) -> VersionKey {
        let service = self.service.as_str();
        let text = if self.version.is_empty() {
            format!("{service}\0\0{}\0{}", self.id, self.born_ms)
        } else {
            format!("{service}\0{}", self.version)
        };
        VersionKey(rendezvous::key(text.as_bytes()))
    }
}
