//! Messages that spread published values.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::ids::Revision;

/// One of the published values.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Key {
    /// Router hosts.
    Hosts,
    /// Backend servers.
    Servers,
    /// Operators' configuration.
    Config,
}

impl Key {
    /// All keys.
    pub const ALL: [Self; 3] = [Self::Hosts, Self::Servers, Self::Config];

    /// Name in the platform's paths.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Hosts => "hosts",
            Self::Servers => "servers",
            Self::Config => "config",
        }
    }
}

/// What nodes tell each other of published values.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Newest adopted revisions, in the order of [`Key::ALL`].
    Digest([Revision; 3]),
    /// A whole value.
    Value {
        /// Which value.
        key: Key,
        /// Its revision.
        revision: Revision,
        /// Its document as published.
        bytes: Arc<[u8]>,
    },
}
