//! Messages that spread published values.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::conf::delta::Delta;
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

    /// Place in [`Key::ALL`].
    #[must_use]
    pub fn index(self) -> usize {
        self as usize
    }

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

/// What a node has of each value, in the order of [`Key::ALL`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Newest valid revisions.
    pub adopted: [Revision; 3],
    /// Newest invalid revisions, 0 when none was seen.
    pub refused: [Revision; 3],
    /// Whether the sender has compared its values with its peers' since it started.
    #[serde(rename = "settled")]
    pub is_synced: bool,
    /// Whether this answers a digest; an answer is never answered.
    pub answer: bool,
    /// Time since the platform last answered any node, as far as the sender knows.
    pub platform_age_ms: u32,
}

/// What nodes tell each other of published values.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// What the sender has.
    Digest(Digest),
    /// Asks for the newest version of a value.
    Want {
        /// Which value.
        key: Key,
        /// Versions that the sender can apply a delta to, newest first.
        have: Vec<Revision>,
    },
    /// A whole value.
    Value {
        /// Which value.
        key: Key,
        /// Its revision.
        revision: Revision,
        /// Its document as published.
        bytes: Arc<[u8]>,
    },
    /// A newer version by its difference to an older one.
    Delta {
        /// Which value.
        key: Key,
        /// Revision of the older document.
        base: Revision,
        /// Revision of the newer document.
        revision: Revision,
        /// The difference.
        delta: Arc<Delta>,
    },
    /// A newer version was invalid.
    Refused {
        /// Which value.
        key: Key,
        /// Its revision.
        revision: Revision,
        /// Why, for operators.
        error: Arc<str>,
    },
}
