//! Messages of membership.

use serde::{Deserialize, Serialize};

use crate::ids::{HostName, Incarnation, ServerName};

/// What is believed of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Status {
    /// It answers, or nothing speaks against it.
    Live,
    /// It did not answer; it is dead unless it objects in time.
    Suspect,
    /// It did not object in time.
    Dead,
    /// It is stopping as planned.
    Leaving,
}

/// One piece of news.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// What is believed of a host.
    Host {
        /// Which host.
        host: HostName,
        /// Run of its process, 0 when none was ever heard.
        incarnation: Incarnation,
        /// Objections of that run to suspicion; only the host itself counts up.
        round: u32,
        /// The belief.
        status: Status,
    },
    /// A server said that it is leaving.
    ServerLeaving {
        /// Which server.
        server: ServerName,
        /// Time since it said so.
        age_s: u32,
    },
}

impl Update {
    /// Approximate size when encoded.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        match self {
            Self::Host { host, .. } => host.as_str().len() + 13,
            Self::ServerLeaving { server, .. } => server.as_str().len() + 5,
        }
    }
}

/// What nodes tell each other of membership.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for an answer.
    Probe {
        /// Tells answers apart.
        number: u64,
        /// Hash of what the sender believes.
        digest: u64,
        /// News that rides along.
        #[serde(rename = "news")]
        updates: Vec<Update>,
    },
    /// Answers a probe.
    Answer {
        /// Number of the probe.
        number: u64,
        /// Hash of what the sender believes.
        digest: u64,
        /// News that rides along.
        #[serde(rename = "news")]
        updates: Vec<Update>,
    },
    /// Asks another node to probe a host that did not answer the sender.
    ProbeFor(HostName),
    /// A host that was probed for the receiver has answered.
    AnswerFor(HostName),
    /// News that does not wait for a probe.
    #[serde(rename = "News")]
    Updates(Vec<Update>),
}
