//! State dump of the node's process.

use briarbank_core::hosts::Host;
use briarbank_core::node;
use serde::{Deserialize, Serialize};

/// State of a node's process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Dump {
    /// State of the core.
    #[serde(flatten)]
    pub node: node::Dump,
    /// Number of call tasks that the control actor has registered.
    pub call_tasks: usize,
    /// Hosts in the current host list.
    pub hosts: Vec<Host>,
}
