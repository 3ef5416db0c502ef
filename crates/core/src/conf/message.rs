//! Messages that replicate published values.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::conf::delta::Delta;
use crate::ids::Revision;

/// Key of a published value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Key {
    /// Host list.
    Hosts,
    /// Server list.
    Servers,
    /// Configuration by the operators.
    Config,
}

impl Key {
    /// All keys.
    pub const ALL: [Self; 3] = [Self::Hosts, Self::Servers, Self::Config];

    /// Returns the position in [`Key::ALL`].
    #[must_use]
    pub fn index(self) -> usize {
        self as usize
    }

    /// Returns the name in the platform's paths.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Hosts => "hosts",
            Self::Servers => "servers",
            Self::Config => "config",
        }
    }
}

/// Revisions that a node has, in the order of [`Key::ALL`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Newest valid revisions.
    pub adopted: [Revision; 3],
    /// Newest invalid revisions, 0 when none was seen.
    pub refused: [Revision; 3],
    /// Whether the sender has finished its startup sync.
    #[serde(rename = "settled")]
    pub is_synced: bool,
    /// Whether this answers a digest; an answer is never answered.
    pub answer: bool,
    /// Time since the platform last answered any node, as known to the sender.
    pub platform_age_ms: u32,
}

/// Message between nodes about published values.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Revisions that the sender has.
    Digest(Digest),
    /// Requests the newest version of a value.
    Want {
        /// Key of the value.
        key: Key,
        /// Revisions that the sender can apply a delta to, newest first.
        have: Vec<Revision>,
    },
    /// A whole value.
    Value {
        /// Key of the value.
        key: Key,
        /// Revision of the document.
        revision: Revision,
        /// Document as published.
        bytes: Arc<[u8]>,
    },
    /// A newer version as a delta from an older one.
    Delta {
        /// Key of the value.
        key: Key,
        /// Revision of the older document.
        base: Revision,
        /// Revision of the newer document.
        revision: Revision,
        /// Delta between the two documents.
        delta: Arc<Delta>,
    },
    /// A newer version that was refused as invalid.
    Refused {
        /// Key of the value.
        key: Key,
        /// Revision of the document.
        revision: Revision,
        /// Reason of the refusal, for operators.
        error: Arc<str>,
    },
}
