//! Messages between the cores of two nodes.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{HostName, Incarnation};
use crate::{conf, member, owner};

/// One message with its sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// Host that sent it.
    pub from: HostName,
    /// Address of the sender's port for other nodes.
    pub address: SocketAddr,
    /// Run of the sender's process.
    pub incarnation: Incarnation,
    /// What it says.
    pub message: Message,
}

/// What one node's core tells another's.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Ownership of request ids.
    Owner(owner::Message),
    /// Membership.
    Member(member::Message),
    /// Published values.
    Conf(conf::Message),
}
