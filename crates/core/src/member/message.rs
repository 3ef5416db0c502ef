//! Membership messages.

use serde::{Deserialize, Serialize};

use crate::ids::{HostName, Incarnation, ServerName};

/// Membership status of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Status {
    /// It is not suspected of having failed.
    Live,
    /// It did not answer probes; it becomes dead unless it refutes in time.
    Suspect,
    /// It did not refute the suspicion in time.
    Dead,
    /// It announced a graceful shutdown.
    Leaving,
}

/// One membership update.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// Status of a host.
    Host {
        /// Host concerned.
        host: HostName,
        /// Incarnation of its process, 0 before the first contact.
        incarnation: Incarnation,
        /// Refutation counter of that incarnation; only the host itself increments it.
        round: u32,
        /// Status of that incarnation.
        status: Status,
    },
    /// A server announced that it is leaving.
    ServerLeaving {
        /// Server concerned.
        server: ServerName,
        /// Time since its announcement.
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

/// Membership message between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Requests an answer.
    Probe {
        /// Matches the answer to the probe.
        number: u64,
        /// Hash of the sender's dead and leaving entries.
        digest: u64,
        /// Piggybacked updates.
        #[serde(rename = "news")]
        updates: Vec<Update>,
    },
    /// Answers a probe.
    Answer {
        /// Number of the probe.
        number: u64,
        /// Hash of the sender's dead and leaving entries.
        digest: u64,
        /// Piggybacked updates.
        #[serde(rename = "news")]
        updates: Vec<Update>,
    },
    /// Requests an indirect probe of a host that did not answer the sender.
    ProbeFor(HostName),
    /// Reports that a host answered an indirect probe for the receiver.
    AnswerFor(HostName),
    /// Updates sent without waiting for a probe.
    #[serde(rename = "News")]
    Updates(Vec<Update>),
}
