//! Messages of membership.

use serde::{Deserialize, Serialize};

use crate::ids::{HostName, Incarnation, ServerName};

/// One piece of news.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum News {
    /// A host is up with this incarnation.
    Up(HostName, Incarnation),
    /// A host did not answer.
    Suspect(HostName, Incarnation),
    /// A host is stopping as planned.
    Leaving(HostName, Incarnation),
    /// A server said that it is leaving.
    ServerLeaving(ServerName),
}

/// What nodes tell each other of membership.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for an answer.
    Probe {
        /// Tells answers apart.
        number: u64,
        /// News that rides along.
        news: Vec<News>,
    },
    /// Answers a probe.
    Answer {
        /// Number of the probe.
        number: u64,
        /// News that rides along.
        news: Vec<News>,
    },
}
