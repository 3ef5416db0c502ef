//! Messages between nodes.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{HostName, Incarnation};
use crate::{conf, member, owner};

/// A message with its sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// Name of the sender.
    pub from: HostName,
    /// Address of the sender's peer port.
    pub address: SocketAddr,
    /// Incarnation of the sender's process.
    pub incarnation: Incarnation,
    /// Message of the sender.
    pub message: Message,
}

/// A message between nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Ownership of request ids.
    Owner(owner::Message),
    /// Membership.
    Member(member::Message),
    /// Published values.
    Conf(conf::Message),
}
